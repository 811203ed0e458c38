#pragma once

/** Public header of the routing slice: what is known of a target, and the policies that choose. */

#include "endivedock/selection/pick_policy.h"
#include "endivedock/selection/policies.h"
#include "endivedock/selection/target_health.h"
