#pragma once

/** Public header of the routing slice: what is known of a target, and the policies that choose. */

#include "endivedock/routing/pick_policy.h"
#include "endivedock/routing/policies.h"
#include "endivedock/routing/target_health.h"
