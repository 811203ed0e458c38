#include "endivedock/balancing/service_balancer.h"

#include <algorithm>

// Hedges: second attempts at requests that have no response yet.

namespace endivedock {

namespace {

/** Retry delay of a refused hedge; the requesting host does not ask again. */
constexpr Milliseconds hedgeRetryDelay{60};

RefusalReason reasonOf(HedgeRefusal refusal)
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

} // namespace

Milliseconds ServiceBalancer::hedgeAfter(const PlacementRequest &request) const
{
    if (request.isRetry || m_versions.running() || !m_waiting.empty())
        return Milliseconds(0);
    return m_hedging
            .startAfter(request.requestClass.route, {request.latencyObjective, request.remaining})
            .value_or(Milliseconds(0));
}

Share ServiceBalancer::utilization(TimePoint now) const
{
    int inFlight = 0;
    int slots = 0;
    for (const TargetState *target : m_ownTargets) {
        if (!isEligible(*target, VersionRole::Old) || target->isUnavailable(now) ||
            target->isCold(now))
            continue;
        inFlight += target->inFlight(now, m_settings).value();
        slots += usableSlots(*target);
    }
    return Share(slots == 0 ? 1.0 : static_cast<double>(inFlight) / slots);
}

HedgeSituation ServiceBalancer::hedgeSituation(const PlacementRequest &request, TimePoint now) const
{
    HedgeSituation result;
    result.isRollingOut = m_versions.running().has_value();
    result.isSuspect = m_suspects.isSuspect(request.fingerprint, now);
    const auto first = request.excludedTargets.empty()
                               ? m_targets.end()
                               : m_targets.find(request.excludedTargets.back());
    result.isFirstTargetSilent = first == m_targets.end() || first->second.isUnavailable(now) ||
                                 first->second.lastSeenAt() <= now - *request.firstAttemptAge;
    result.hasWaitingRequests = !m_waiting.empty();
    result.utilization = utilization(now);
    result.timeLeft = {request.latencyObjective, request.remaining};
    return result;
}

std::optional<ServiceBalancer::Candidate>
ServiceBalancer::pickForHedge(const PlacementRequest &request, TimePoint now)
{
    auto candidates =
            evaluateTargets(request, VersionRole::Old, PlacementMode::Central, now).candidates;
    std::erase_if(candidates, [&](const Candidate &each) {
        return each.target->isCold(now) || !looksHealthy(*each.target, now);
    });
    const bool hasZoneLocal = std::any_of(candidates.begin(), candidates.end(),
                                          [](const Candidate &each) { return each.isZoneLocal; });
    if (hasZoneLocal)
        std::erase_if(candidates, [](const Candidate &each) { return !each.isZoneLocal; });
    return pickFrom(candidates);
}

ServiceBalancer::Outcome ServiceBalancer::placeHedge(const PlacementRequest &request, TimePoint now)
{
    HedgeSituation situation = hedgeSituation(request, now);
    const auto chosen = pickForHedge(request, now);
    if (chosen)
        situation.expectedTime = Microseconds(static_cast<std::int64_t>(chosen->expectedTime));
    if (const auto refusal = m_hedging.refusalOrCount(situation, m_retryBudget, now)) {
        m_hedgeRefusal = refusal;
        return refuse(reasonOf(*refusal), hedgeRetryDelay);
    }
    ++m_counters.retries;
    ++m_counters.hedges;
    return grant(request, *chosen, PlacementMode::Central, now);
}

void ServiceBalancer::recordOvertaken(TargetState &target, const Grant &grant, Microseconds time)
{
    if (!grant.isHedge)
        m_hedging.recordTime(grant.requestClass.route, time);
    if (!grant.isCold && !grant.isOverfilled)
        target.health().recordMinimumTime(asMeanRequest(grant.requestClass, time));
}

} // namespace endivedock
