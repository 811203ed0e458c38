#pragma once

/**
 * Public header of the idempotency library: ensures that a request with an idempotency key runs at
 * most once. Three replica hosts keep a write-once record for each key. A run, which is one
 * execution of the request at a target, starts after a majority of the replicas has accepted its
 * claim of the key.
 */

#include "endivedock/idempotency/claim_tally.h"
#include "endivedock/idempotency/messages.h"
#include "endivedock/idempotency/run_acceptor.h"
