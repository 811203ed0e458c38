#pragma once

#include "endivedock/edge/shared_placement.h"

// What a host does with the messages of other hosts about placements.

namespace endivedock {

namespace placement_detail {

/** @return the answer to the host that requested the placement */
inline PlacementAnswer makeAnswer(const PlacementRequest &request,
                                  const ServiceBalancer::Outcome &outcome)
{
    PlacementAnswer answer;
    answer.attempt = request.attempt;
    answer.service = request.service;
    answer.transmissionNumber = request.transmissionNumber;
    if (const auto *refusal = std::get_if<Refusal>(&outcome)) {
        answer.outcome = *refusal;
        return answer;
    }
    if (const auto *other = std::get_if<OtherZone>(&outcome)) {
        answer.outcome = *other;
        return answer;
    }
    const auto &choice = std::get<TargetChoice>(outcome);
    answer.outcome = Placement{choice.grant, choice.target.id, !choice.isCold, std::nullopt,
                               choice.hedgeAfter};
    return answer;
}

} // namespace placement_detail

template <PlacementPeers Peers>
void SharedPlacement<Peers>::handle(HostId from, const PlacementRequest &request, TimePoint now)
{
    ServiceBalancer *balancer = find(request.service);
    if (balancer == nullptr) {
        PlacementAnswer answer{request.attempt, request.service, request.transmissionNumber,
                               NotPlacingHost{}};
        m_peers.send(from, answer);
        return;
    }
    const auto outcome = balancer->place(request, now);
    PlacementAnswer answer{request.attempt, request.service, request.transmissionNumber,
                           PlacementQueued{}};
    if (outcome) {
        logRefusal(request, *outcome);
        answer = placement_detail::makeAnswer(request, *outcome);
    }
    m_peers.send(from, answer);
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::handle(HostId from, const PlacementAnswer &answer, TimePoint)
{
    const auto found = m_pending.find(answer.attempt);
    if (found != m_pending.end() && found->second->placingHost == from) {
        if (std::holds_alternative<PlacementQueued>(answer.outcome))
            found->second->isQueued = true;
        else
            found->second->answer.deliver(answer);
        return;
    }
    // The answer came too late: the request was placed as fallback, or has ended. This host
    // cancels the grant, if there is one.
    if (std::holds_alternative<Placement>(answer.outcome))
        m_peers.send(from, PlacementCancel{answer.attempt, answer.service});
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::handle(HostId from, const AttemptReport &report, TimePoint now)
{
    if (ServiceBalancer *balancer = find(report.service)) {
        if (report.isTargetDraining) {
            if (const auto process = balancer->recordDrainingResponse(report.grant, now))
                logDraining(report.service, *process, Milliseconds(0), from);
        }
        balancer->finish(report, now);
        logCrashEvents(m_self);
        dispatch(*balancer, now);
    }
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::handle(HostId, const PlacementCancel &cancel, TimePoint now)
{
    if (ServiceBalancer *balancer = find(cancel.service)) {
        balancer->cancel(cancel.attempt);
        dispatch(*balancer, now);
    }
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::handle(HostId from, const CrashRecords &records, TimePoint now)
{
    m_suspects.merge(records, now);
    logCrashEvents(from);
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::handle(HostId from, const DrainingNotice &notice, TimePoint now)
{
    ServiceBalancer *balancer = find(notice.service);
    if (balancer == nullptr)
        return;
    for (const auto &draining : balancer->applyDrainingNotice(notice.targets, now))
        logDraining(notice.service, draining.process, draining.age, from);
}

template <PlacementPeers Peers>
std::vector<DrainingNotice> SharedPlacement<Peers>::takeDrainingNotices(TimePoint now)
{
    std::vector<DrainingNotice> result;
    for (auto &[service, balancer] : m_balancers) {
        auto targets = balancer->takeDrainingAnnouncements(now);
        if (!targets.empty())
            result.push_back({service, std::move(targets)});
    }
    return result;
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::logDraining(const ServiceId &service, const TargetProcess &process,
                                         Milliseconds age, HostId source)
{
    m_metrics.count(
            "endivedock_draining_targets_total",
            {{"service", service.value()}, {"source", source == m_self ? "target" : "host"}});
    m_log.info("Target is draining", {field("service", service), field("target", process.id),
                                      field("address", formatAddress(process.address)),
                                      field("from", source), field("age_ms", age.count())});
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::logPause(const AttemptReport &report)
{
    m_metrics.count("endivedock_target_pauses_total", {{"service", report.service.value()}});
    m_log.info("Target wants no requests from this host",
               {field("id", report.attempt.request), field("service", report.service),
                field("target", report.target), field("pause_ms", report.pause->count())});
}

template <PlacementPeers Peers>
void SharedPlacement<Peers>::logCrashEvents(HostId source)
{
    for (const auto &event : m_suspects.takeEvents()) {
        const std::string kind(name(event.kind));
        m_metrics.count("endivedock_crash_events_total", {{"kind", kind}});
        m_log.info("Crash suspicion", {field("event", kind), field("content", event.request),
                                       field("target", event.target),
                                       field("crashes", event.crashes), field("from", source)});
    }
}

} // namespace endivedock
