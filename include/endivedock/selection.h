#pragma once

/**
 * Public header of the selection library: pick policies, the health of targets, and what targets
 * have stated about themselves.
 */

#include "endivedock/selection/draining_targets.h"
#include "endivedock/selection/pick_policy.h"
#include "endivedock/selection/policies.h"
#include "endivedock/selection/target_health.h"
#include "endivedock/selection/target_pause.h"
