#pragma once

/**
 * Public header of the runs slice: what keeps a request that is not idempotent from running twice.
 * Each key has a write-once record at three hosts; a run begins when two of them have accepted it.
 */

#include "endivedock/idempotency/claim_tally.h"
#include "endivedock/idempotency/messages.h"
#include "endivedock/idempotency/run_acceptor.h"
