#pragma once

/**
 * Public header of the limits library: retry budget, admission queue, adaptive limit of a target.
 */

#include "endivedock/limits/adaptive_limit.h"
#include "endivedock/limits/admission_queue.h"
#include "endivedock/limits/retry_budget.h"
