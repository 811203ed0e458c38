#include "endivedock/balancing/service_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

// Configuration, grants and the queue of a service balancer.

namespace endivedock {

namespace {

/** Upper bound on the requests that wait in the queue of one service. */
constexpr std::size_t maxWaiting = 400;
/**
 * Maximum number of waiting requests that one call of dispatch() passes over to serve requests
 * behind them. A request is passed over if its own restrictions, such as excluded targets, keep it
 * waiting.
 */
constexpr int maxPassedOver = 8;
/** A grant to another host expires this long after the deadline of its request. */
constexpr Milliseconds grantGracePeriod{300};
/** Retry delay of a refused caller; jitter adds up to the same time again. */
constexpr Milliseconds shortRetryDelay{60};
/** As shortRetryDelay, for a service without a usable target. */
constexpr Milliseconds longRetryDelay{250};

} // namespace

ServiceBalancer::ServiceBalancer(ServiceId service, HostId self, const BalancingSettings &settings,
                                 Random &random, CrashSuspects &suspects)
    : m_service(std::move(service))
    , m_self(self)
    , m_settings(settings)
    , m_random(random)
    , m_retryBudget(settings.retryBudgetRatio)
    , m_fallbackRetryBudget(settings.retryBudgetRatio)
    , m_hedging(settings.hedgingShare)
    , m_suspects(suspects)
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
        if (!added) {
            if (target.isReplacedBy(entry))
                m_suspects.recordTargetEnded(entry.id, now);
            target.update(entry, now);
        }
        target.setStatedDraining(m_drainingTargets.contains(processOf(entry)));
        if (target.isCold(now) && !wasCold)
            delayFirstColdRequest(target, now);
    }
    std::erase_if(m_targets, [&](const auto &item) {
        if (present.contains(item.first))
            return false;
        m_suspects.recordTargetEnded(item.first, now);
        return true;
    });
    m_versions.setTargets(versions);
    indexTargets();
}

void ServiceBalancer::indexTargets()
{
    m_targetList.clear();
    m_ownTargets.clear();
    m_targetsByHash.clear();
    for (auto &[id, target] : m_targets) {
        m_targetList.push_back(&target);
        if (isPlacedHere(target))
            m_ownTargets.push_back(&target);
        m_targetsByHash.emplace_back(hashTarget(target.registered()), &target);
        target.setPlacedInFlight(0);
    }
    std::sort(m_targetsByHash.begin(), m_targetsByHash.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    for (const auto &[sender, id] : m_grantsBySender) {
        const auto found = m_targets.find(m_grants.at(id).target);
        if (found != m_targets.end())
            found->second.setPlacedInFlight(found->second.placedInFlight() + 1);
    }
}

void ServiceBalancer::setEvacuatedZones(const std::set<ZoneId> &zones, TimePoint now)
{
    for (auto &[id, target] : m_targets) {
        const ZoneId &zone = target.registered().zone;
        if (!m_evacuatedZones.contains(zone) || zones.contains(zone))
            continue;
        // The target may have turned cold while this host did not observe it; a probe that shows it
        // to be warm ends this state early.
        target.markCold(now + m_rules.warmup);
        delayFirstColdRequest(target, now);
    }
    m_evacuatedZones = zones;
}

void ServiceBalancer::delayFirstColdRequest(TargetState &target, TimePoint now)
{
    const auto delay = coldRequestInterval(PlacementMode::Fallback) * drawUnitInterval(m_random);
    target.delayColdAllowance(now + std::chrono::duration_cast<Duration>(delay));
}

Duration ServiceBalancer::coldRequestInterval(PlacementMode mode) const
{
    if (!m_rules.warmupRate || m_rules.warmupRate->value() <= 0)
        return Duration::zero();
    const double warmupRate = m_rules.warmupRate->value();
    const double interval =
            mode == PlacementMode::Central
                    ? 1 / (warmupRate * m_settings.coldRateShare.value())
                    : static_cast<double>(m_hostCount) /
                              (warmupRate * m_settings.fallbackColdRateShare.value());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval));
}

Refusal ServiceBalancer::refuse(RefusalReason reason, Milliseconds retryAfter)
{
    ++m_counters.refusals;
    const auto jitter = static_cast<std::int64_t>(drawUnitInterval(m_random) *
                                                  static_cast<double>(retryAfter.count()));
    return {reason, RunCertainty::NotRun, retryAfter + Milliseconds(jitter)};
}

std::optional<Refusal> ServiceBalancer::checkRetryBudget(const PlacementRequest &request,
                                                         RetryBudget &budget, TimePoint now)
{
    if (!request.isRetry) {
        budget.recordFirstAttempt(now);
        m_hedging.recordFirstAttempt(now);
        return std::nullopt;
    }
    if (!budget.tryRetry(now))
        return refuse(RefusalReason::RetryBudget, shortRetryDelay);
    ++m_counters.retries;
    return std::nullopt;
}

