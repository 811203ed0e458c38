#pragma once

/**
 * Public header of the balancing library: selects a target for each request, based on the requests
 * in flight that this host counts itself and the load that the other hosts report. The library
 * makes decisions only; it does no I/O.
 */

#include "endivedock/balancing/balancing_settings.h"
#include "endivedock/balancing/registered_target.h"
#include "endivedock/balancing/service_balancer.h"
#include "endivedock/balancing/target_choice.h"
#include "endivedock/balancing/target_load.h"
#include "endivedock/balancing/target_state.h"
#include "endivedock/balancing/version_policy.h"
