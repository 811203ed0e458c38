#pragma once

/**
 * Public header of the rollout library: brings a service from one version to another in steps, and
 * rolls it back if the new version is worse.
 */

#include "endivedock/rollout/rollout_analysis.h"
#include "endivedock/rollout/rollout_controller.h"
