#pragma once

/**
 * Public header of the runs slice: what keeps a request that is not idempotent from running twice.
 * Each key has a write-once record at three hosts; a run begins when two of them have accepted it.
 */

#include "endivedock/runs/claim_vote.h"
#include "endivedock/runs/messages.h"
#include "endivedock/runs/run_acceptor.h"
