#pragma once

#include "endivedock/core.h"
#include "endivedock/placement/messages.h"

#include <optional>
#include <string_view>

namespace endivedock {

/** What is known about an attempt that ended without a response for the caller. */
struct FailedAttempt
{
    AttemptOutcome outcome = AttemptOutcome::Abandoned;
    /** Attempts made so far, including the failed one. */
    int attempts = 1;
    int maxAttempts = 1;
    bool idempotent = true;
    /** Whether the whole request body can be sent again. */
    bool isReplayable = true;
    /** Time until the request's deadline; zero or negative once the deadline has passed. */
    Duration timeLeft{0};
};

/** @return the outcome of an attempt whose complete response has the HTTP status @p status */
AttemptOutcome outcomeForStatus(unsigned status);

/** @return whether a target may have started to run an attempt with this outcome */
RunCertainty runCertaintyOf(AttemptOutcome outcome);

/**
 * Decides whether a request is retried after a failed attempt. A request that is not idempotent is
 * retried only if no target can have started to run it.
 *
 * @return nothing if the request may be retried, or else the refusal for the caller
 */
std::optional<Refusal> refusalUnlessRetryable(const FailedAttempt &attempt);

/**
 * Returns the delay after which a caller whose request was not run may retry. Used for refusals
 * without a retry delay from the balancer.
 *
 * @param jitter  0 to 1; spreads the retries of callers that are refused at the same time
 */
Milliseconds retryAfterDelay(RefusalReason reason, double jitter);

/** @return the stable name of @p outcome in metrics and logs; static lifetime */
std::string_view name(AttemptOutcome outcome);

} // namespace endivedock
