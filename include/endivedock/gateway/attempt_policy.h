#pragma once

#include "endivedock/core.h"
#include "endivedock/placement/messages.h"

#include <optional>
#include <string_view>

namespace endivedock {

/** What is known when an attempt has ended without an answer to pass on. */
struct FailedAttempt
{
    AttemptOutcome outcome = AttemptOutcome::Abandoned;
    /** Attempts made so far, this one included. */
    int attempts = 1;
    int maxAttempts = 1;
    bool idempotent = true;
    /** The whole body is still at hand. */
    bool replayable = true;
    Duration timeLeft{0};
};

/** @return what a whole answer with this status says of the attempt */
AttemptOutcome outcomeForStatus(unsigned status);

/** Whether a target can have begun the attempt. */
RunCertainty runCertaintyOf(AttemptOutcome outcome);

/**
 * Decides on another attempt. A request that is not idempotent gets one only when it is certain
 * that no target has begun it.
 *
 * @return nothing to try again, or the refusal for the caller
 */
std::optional<Refusal> refusalUnlessRetryable(const FailedAttempt &end);

/**
 * When a caller may come back whose request was not run, where no balancer has said so.
 *
 * @param spread  0 to 1; callers that are refused together return apart
 */
Milliseconds retryAfterDelay(RefusalReason reason, double spread);

/** @return a stable name for metrics; static lifetime */
std::string_view name(AttemptOutcome outcome);

} // namespace endivedock