std::optional<ServiceBalancer::Outcome> ServiceBalancer::place(const PlacementRequest &request,
                                                               TimePoint now)
{
    if (m_tickets.contains(request.attempt))
        return std::nullopt; // The request was sent again while it waits.
    const auto granted = m_grantsToOthers.find(request.attempt);
    if (granted != m_grantsToOthers.end()) {
        const auto choice = find(granted->second);
        if (choice && !isDraining(choice->target.id))
            return *choice;
        // The requesting host refuses a draining target, so the request is placed again. If the
        // target has left the registry, that host may use it still.
        if (choice)
            cancel(request.attempt);
    }
    refreshBaseline(now);
    m_lastPlacementAt = now;
    if (request.firstAttemptAge)
        return placeHedge(request, now);
    // The placing host of the zone that passed the request on has admitted and counted it.
    if (!request.isSpilled) {
        if (!m_suspects.tryAdmit(request.fingerprint, now))
            return Refusal{RefusalReason::CrashSuspect, RunCertainty::NotRun};
        if (auto refusal = checkRetryBudget(request, m_retryBudget, now))
            return *refusal;
    }
    const FairQueueKey key{request.priority, request.team,
                           m_serviceTimes.expected(request.requestClass)};
    const std::size_t requestsAhead = m_waiting.countAhead(key);
    const Decision decision = decide(request, requestsAhead, Duration::zero(), now);
    if (auto other = spill(request, decision, now))
        return std::move(*other);
    if (decision.chosen && m_waiting.empty()) {
        m_waiting.charge(key);
        return grant(request, *decision.chosen, PlacementMode::Central, now);
    }
    const bool isQueueStanding = !decision.chosen && waitOfQueueFront(key, now) > maxWait(request);
    if (isQueueStanding || (!decision.chosen && !decision.shouldWait))
        return refuse(isQueueStanding ? RefusalReason::QueueFull : decision.reason,
                      decision.reason == RefusalReason::NoTarget ? longRetryDelay
                                                                 : shortRetryDelay);
    const Duration latestStart = maxExpectedTime(request) - key.work;
    auto admission = m_waiting.add(WaitingRequest{request, now}, key,
                                   now + std::max(latestStart, Duration::zero()), maxWaiting);
    if (!admission.ticket)
        return refuse(RefusalReason::QueueFull, shortRetryDelay);
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
        result.push_back({std::move(request), refuse(RefusalReason::QueueFull, shortRetryDelay)});
    while (auto overdue = m_waiting.takeExpired(now)) {
        m_tickets.erase(overdue->request.attempt);
        result.push_back({overdue->request, refuse(RefusalReason::QueueFull, shortRetryDelay)});
    }
    if (m_waiting.empty())
        return result;
    refreshBaseline(now);
    std::size_t requestsAhead = 0;
    m_waiting.serve(maxPassedOver, [&](const WaitingRequest &waiting) {
        PlacementRequest request = waiting.request;
        const Duration waited = now - waiting.arrivedAt;
        const Decision decision = decide(request, requestsAhead, waited, now);
        if (auto other = spill(request, decision, now)) {
            m_tickets.erase(request.attempt);
            result.push_back({std::move(request), std::move(*other)});
            return true;
        }
        if (!decision.chosen) {
            ++requestsAhead;
            return false;
        }
        request.remaining -= toMilliseconds(waited);
        m_tickets.erase(request.attempt);
        result.push_back({request, grant(request, *decision.chosen, PlacementMode::Central, now)});
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
    const auto granted = m_grantsToOthers.find(attempt);
    if (granted == m_grantsToOthers.end())
        return;
    revoke(granted->second);
}

void ServiceBalancer::revoke(GrantId id)
{
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end())
        return;
    const auto target = m_targets.find(grant->second.target);
    if (target != m_targets.end())
        target->second.removeInFlight(id);
    eraseGrant(grant);
}

void ServiceBalancer::eraseGrant(std::map<GrantId, Grant>::iterator position)
{
    const auto &[id, grant] = *position;
    if (m_grantsBySender.erase({grant.sentBy, id}) > 0) {
        const auto target = m_targets.find(grant.target);
        if (target != m_targets.end())
            target->second.setPlacedInFlight(target->second.placedInFlight() - 1);
    }
    m_grantExpiries.erase({grant.expiresAt, id});
    const auto granted = m_grantsToOthers.find(grant.attempt);
    if (granted != m_grantsToOthers.end() && granted->second == id)
        m_grantsToOthers.erase(granted);
    m_grants.erase(position);
}

ServiceBalancer::Outcome ServiceBalancer::placeAsFallback(const PlacementRequest &request,
                                                          TimePoint now)
{
    refreshBaseline(now);
    // Only the placing host tries a quarantined request again.
    if (m_suspects.isQuarantined(request.fingerprint, now))
        return Refusal{RefusalReason::CrashSuspect, RunCertainty::NotRun};
    if (auto refusal = checkRetryBudget(request, m_fallbackRetryBudget, now))
        return *refusal;
    const bool isRollingOut = m_versions.running().has_value();
    const bool isRolledOut = isRollingOut && m_rolloutShare >= Share(1);
    const bool triesNewVersion =
            isRolledOut || (isRollingOut && drawUnitInterval(m_random) < m_rolloutShare.value());
    std::optional<Candidate> chosen;
    if (triesNewVersion) {
        Evaluation newVersion =
                evaluateTargets(request, VersionRole::New, PlacementMode::Fallback, now);
        chosen = pickFrom(newVersion.candidates, newVersionSpread());
    }
    const VersionRole role = isRolledOut ? VersionRole::New : VersionRole::Old;
    if (!chosen) {
        Evaluation evaluated = evaluateTargets(request, role, PlacementMode::Fallback, now);
        chosen = pickFrom(evaluated.candidates);
    }
    if (!chosen) {
        Evaluation evaluated = evaluateTargets(request, role, PlacementMode::LastResort, now);
        chosen = pickFrom(evaluated.candidates);
    }
    if (!chosen)
        return refuse(RefusalReason::NoTarget, longRetryDelay);
    const auto expectedTime = Microseconds(static_cast<std::int64_t>(chosen->expectedTime));
    if (expectedTime > maxExpectedTime(request) && chosen->inFlight > 0)
        return refuse(RefusalReason::QueueFull, shortRetryDelay);
    return grant(request, *chosen, PlacementMode::Fallback, now);
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
    if (target.isDraining() || target.isClosed(now) || m_evacuatedZones.contains(entry.zone) ||
        !m_versions.role(entry.version))
        return std::nullopt;
    Candidate chosen;
    chosen.target = &target;
    chosen.expectedTime =
            static_cast<double>(m_serviceTimes.expected(request.requestClass).count()) *
            expectedSlowdown(target, now);
    chosen.inFlight = target.inFlight(now, m_settings).value();
    TargetChoice choice = recordGrant(request, placement.grant, placedBy, chosen, now);
    choice.hedgeAfter = placement.hedgeAfter;
    return choice;
}

TargetChoice ServiceBalancer::grant(const PlacementRequest &request, const Candidate &chosen,
                                    PlacementMode mode, TimePoint now)
{
    if (chosen.target->isCold(now)) {
        chosen.target->consumeColdAllowance(now, coldRequestInterval(mode));
        ++m_counters.coldGrants;
    }
    if (request.isSpilled)
        ++m_counters.takenIn;
    TargetChoice choice = recordGrant(request, GrantId(m_random() | 1), m_self, chosen, now);
    if (mode == PlacementMode::Central)
        choice.hedgeAfter = m_grants[choice.grant].hedgeAfter = hedgeAfter(request);
    return choice;
}

TargetChoice ServiceBalancer::recordGrant(const PlacementRequest &request, GrantId id,
                                          HostId placedBy, const Candidate &chosen, TimePoint now)
{
    TargetState &target = *chosen.target;
    const RegisteredTarget &entry = target.registered();
    const bool isCold = target.isCold(now);
    Grant grant;
    grant.attempt = request.attempt;
    grant.placedBy = placedBy;
    grant.sentBy = request.attempt.host;
    grant.target = entry.id;
    grant.process = processOf(entry);
    grant.route = request.route;
    grant.requestClass = request.requestClass;
    grant.fingerprint = request.fingerprint;
    grant.isOverfilled = chosen.inFlight >= usableSlots(target);
    grant.isCold = isCold;
    grant.isHedge = request.firstAttemptAge.has_value();
    grant.slowdown = target.slowdown().slowdown;
    grant.zone = entry.zone;
    grant.grantedAt = now;
    grant.expiresAt = now + request.remaining + grantGracePeriod;
    if (grant.sentBy != m_self) {
        m_grantsToOthers[request.attempt] = id;
        m_grantExpiries.emplace(grant.expiresAt, id);
    }
    if (placedBy == m_self && m_grantsBySender.emplace(grant.sentBy, id).second)
        target.setPlacedInFlight(target.placedInFlight() + 1);
    m_grants[id] = std::move(grant);
    target.addInFlight(id, now, unresponsiveTimeout(request.requestClass),
                       m_grants[id].sentBy == m_self);
    ++m_counters.chosen;
    TargetChoice choice = *find(id);
    choice.inFlight = Slots(chosen.inFlight);
    choice.expectedTime = Milliseconds(static_cast<std::int64_t>(chosen.expectedTime / 1000));
    choice.slowdownAge = toMilliseconds(now - target.slowdown().at);
    return choice;
}

void ServiceBalancer::expireGrants(TimePoint now)
{
    while (!m_grantExpiries.empty() && m_grantExpiries.begin()->first <= now) {
        const GrantId id = m_grantExpiries.begin()->second;
        m_grantExpiries.erase(m_grantExpiries.begin());
        revoke(id);
    }
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
    const int connectionsPerHost = m_rules.connections.value() / static_cast<int>(m_hostCount);
    choice.connections = Connections(std::max(connectionsPerHost, choice.target.slots.value() + 1));
    choice.isCold = grant->second.isCold;
    choice.hedgeAfter = grant->second.hedgeAfter;
    return choice;
}

} // namespace endivedock
