#pragma once

/**
 * Public header of the gateway slice: from a caller's request to the whole answer of one target.
 * What to do with a request and with a failed attempt is decided apart from HTTP.
 */

#include "endivedock/gateway/attempt_policy.h"
#include "endivedock/gateway/caller_connection.h"
#include "endivedock/gateway/gateway_server.h"
#include "endivedock/gateway/http_message.h"
#include "endivedock/gateway/problem.h"
#include "endivedock/gateway/request_plan.h"
#include "endivedock/gateway/target_connection.h"
#include "endivedock/gateway/target_connection_pool.h"
