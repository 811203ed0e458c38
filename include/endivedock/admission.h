#pragma once

/**
 * Public header of the admission library, which decides what a host holds in memory for its callers
 * and targets, how many connections it keeps open, and who loses its part when there is too little.
 */

#include "endivedock/admission/admission_limits.h"
#include "endivedock/admission/memory_gate.h"
#include "endivedock/admission/memory_ledger.h"
#include "endivedock/admission/message_rate.h"
