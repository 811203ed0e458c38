#include "endivedock/balancing/service_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

// What a balancer is told, and its grants and waiting requests.

namespace endivedock {

namespace {

/** Assumed before any answer. */
constexpr double initialBaseServiceTime = 50'000;
/** Requests that wait for targets of one service at the same time. */
constexpr std::size_t mostWaiting = 400;
/** Waiting requests that are passed over for one behind them, when special rules keep them back. */
constexpr int mostPassedOver = 8;
/** A grant to another host is held for this long after its request's deadline. */
constexpr Milliseconds grantMargin{300};
/** Callers that are refused come back after this time, and up to as much again. */
constexpr Milliseconds shortReturn{60};
constexpr Milliseconds longReturn{250};

} // namespace

ServiceBalancer::ServiceBalancer(ServiceId service, HostId self, const BalancingSettings &settings,
                                 Random &random)
    : m_service(std::move(service))
    , m_self(self)
    , m_settings(settings)
    , m_random(random)
    , m_retryBudget(settings.retryBudgetRatio)
    , m_fallbackRetryBudget(settings.retryBudgetRatio)
{
    m_rules.id = m_service;
    m_retryBudget.setExtraRetries(settings.extraRetries);
}

void ServiceBalancer::setRules(const ServiceRules &rules)
{
    m_rules = rules;
}

void ServiceBalancer::setHostCount(std::size_t hosts)
{
    m_hostCount = std::max<std::size_t>(hosts, 1);
    m_fallbackRetryBudget.setExtraRetries(m_settings.fallbackExtraRetries /
                                          static_cast<double>(m_hostCount));
}

void ServiceBalancer::setTargets(std::span<const RegisteredTarget> targets, TimePoint now)
{
    std::set<TargetId> present;
    std::vector<VersionId> versions;
    for (const auto &entry : targets) {
        present.insert(entry.id);
        versions.push_back(entry.version);
        const auto [position, added] = m_targets.try_emplace(entry.id, entry);
        TargetState &target = position->second;
        const bool wasCold = !added && target.isCold(now);
        if (added && entry.remainingWarmup.count() > 0)
            target.markCold(now + entry.remainingWarmup);
        if (!added)
            target.update(entry, now);
        if (target.isCold(now) && !wasCold)
            openColdAtRandom(target, now);
    }
    std::erase_if(m_targets, [&](const auto &item) { return !present.contains(item.first); });
    m_versions.setTargets(versions);
}

void ServiceBalancer::setEvacuatedZones(const std::set<ZoneId> &zones, TimePoint now)
{
    for (auto &[id, target] : m_targets) {
        const ZoneId &zone = target.registered().zone;
        if (!m_evacuatedZones.contains(zone) || zones.contains(zone))
            continue;
        // Unseen meanwhile, so it may have turned cold; a probe tells sooner.
        target.markCold(now + m_rules.warmup);
        openColdAtRandom(target, now);
    }
    m_evacuatedZones = zones;
}

void ServiceBalancer::openColdAtRandom(TargetState &target, TimePoint now)
{
    const auto wait = coldInterval(PlacementMode::Alone) * drawUnitInterval(m_random);
    target.openCold(now + std::chrono::duration_cast<Duration>(wait));
}

Duration ServiceBalancer::coldInterval(PlacementMode manner) const
{
    if (!m_rules.warmupRate || m_rules.warmupRate->value() <= 0)
        return Duration::zero();
    const double rate = m_rules.warmupRate->value();
    const double interval = manner == PlacementMode::Central
                                    ? 1 / (rate * m_settings.coldRateShare.value())
                                    : static_cast<double>(m_hostCount) /
                                              (rate * m_settings.fallbackColdRateShare.value());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval));
}

Microseconds ServiceBalancer::baseServiceTime() const
{
    return Microseconds(static_cast<std::int64_t>(m_baseServiceTime > 0 ? m_baseServiceTime
                                                                        : initialBaseServiceTime));
}

Refusal ServiceBalancer::refuse(RefusalReason reason, Milliseconds retryAfter)
{
    ++m_counters.rejected;
    const auto spread = static_cast<std::int64_t>(drawUnitInterval(m_random) *
                                                  static_cast<double>(retryAfter.count()));
    return {reason, RunCertainty::NotRun, retryAfter + Milliseconds(spread)};
}

