#pragma once

/** Public header of the moves slice: moving a service from one version to another, or back. */

#include "endivedock/rollout/rollout_analysis.h"
#include "endivedock/rollout/rollout_controller.h"
