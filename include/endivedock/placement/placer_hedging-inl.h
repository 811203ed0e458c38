#pragma once

#include "endivedock/placement/placer.h"

// Hedges: second attempts at requests that have no response yet.

namespace endivedock {

namespace placement_detail {

/** Requests without a rule of the template are one route as well. */
inline RouteKey routeKeyOf(std::int16_t route)
{
    return RouteKey(static_cast<std::uint32_t>(route + 1));
}

inline RefusalReason reasonOf(HedgeRefusal refusal)
{
    switch (refusal) {
    case HedgeRefusal::Suspect:
        return RefusalReason::CrashSuspect;
    case HedgeRefusal::ShareUsed:
    case HedgeRefusal::RetryBudget:
        return RefusalReason::RetryBudget;
    case HedgeRefusal::TooLate:
        return RefusalReason::DeadlineExceeded;
    case HedgeRefusal::NoRoom:
        return RefusalReason::QueueFull;
    case HedgeRefusal::Off:
    case HedgeRefusal::Rollout:
    case HedgeRefusal::SilentTarget:
    case HedgeRefusal::NoTarget:
        return RefusalReason::NoTarget;
    }
    return RefusalReason::NoTarget;
}

} // namespace placement_detail

template <PickPolicy Policy>
Milliseconds BasicPlacer<Policy>::hedgeAfter(const PlacementRequest &request) const
{
    if (request.isRetry || m_rollout || !m_queue.empty())
        return Milliseconds(0);
    return m_hedging
            .startAfter(placement_detail::routeKeyOf(request.route),
                        {request.latencyObjective, request.remaining})
            .value_or(Milliseconds(0));
}

template <PickPolicy Policy>
Share BasicPlacer<Policy>::utilization(TimePoint now) const
{
    int inFlight = 0;
    int slots = 0;
    for (const auto &target : m_targets) {
        if (!isUsable(target) || target.warmup.isCold())
            continue;
        inFlight += target.inFlight.value();
        slots += limitOf(target, now).value();
    }
    return Share(slots == 0 ? 1.0 : static_cast<double>(inFlight) / slots);
}

template <PickPolicy Policy>
bool BasicPlacer<Policy>::isSilent(const TargetId &id, TimePoint since) const
{
    const auto index = m_targetIndex.find(id);
    return index == m_targetIndex.end() || m_targets[index->second].lastSeenAt <= since;
}

template <PickPolicy Policy>
PlacementAnswer BasicPlacer<Policy>::placeHedge(const PlacementRequest &request, TimePoint now)
{
    HedgeSituation situation;
    situation.isRollingOut = m_rollout.has_value();
    situation.isSuspect = m_crashSuspects.isSuspect(request.fingerprint, now);
    situation.isFirstTargetSilent =
            request.excludedTargets.empty() ||
            isSilent(request.excludedTargets.back(), now - *request.firstAttemptAge);
    situation.hasWaitingRequests = !m_queue.empty();
    situation.utilization = utilization(now);
    situation.timeLeft = {request.latencyObjective, request.remaining};
    PickRules rules;
    rules.isWarmOnly = true;
    const auto chosen = pickMatching(request, rules, now);
    if (chosen)
        situation.expectedTime = m_baseline.medianTime;
    if (const auto refusal = m_hedging.refusalOrCount(situation, m_retryBudget, now))
        return placement_detail::refusal(request, placement_detail::reasonOf(*refusal));
    ++m_counters.retriesGranted;
    ++m_counters.hedgesGranted;
    return {request.attempt, m_service, request.transmissionNumber,
            grant(request, *chosen, now + request.remaining, now)};
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::recordHedgingTime(const Grant &grant, const AttemptReport &report,
                                            TimePoint now)
{
    Target &target = m_targets[grant.target];
    const bool isAnswered = report.outcome == AttemptOutcome::Answered;
    const bool isOvertaken = report.outcome == AttemptOutcome::Overtaken;
    if (isAnswered || report.outcome == AttemptOutcome::Failed)
        target.lastSeenAt = now;
    if (grant.wasCold)
        return;
    if ((isAnswered || isOvertaken) && !grant.isHedge)
        m_hedging.recordTime(placement_detail::routeKeyOf(grant.route), report.time);
    if (isOvertaken)
        target.health.recordMinimumTime(report.time);
}

} // namespace endivedock
