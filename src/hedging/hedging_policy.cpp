#include "endivedock/hedging/hedging_policy.h"

#include <algorithm>

namespace endivedock {

namespace {

/** Responses of a route before its slowest ones are known well enough. */
constexpr double minWeight = 40;
/** A hedge is expected to take as long as this share of the responses at most. */
constexpr Share usualShare{0.75};
/** Beyond this share of what the targets may be given, hedges would make other requests slower. */
constexpr Share maxUtilization{0.7};
/** Share of the retry budget that hedges leave for retries after failures. */
constexpr Share keptRetries{0.5};
/** A hedge is too late if its expected time exceeds this share of the time left. */
constexpr double maxDeadlineShare = 0.8;

bool isInTime(Microseconds expected, const TimeLeft &timeLeft)
{
    return expected <= timeLeft.objective ||
           static_cast<double>(expected.count()) <=
                   static_cast<double>(Microseconds(timeLeft.deadline).count()) * maxDeadlineShare;
}

} // namespace

std::string_view name(HedgeRefusal reason)
{
    switch (reason) {
    case HedgeRefusal::Off:
        return "off";
    case HedgeRefusal::Rollout:
        return "rollout";
    case HedgeRefusal::Suspect:
        return "suspect";
    case HedgeRefusal::SilentTarget:
        return "silent-target";
    case HedgeRefusal::NoRoom:
        return "no-room";
    case HedgeRefusal::NoTarget:
        return "no-target";
    case HedgeRefusal::TooLate:
        return "too-late";
    case HedgeRefusal::ShareUsed:
        return "share-used";
    case HedgeRefusal::RetryBudget:
        return "retry-budget";
    }
    return "unknown";
}

HedgingPolicy::HedgingPolicy(Share share)
    : m_share(share)
    , m_limit(share)
{
    m_limit.setExtraRetries(0);
}

void HedgingPolicy::setShare(Share share)
{
    m_share = share;
    m_limit.setRatio(share);
}

void HedgingPolicy::recordTime(RouteKey route, Microseconds time)
{
    if (isOn())
        m_times[route].record(time);
}

std::optional<Milliseconds> HedgingPolicy::startAfter(RouteKey route,
                                                      const TimeLeft &timeLeft) const
{
    const ResponseTimes *times = isOn() ? m_times.find(route) : nullptr;
    if (times == nullptr || times->weight() < minWeight)
        return std::nullopt;
    const Duration usual = times->quantile(usualShare);
    const Duration slow = times->quantile(Share(1 - m_share.value()));
    // A hedge at this time still meets the objective, or else the deadline.
    Duration latest = timeLeft.objective - usual;
    if (latest < usual)
        latest = timeLeft.deadline - usual;
    // Before the usual time has passed, the first attempt is most likely to end first.
    if (latest < usual)
        return std::nullopt;
    return toMilliseconds(std::clamp(slow, usual, latest));
}

std::optional<HedgeRefusal> HedgingPolicy::refusalFor(const HedgeSituation &situation) const
{
    if (!isOn())
        return HedgeRefusal::Off;
    if (situation.isRollingOut)
        return HedgeRefusal::Rollout;
    if (situation.isSuspect)
        return HedgeRefusal::Suspect;
    if (situation.isFirstTargetSilent)
        return HedgeRefusal::SilentTarget;
    if (situation.hasWaitingRequests || situation.utilization > maxUtilization)
        return HedgeRefusal::NoRoom;
    if (!situation.expectedTime)
        return HedgeRefusal::NoTarget;
    if (!isInTime(*situation.expectedTime, situation.timeLeft))
        return HedgeRefusal::TooLate;
    return std::nullopt;
}

std::optional<HedgeRefusal> HedgingPolicy::refusalOrCount(const HedgeSituation &situation,
                                                          RetryBudget &retries, TimePoint now)
{
    if (const auto refusal = refusalFor(situation))
        return refusal;
    if (retries.usedShare(now).value() > 1 - keptRetries.value())
        return HedgeRefusal::RetryBudget;
    if (!m_limit.tryRetry(now))
        return HedgeRefusal::ShareUsed;
    if (!retries.tryRetry(now))
        return HedgeRefusal::RetryBudget;
    return std::nullopt;
}

} // namespace endivedock
