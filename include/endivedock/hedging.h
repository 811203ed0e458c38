#pragma once

/**
 * Public header of the hedging library: decides when a slow request is sent to a second target, and
 * how many such second attempts a service may get.
 */

#include "endivedock/hedging/hedging_policy.h"
#include "endivedock/hedging/response_times.h"