std::optional<Refusal> ServiceBalancer::refuseEarly(const PlacementRequest &request,
                                                    RetryBudget &budget, TimePoint now)
{
    if (m_suspects.isQuarantined(request.fingerprint, now))
        return Refusal{RefusalReason::CrashSuspect, RunCertainty::NotRun};
    if (!request.isRetry) {
        budget.recordFirstAttempt(now);
        return std::nullopt;
    }
    if (!budget.tryRetry(now))
        return refuse(RefusalReason::RetryBudget, shortReturn);
    ++m_counters.retries;
    return std::nullopt;
}

std::optional<ServiceBalancer::Outcome> ServiceBalancer::place(const PlacementRequest &request,
                                                               TimePoint now)
{
    if (m_tickets.contains(request.attempt))
        return std::nullopt; // Sent again while it waits.
    const auto granted = m_granted.find(request.attempt);
    if (granted != m_granted.end()) {
        if (const auto choice = find(granted->second))
            return *choice;
    }
    refreshBaseline(now);
    m_placedAt = now;
    if (auto refusal = refuseEarly(request, m_retryBudget, now))
        return *refusal;
    const std::size_t ahead = m_waiting.countAhead(request.priority);
    const Verdict verdict = decide(request, ahead, Duration::zero(), now);
    if (verdict.chosen && m_waiting.empty())
        return grant(request, *verdict.chosen, PlacementMode::Central, now);
    const bool queueStands = !verdict.chosen && waitAhead(request, now) > longestWait(request);
    if (queueStands || (!verdict.chosen && !verdict.wait))
        return refuse(queueStands ? RefusalReason::QueueFull : verdict.reason,
                      verdict.reason == RefusalReason::NoTarget ? longReturn : shortReturn);
    const Duration latestStart = latestFinish(request) - baseServiceTime();
    auto admission = m_waiting.add(Waiting{request, now}, request.priority,
                                   now + std::max(latestStart, Duration::zero()), mostWaiting);
    if (!admission.ticket)
        return refuse(RefusalReason::QueueFull, shortReturn);
    m_tickets[request.attempt] = *admission.ticket;
    if (admission.evicted) {
        m_tickets.erase(admission.evicted->request.attempt);
        m_evicted.push_back(std::move(admission.evicted->request));
    }
    return std::nullopt;
}

std::vector<PlacementDecision> ServiceBalancer::dispatch(TimePoint now)
{
    std::vector<PlacementDecision> result;
    expireGrants(now);
    for (auto &request : std::exchange(m_evicted, {}))
        result.push_back({std::move(request), refuse(RefusalReason::QueueFull, shortReturn)});
    while (auto overdue = m_waiting.takeExpired(now)) {
        m_tickets.erase(overdue->request.attempt);
        result.push_back({overdue->request, refuse(RefusalReason::QueueFull, shortReturn)});
    }
    if (m_waiting.empty())
        return result;
    refreshBaseline(now);
    std::size_t ahead = 0;
    m_waiting.serve(mostPassedOver, [&](const Waiting &waiting) {
        PlacementRequest request = waiting.request;
        const Duration waited = now - waiting.arrivedAt;
        const Verdict verdict = decide(request, ahead, waited, now);
        if (!verdict.chosen) {
            ++ahead;
            return false;
        }
        request.remaining -= toMilliseconds(waited);
        m_tickets.erase(request.attempt);
        result.push_back({request, grant(request, *verdict.chosen, PlacementMode::Central, now)});
        return true;
    });
    return result;
}

void ServiceBalancer::cancel(const AttemptId &attempt)
{
    const auto ticket = m_tickets.find(attempt);
    if (ticket != m_tickets.end()) {
        m_waiting.remove(ticket->second);
        m_tickets.erase(ticket);
    }
    const auto granted = m_granted.find(attempt);
    if (granted == m_granted.end())
        return;
    const auto grant = m_grants.find(granted->second);
    const auto target = m_targets.find(grant->second.target);
    if (target != m_targets.end())
        target->second.ended(grant->first);
    m_grants.erase(grant);
    m_granted.erase(granted);
}

