#pragma once

#include "endivedock/edge/shared_placement.h"
#include "endivedock/edge/shared_placement_messages-inl.h"

#include <algorithm>

namespace endivedock {

namespace placement_detail {

/**
 * Shortest time to wait for an answer: it covers one round trip between zones and the delays on
 * the placing host. Waiting longer costs the callers of a request with a short latency objective
 * more than a fallback placement does.
 */
constexpr Milliseconds minAnswerTimeout{25};
/**
 * Longest time to wait for an answer. A request with a long latency objective loses little by
 * waiting longer than minAnswerTimeout, and the placing host's choice is better than a fallback.
 */
constexpr Milliseconds maxAnswerTimeout{60};
/**
 * The time to wait for an answer is the latency objective divided by this, but at least
 * minAnswerTimeout and at most maxAnswerTimeout.
 */
constexpr int answerTimeoutDivisor = 12;
/** A request that waits in the placing host's queue is sent to that host again after this time. */
constexpr Milliseconds queuedRetransmitInterval{120};

/** @return how long a request waits for the answer of its placing host */
inline Milliseconds answerTimeoutFor(Milliseconds latencyObjective)
{
    return std::clamp(latencyObjective / answerTimeoutDivisor, minAnswerTimeout, maxAnswerTimeout);
}

/** @return whether the placing host has granted or refused the request */
inline bool isDecided(const std::optional<PlacementAnswer> &answer)
{
    return answer && (std::holds_alternative<Placement>(answer->outcome) ||
                      std::holds_alternative<Refusal>(answer->outcome));
}

/** @return the outcome of a fallback placement as one of asking a placing host */
inline std::variant<PlacedTarget, Refusal, OtherZone>
asAsked(std::variant<PlacedTarget, Refusal> outcome)
{
    if (auto *placed = std::get_if<PlacedTarget>(&outcome))
        return std::move(*placed);
    return std::move(std::get<Refusal>(outcome));
}

} // namespace placement_detail

/** Registers a pending request for as long as its task waits. */
template <PlacementPeers Peers>
class SharedPlacement<Peers>::PendingScope
{
public:
    PendingScope(std::map<AttemptId, Pending *> &pendingRequests, const AttemptId &attempt,
                 Pending &pending)
        : m_pendingRequests(pendingRequests)
        , m_attempt(attempt)
    {
        m_pendingRequests[attempt] = &pending;
    }
    ~PendingScope() { m_pendingRequests.erase(m_attempt); }
    PendingScope(const PendingScope &) = delete;

private:
    std::map<AttemptId, Pending *> &m_pendingRequests;
    AttemptId m_attempt;
};

template <PlacementPeers Peers>
Task<std::variant<PlacedTarget, Refusal>> SharedPlacement<Peers>::place(PlacementRequest request,
                                                                        TimePoint deadline)
{
    ServiceBalancer *balancer = find(request.service);
    if (balancer == nullptr)
        co_return Refusal{RefusalReason::NoTarget, RunCertainty::NotRun};
    request.zone = m_settings.zone;
    const TimePoint now = SteadyClock().now();
    const HostId placingHost = firstPlacingHost(request, *balancer, now);
    if (request.firstAttemptAge && m_suspects.isSuspect(request.fingerprint, now))
        co_return Refusal{RefusalReason::CrashSuspect, RunCertainty::NotRun};
    // This host may know of a crash of which the placing host does not know yet.
    if (placingHost != m_self && !m_suspects.tryAdmit(request.fingerprint, now)) {
        const Refusal refusal{RefusalReason::CrashSuspect, RunCertainty::NotRun};
        logRefusal(request, refusal);
        co_return refusal;
    }
    request.closedTargets = balancer->closedTargets(now);
    if (auto refusal = balancer->refusalIfAllClosed(now)) {
        logRefusal(request, *refusal);
        co_return std::move(*refusal);
    }
    AskedOutcome outcome = co_await ask(placingHost, request, deadline);
    if (const auto *other = std::get_if<OtherZone>(&outcome)) {
        const TimePoint askedAt = SteadyClock().now();
        const HostId otherHost = m_peers.placingHost(request.service, other->zone, askedAt);
        logSpill(request, *other, otherHost);
        request.isSpilled = true;
        request.remaining = toMilliseconds(deadline - askedAt);
        outcome = co_await ask(otherHost, request, deadline);
    }
    if (auto *placed = std::get_if<PlacedTarget>(&outcome))
        co_return std::move(*placed);
    if (auto *refusal = std::get_if<Refusal>(&outcome))
        co_return std::move(*refusal);
    co_return placeAsFallback(request);
}

template <PlacementPeers Peers>
HostId SharedPlacement<Peers>::firstPlacingHost(const PlacementRequest &request,
                                                const ServiceBalancer &balancer, TimePoint now)
{
    // The trials of a request that crashes targets are counted by one host for all zones.
    if (balancer.division().isDivided() && m_suspects.isQuarantined(request.fingerprint, now))
        return m_peers.placingHost(request.service, balancer.division().leadingZone(), now);
    return m_peers.placingHost(request.service, now);
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::logSpill(const PlacementRequest &request, const OtherZone &other,
                                      HostId placingHost)
{
    m_metrics.count("endivedock_requests_spilled_total",
                    {{"service", request.service.value()}, {"to", other.zone.value()}});
    m_log.info("Request passed on to another zone",
               {field("id", request.attempt.request), field("service", request.service),
                field("from", m_settings.zone), field("to", other.zone), field("by", placingHost),
                field("why", other.isSlower ? "targets-slower" : "no-room")});
}

template <PlacementPeers Peers>
Task<typename SharedPlacement<Peers>::AskedOutcome>
SharedPlacement<Peers>::ask(HostId placingHost, PlacementRequest request, TimePoint deadline)
{
    ServiceBalancer *balancer = find(request.service);
    const TimePoint now = SteadyClock().now();
    Pending pending(m_executor);
    pending.placingHost = placingHost;
    pending.service = request.service;
    const PendingScope scope(m_pending, request.attempt, pending);
    std::optional<PlacementAnswer> answer;
    if (placingHost == m_self) {
        if (auto outcome = balancer->place(request, now)) {
            logRefusal(request, *outcome);
            if (const auto *choice = std::get_if<TargetChoice>(&*outcome))
                co_return makePlacedTarget(request, *choice, m_self);
            if (const auto *other = std::get_if<OtherZone>(&*outcome))
                co_return *other;
            co_return std::get<Refusal>(*outcome);
        }
        answer = co_await pending.answer.wait(deadline);
        if (!answer)
            balancer->cancel(request.attempt);
    } else {
        answer = co_await requestPlacement(request, pending, deadline);
    }
    if (pending.isAbandoned) {
        if (placingHost == m_self && answer)
            releaseUnused(request, *answer);
        co_return Refusal{RefusalReason::DeadlineExceeded, RunCertainty::NotRun};
    }
    request.remaining = toMilliseconds(deadline - SteadyClock().now());
    // Hedges need the knowledge and the limit of the placing host.
    if (request.firstAttemptAge && !placement_detail::isDecided(answer))
        co_return Refusal{RefusalReason::NoTarget, RunCertainty::NotRun};
    if (answer)
        co_return applyAnswer(request, placingHost, *answer);
    if (request.remaining <= Milliseconds(0))
        co_return Refusal{RefusalReason::DeadlineExceeded, RunCertainty::NotRun};
    co_return placement_detail::asAsked(placeAsFallback(request));
}

template <PlacementPeers Peers>
Task<std::optional<PlacementAnswer>>
SharedPlacement<Peers>::requestPlacement(PlacementRequest request, Pending &pending,
                                         TimePoint deadline)
{
    const TimePoint startedAt = SteadyClock().now();
    const Milliseconds answerTimeout = placement_detail::answerTimeoutFor(request.latencyObjective);
    const Milliseconds remaining = request.remaining;
    while (SteadyClock().now() < deadline) {
        const TimePoint now = SteadyClock().now();
        request.remaining = remaining - toMilliseconds(now - startedAt);
        m_peers.send(pending.placingHost, request);
        pending.isQueued = false;
        auto answer = co_await pending.answer.wait(std::min(deadline, now + answerTimeout));
        if (!answer && pending.isQueued) {
            // If the answer with the decision is lost, the placing host answers again when it
            // receives the next transmission of the request.
            const TimePoint until = now + placement_detail::queuedRetransmitInterval;
            answer = co_await pending.answer.wait(std::min(deadline, until));
        }
        if (pending.isAbandoned)
            break;
        if (answer)
            co_return answer;
        if (!pending.isQueued) {
            m_metrics.count("endivedock_placements_unanswered_total");
            m_peers.recordTimeout(pending.placingHost, SteadyClock().now());
            break;
        }
        ++request.transmissionNumber;
    }
    m_peers.send(pending.placingHost, PlacementCancel{request.attempt, request.service});
    co_return std::nullopt;
}

template <PlacementPeers Peers>
std::variant<PlacedTarget, Refusal>
SharedPlacement<Peers>::placeAsFallback(const PlacementRequest &request)
{
    m_metrics.count("endivedock_placements_alone_total");
    ServiceBalancer *balancer = find(request.service);
    auto outcome = balancer->placeAsFallback(request, SteadyClock().now());
    logRefusal(request, outcome);
    if (const auto *refusal = std::get_if<Refusal>(&outcome))
        return *refusal;
    return makePlacedTarget(request, std::get<TargetChoice>(outcome), m_self);
}

template <PlacementPeers Peers>
typename SharedPlacement<Peers>::AskedOutcome
SharedPlacement<Peers>::applyAnswer(const PlacementRequest &request, HostId placedBy,
                                    const PlacementAnswer &answer)
{
    if (const auto *refusal = std::get_if<Refusal>(&answer.outcome))
        return *refusal;
    if (const auto *other = std::get_if<OtherZone>(&answer.outcome))
        return *other;
    const auto *placement = std::get_if<Placement>(&answer.outcome);
    if (placement == nullptr)
        return placement_detail::asAsked(placeAsFallback(request));
    ServiceBalancer *balancer = find(request.service);
    if (placedBy == m_self) {
        // The balancer already counted this grant when it chose the target.
        const auto choice = balancer->find(placement->grant);
        if (choice)
            return makePlacedTarget(request, *choice, m_self);
        return placement_detail::asAsked(placeAsFallback(request));
    }
    const auto choice =
            balancer->acceptPlacement(request, *placement, placedBy, SteadyClock().now());
    if (choice)
        return makePlacedTarget(request, *choice, placedBy);
    refuseChoice(request, *placement, placedBy);
    if (request.firstAttemptAge)
        return Refusal{RefusalReason::NoTarget, RunCertainty::NotRun};
    return placement_detail::asAsked(placeAsFallback(request));
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::refuseChoice(const PlacementRequest &request,
                                          const Placement &placement, HostId placedBy)
{
    const ServiceBalancer &balancer = *find(request.service);
    const auto draining = balancer.findStatedDraining(placement.target, SteadyClock().now());
    m_metrics.count("endivedock_choices_refused_total", {{"service", request.service.value()}});
    m_log.info("Choice of the placing host refused",
               {field("id", request.attempt.request), field("service", request.service),
                field("target", placement.target), field("by", placedBy),
                field("draining", balancer.isDraining(placement.target)),
                field("closed", balancer.isClosed(placement.target, SteadyClock().now())),
                field("stated_ms", draining ? draining->age.count() : -1)});
    if (draining)
        m_peers.send(placedBy, DrainingNotice{request.service, {*draining}});
    m_peers.send(placedBy, PlacementCancel{request.attempt, request.service});
}

template <PlacementPeers Peers>
PlacedTarget SharedPlacement<Peers>::makePlacedTarget(const PlacementRequest &request,
                                                      const TargetChoice &choice, HostId placedBy)
{
    m_log.info("Target chosen",
               {field("id", request.attempt.request), field("service", request.service),
                field("target", choice.target.id), field("zone", choice.target.zone),
                field("spilled", request.isSpilled), field("attempt", int(request.attempt.number)),
                field("by", placedBy), field("in_flight", choice.inFlight.value()),
                field("slots", choice.target.slots.value()),
                field("expected_ms", choice.expectedTime.count()),
                field("load_age_ms", choice.slowdownAge.count()), field("cold", choice.isCold),
                field("left_ms", request.remaining.count())});
    const bool isOwnZone = choice.target.zone == m_settings.zone;
    m_metrics.count("endivedock_placements_by_zone_total",
                    {{"service", request.service.value()}, {"zone", isOwnZone ? "own" : "other"}});
    PlacedTarget target;
    target.placement = {choice.grant, choice.target.id, !choice.isCold, std::nullopt,
                        choice.hedgeAfter};
    target.address = choice.target.address;
    target.connectionLimit = choice.connections;
    target.connectTimeout = m_settings.connectTimeout;
    return target;
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::releaseUnused(const PlacementRequest &request,
                                           const PlacementAnswer &answer)
{
    const auto *placement = std::get_if<Placement>(&answer.outcome);
    if (placement == nullptr)
        return;
    AttemptReport unused;
    unused.attempt = request.attempt;
    unused.service = request.service;
    unused.grant = placement->grant;
    unused.target = placement->target;
    report(std::move(unused));
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::abandon(const AttemptId &attempt)
{
    const auto found = m_pending.find(attempt);
    if (found == m_pending.end())
        return;
    Pending &pending = *found->second;
    pending.isAbandoned = true;
    if (pending.placingHost == m_self) {
        if (ServiceBalancer *balancer = find(pending.service))
            balancer->cancel(attempt);
    }
    // The answer only wakes the task; place() checks `isAbandoned` before it reads the outcome.
    PlacementAnswer canceledAnswer;
    canceledAnswer.attempt = attempt;
    canceledAnswer.outcome = NotPlacingHost{};
    pending.answer.deliver(std::move(canceledAnswer));
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::report(AttemptReport report)
{
    ServiceBalancer *balancer = find(report.service);
    if (balancer == nullptr)
        return;
    const TimePoint now = SteadyClock().now();
    if (report.pause)
        logPause(report);
    const auto placedBy = balancer->finish(report, now);
    logCrashEvents(m_self);
    if (placedBy && *placedBy != m_self)
        m_peers.send(*placedBy, report);
    dispatch(*balancer, now);
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::recordDraining(const AttemptReport &report)
{
    ServiceBalancer *balancer = find(report.service);
    if (balancer == nullptr)
        return;
    if (const auto process = balancer->recordDrainingResponse(report.grant, SteadyClock().now()))
        logDraining(report.service, *process, Milliseconds(0), m_self);
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::dispatch(ServiceBalancer &balancer, TimePoint now)
{
    for (const auto &decision : balancer.dispatch(now))
        deliver(decision);
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::applyProbe(const ServiceId &service, const TargetId &target,
                                        const std::variant<ProbeResult, ProbeFailure> &outcome,
                                        TimePoint now)
{
    const auto *probe = std::get_if<ProbeResult>(&outcome);
    if (const auto *failure = std::get_if<ProbeFailure>(&outcome))
        m_suspects.recordTargetUnresponsive(target, failure->isConnectFailure, now);
    else if (probe->id == target)
        m_suspects.recordTargetAlive(target, now);
    else if (probe->id)
        m_suspects.recordTargetEnded(target, now);
    logCrashEvents(m_self);
    if (ServiceBalancer *balancer = find(service))
        balancer->applyProbeResult(target, probe ? std::optional(*probe) : std::nullopt, now);
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::logRefusal(const PlacementRequest &request,
                                        const ServiceBalancer::Outcome &outcome)
{
    const auto *refusal = std::get_if<Refusal>(&outcome);
    if (refusal == nullptr)
        return;
    ServiceBalancer &balancer = *find(request.service);
    if (const auto hedge = balancer.takeHedgeRefusal()) {
        const std::string reason(name(*hedge));
        m_metrics.count("endivedock_hedges_refused_total",
                        {{"service", request.service.value()}, {"reason", reason}});
        m_log.info("Hedge not placed",
                   {field("id", request.attempt.request), field("host", request.attempt.host),
                    field("service", request.service), field("reason", reason),
                    field("waiting", balancer.waitingCount()),
                    field("objective_ms", request.latencyObjective.count()),
                    field("left_ms", request.remaining.count())});
        return;
    }
    m_log.info(
            "Placement refused",
            {field("id", request.attempt.request), field("host", request.attempt.host),
             field("service", request.service), field("reason", describe(refusal->reason).name),
             field("content", request.fingerprint), field("waiting", balancer.waitingCount()),
             field("targets", balancer.targetCount()),
             field("closed", request.closedTargets.size()),
             field("usual_ms",
                   toMilliseconds(balancer.serviceTimes().expected(request.requestClass)).count()),
             field("objective_ms", request.latencyObjective.count()),
             field("left_ms", request.remaining.count()),
             field("retry_after_ms", refusal->retryAfter.value_or(Milliseconds(0)).count())});
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::deliver(const PlacementDecision &decision)
{
    logRefusal(decision.request, decision.outcome);
    const PlacementAnswer answer = placement_detail::makeAnswer(decision.request, decision.outcome);
    const HostId requester = decision.request.attempt.host;
    if (requester != m_self) {
        m_peers.send(requester, answer);
        return;
    }
    const auto found = m_pending.find(answer.attempt);
    if (found != m_pending.end())
        found->second->answer.deliver(answer);
    else if (ServiceBalancer *balancer = find(answer.service))
        balancer->cancel(answer.attempt);
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::tick(TimePoint now)
{
    for (auto &[service, balancer] : m_balancers)
        dispatch(*balancer, now);
    logCrashEvents(m_self);
}

template <PlacementPeers Peers>
bool SharedPlacement<Peers>::hasWaitingRequests() const
{
    return std::any_of(m_balancers.begin(), m_balancers.end(),
                       [](const auto &item) { return item.second->waitingCount() > 0; });
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::applyRegistry(const Registry &registry, std::size_t hostCount,
                                           TimePoint now)
{
    const auto table = registry.table();
    if (!table)
        return;
    const std::set<ZoneId> evacuatedZones = registry.evacuatedZones();
    for (const auto &service : registry.services()) {
        auto &balancer = m_balancers[service];
        if (!balancer)
            balancer = std::make_unique<ServiceBalancer>(service, m_self, m_settings, m_random,
                                                         m_suspects);
        const auto rules = table->services().find(service);
        if (rules != table->services().end()) {
            balancer->setRules(rules->second);
            m_healthPaths[service] = rules->second.healthPath;
        }
        balancer->setHostCount(hostCount);
        balancer->versions().setOrder(registry.rolloutOrder(service), now);
        balancer->versions().setStatus(registry.rolloutStatus(service));
        balancer->setTargets(registry.targetsOf(service), now);
        balancer->setEvacuatedZones(evacuatedZones, now);
        // One host decides on a rollout, so that the new version gets no more than its share.
        const bool isRollingOut = balancer->versions().running().has_value();
        balancer->setDivision(isRollingOut ? ZoneDivision() : divisionOf(registry, service));
    }
}

template <PlacementPeers Peers>
ServiceBalancer *SharedPlacement<Peers>::find(const ServiceId &service)
{
    const auto found = m_balancers.find(service);
    return found == m_balancers.end() ? nullptr : found->second.get();
}

template <PlacementPeers Peers>
std::string SharedPlacement<Peers>::healthPath(const ServiceId &service) const
{
    const auto found = m_healthPaths.find(service);
    return found == m_healthPaths.end() ? std::string("/") : found->second;
}

} // namespace endivedock
