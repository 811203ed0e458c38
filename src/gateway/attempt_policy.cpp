#include "endivedock/gateway/attempt_policy.h"

namespace endivedock {

namespace {

/** Time after which a starting host usually has a configuration. */
constexpr Milliseconds noConfigurationRetryDelay{150};
/** Time after which another target is most likely free. */
constexpr Milliseconds defaultRetryDelay{60};
/** Longer than callers wait, so that a request that crashes its targets is not sent again. */
constexpr Milliseconds crashSuspectRetryDelay{5000};

} // namespace

AttemptOutcome outcomeForStatus(unsigned status)
{
    constexpr unsigned firstServerError = 500;
    constexpr unsigned gatewayTimeout = 504;
    if (status == gatewayTimeout)
        return AttemptOutcome::TimedOut; // The target stopped work at its deadline.
    return status >= firstServerError ? AttemptOutcome::Failed : AttemptOutcome::Answered;
}

RunCertainty runCertaintyOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Shed:
    case AttemptOutcome::Draining:
    case AttemptOutcome::ConnectFailed:
        return RunCertainty::NotRun;
    case AttemptOutcome::Answered:
    case AttemptOutcome::Failed:
    case AttemptOutcome::ConnectionLost:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::Abandoned:
    case AttemptOutcome::Overtaken:
        return RunCertainty::MayHaveRun;
    }
    return RunCertainty::MayHaveRun;
}

std::optional<Refusal> refusalUnlessRetryable(const FailedAttempt &attempt)
{
    const RunCertainty certainty = runCertaintyOf(attempt.outcome);
    const bool isSafeToRetry = attempt.isIdempotent || certainty == RunCertainty::NotRun;
    if (attempt.timeLeft <= Duration::zero() || attempt.outcome == AttemptOutcome::TimedOut)
        return Refusal{RefusalReason::DeadlineExceeded, certainty};
    if (isSafeToRetry && attempt.isReplayable && attempt.attempts < attempt.maxAttempts)
        return std::nullopt;
    const bool isRefusedByTarget =
            attempt.outcome == AttemptOutcome::Shed || attempt.outcome == AttemptOutcome::Draining;
    return Refusal{isRefusedByTarget ? RefusalReason::TargetRefused : RefusalReason::TargetFailed,
                   certainty};
}

Milliseconds retryAfterDelay(RefusalReason reason, double jitter)
{
    Milliseconds baseDelay = defaultRetryDelay;
    if (reason == RefusalReason::NoConfiguration)
        baseDelay = noConfigurationRetryDelay;
    else if (reason == RefusalReason::CrashSuspect)
        baseDelay = crashSuspectRetryDelay;
    const double delayMs = static_cast<double>(baseDelay.count()) * (1 + jitter);
    return Milliseconds(static_cast<std::int64_t>(delayMs));
}

std::string_view name(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::Shed:
        return "shed";
    case AttemptOutcome::Draining:
        return "draining";
    case AttemptOutcome::ConnectFailed:
        return "connect-failed";
    case AttemptOutcome::ConnectionLost:
        return "connection-lost";
    case AttemptOutcome::TimedOut:
        return "timed-out";
    case AttemptOutcome::Abandoned:
        return "abandoned";
    case AttemptOutcome::Overtaken:
        return "overtaken";
    }
    return "unknown";
}

} // namespace endivedock
