#pragma once

/** Public header of the selection library: pick policies and the health of targets. */

#include "endivedock/selection/pick_policy.h"
#include "endivedock/selection/policies.h"
#include "endivedock/selection/target_health.h"
