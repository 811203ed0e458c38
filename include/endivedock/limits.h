#pragma once

/** Public header of the limits slice: retry budget, waiting queue, adaptive limit of a target. */

#include "endivedock/limits/adaptive_limit.h"
#include "endivedock/limits/admission_queue.h"
#include "endivedock/limits/retry_budget.h"