ServiceBalancer::Outcome ServiceBalancer::placeAsFallback(const PlacementRequest &request,
                                                          TimePoint now)
{
    refreshBaseline(now);
    if (auto refusal = refuseEarly(request, m_fallbackRetryBudget, now))
        return *refusal;
    const bool moving = m_versions.running().has_value();
    const bool moved = moving && m_rolloutShare >= Share(1);
    const bool toNew = moved || (moving && drawUnitInterval(m_random) < m_rolloutShare.value());
    std::optional<Candidate> chosen;
    if (toNew) {
        Survey fresh = survey(request, VersionRole::New, PlacementMode::Alone, now);
        chosen = pickFrom(fresh.candidates, spreadOfNew());
    }
    const VersionRole role = moved ? VersionRole::New : VersionRole::Old;
    if (!chosen) {
        Survey seen = survey(request, role, PlacementMode::Alone, now);
        chosen = pickFrom(seen.candidates);
    }
    if (!chosen) {
        Survey seen = survey(request, role, PlacementMode::Desperate, now);
        chosen = pickFrom(seen.candidates);
    }
    if (!chosen)
        return refuse(RefusalReason::NoTarget, longReturn);
    const auto finish = Microseconds(static_cast<std::int64_t>(chosen->finish));
    if (finish > latestFinish(request) && chosen->inFlight > 0)
        return refuse(RefusalReason::QueueFull, shortReturn);
    return grant(request, *chosen, PlacementMode::Alone, now);
}

std::optional<TargetChoice> ServiceBalancer::acceptPlacement(const PlacementRequest &request,
                                                             const Placement &placement,
                                                             HostId placedBy, TimePoint now)
{
    const auto found = m_targets.find(placement.target);
    if (found == m_targets.end())
        return std::nullopt;
    TargetState &target = found->second;
    const RegisteredTarget &entry = target.registered();
    if (entry.draining || m_evacuatedZones.contains(entry.zone) || !m_versions.role(entry.version))
        return std::nullopt;
    Candidate chosen;
    chosen.target = &target;
    chosen.finish = expectedWork(target, now);
    chosen.inFlight = target.inFlight(now, m_settings).value();
    return track(request, placement.grant, placedBy, chosen, now);
}

TargetChoice ServiceBalancer::grant(const PlacementRequest &request, const Candidate &chosen,
                                    PlacementMode manner, TimePoint now)
{
    if (chosen.target->isCold(now)) {
        chosen.target->spendCold(now, coldInterval(manner));
        ++m_counters.chosenCold;
    }
    return track(request, GrantId(m_random() | 1), m_self, chosen, now);
}

TargetChoice ServiceBalancer::track(const PlacementRequest &request, GrantId id, HostId placedBy,
                                    const Candidate &chosen, TimePoint now)
{
    TargetState &target = *chosen.target;
    const RegisteredTarget &entry = target.registered();
    const bool cold = target.isCold(now);
    Grant grant;
    grant.attempt = request.attempt;
    grant.placedBy = placedBy;
    grant.sentBy = request.attempt.host;
    grant.target = entry.id;
    grant.route = request.route;
    grant.fingerprint = request.fingerprint;
    grant.crowded = chosen.inFlight >= roomOf(target);
    grant.isCold = cold;
    grant.slowdown = target.slowdown().slowdown;
    grant.expires = now + request.remaining + grantMargin;
    if (grant.sentBy != m_self)
        m_granted[request.attempt] = id;
    m_grants[id] = std::move(grant);
    target.sent(id, now);
    ++m_counters.chosen;
    TargetChoice choice = *find(id);
    choice.inFlight = Slots(chosen.inFlight);
    choice.expectedTime = Milliseconds(static_cast<std::int64_t>(chosen.finish / 1000));
    choice.slowdownAge = toMilliseconds(now - target.slowdown().at);
    return choice;
}

void ServiceBalancer::expireGrants(TimePoint now)
{
    std::vector<AttemptId> expired;
    for (const auto &[attempt, id] : m_granted) {
        if (m_grants.at(id).expires <= now)
            expired.push_back(attempt);
    }
    for (const auto &attempt : expired)
        cancel(attempt);
}

std::optional<TargetChoice> ServiceBalancer::find(GrantId id) const
{
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end())
        return std::nullopt;
    const auto target = m_targets.find(grant->second.target);
    if (target == m_targets.end())
        return std::nullopt;
    TargetChoice choice;
    choice.grant = id;
    choice.target = target->second.registered();
    const int part = m_rules.connections.value() / static_cast<int>(m_hostCount);
    choice.connections = Connections(std::max(part, choice.target.slots.value() + 1));
    choice.isCold = grant->second.isCold;
    return choice;
}

} // namespace endivedock
