#include "endivedock/gateway/attempt_policy.h"

namespace endivedock {

namespace {

/** A host that starts has a configuration after about this time. */
constexpr Milliseconds startReturn{150};
/** Another target is most likely free by then. */
constexpr Milliseconds shortReturn{60};
/** A request that crashes its targets is refused for longer than its callers wait. */
constexpr Milliseconds suspectReturn{5000};

} // namespace

AttemptOutcome outcomeForStatus(unsigned status)
{
    constexpr unsigned firstServerError = 500;
    constexpr unsigned gatewayTimeout = 504;
    if (status == gatewayTimeout)
        return AttemptOutcome::TimedOut; // The target stopped work at the deadline it was given.
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
        return RunCertainty::MayHaveRun;
    }
    return RunCertainty::MayHaveRun;
}

std::optional<Refusal> refusalUnlessRetryable(const FailedAttempt &end)
{
    const RunCertainty certainty = runCertaintyOf(end.outcome);
    const bool safe = end.idempotent || certainty == RunCertainty::NotRun;
    if (end.timeLeft <= Duration::zero() || end.outcome == AttemptOutcome::TimedOut)
        return Refusal{RefusalReason::DeadlineExceeded, certainty};
    if (safe && end.replayable && end.attempts < end.maxAttempts)
        return std::nullopt;
    const bool refused =
            end.outcome == AttemptOutcome::Shed || end.outcome == AttemptOutcome::Draining;
    return Refusal{refused ? RefusalReason::TargetRefused : RefusalReason::TargetFailed, certainty};
}

Milliseconds retryAfterDelay(RefusalReason reason, double spread)
{
    Milliseconds least = shortReturn;
    if (reason == RefusalReason::NoConfiguration)
        least = startReturn;
    else if (reason == RefusalReason::CrashSuspect)
        least = suspectReturn;
    const double most = static_cast<double>(least.count()) * (1 + spread);
    return Milliseconds(static_cast<std::int64_t>(most));
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
    }
    return "unknown";
}

} // namespace endivedock
