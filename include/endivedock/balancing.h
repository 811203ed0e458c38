#pragma once

/**
 * Public header of the balancing slice: where each host sends its requests, from what it counts
 * itself and what all hosts tell each other. Decisions only.
 */

#include "endivedock/balancing/balancing_settings.h"
#include "endivedock/balancing/registered_target.h"
#include "endivedock/balancing/service_balancer.h"
#include "endivedock/balancing/target_state.h"
#include "endivedock/balancing/version_policy.h"
