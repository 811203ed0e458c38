#pragma once

/**
 * Public header of the gateway library, which accepts callers' requests and returns the complete
 * response of one target to each. Decisions about requests and failed attempts are kept apart from
 * the HTTP code.
 */

#include "endivedock/gateway/attempt_policy.h"
#include "endivedock/gateway/attempt_runner.h"
#include "endivedock/gateway/body_reader.h"
#include "endivedock/gateway/caller_connection.h"
#include "endivedock/gateway/caller_identity.h"
#include "endivedock/gateway/caller_session.h"
#include "endivedock/gateway/gateway_server.h"
#include "endivedock/gateway/http_message.h"
#include "endivedock/gateway/placement_source.h"
#include "endivedock/gateway/problem.h"
#include "endivedock/gateway/request_plan.h"
#include "endivedock/gateway/target_connection.h"
#include "endivedock/gateway/target_connection_pool.h"
#include "endivedock/gateway/target_pause.h"
#include "endivedock/gateway/team_counters.h"
