#pragma once

#include "endivedock/dispatch/placement_client.h"

#include <algorithm>

namespace endivedock {

namespace dispatch_detail {

/** Time without an answer from a placing host after which the FallbackPicker picks a target. */
constexpr Milliseconds fallbackDelay{150};
/** Time without an answer after which a request is refused if the FallbackPicker has no target. */
constexpr Milliseconds placingHostTimeout{4000};
/**
 * Maximum time from sending a request to using the grant in its answer. A placing host that was
 * paused may have lost its lease between deciding and sending, so the limit is shorter than the
 * lease duration.
 */
constexpr Milliseconds maxGrantAge{700};
/**
 * Transmissions of a report before it is dropped. The placing host's grant then expires after the
 * deadline of the request.
 */
constexpr int maxReportTransmissions = 20;
/**
 * Jitter and lower bound of the retry delay of a caller that was refused since all targets are
 * closed.
 */
constexpr Milliseconds reopenDelay{250};

} // namespace dispatch_detail

template <PlacementLink Link>
PlacementClient<Link>::PlacementClient(asio::any_io_executor executor, PlacementContext context,
                                       LocalPlacers &localPlacers, Link &link)
    : m_executor(std::move(executor))
    , m_context(context)
    , m_localPlacers(localPlacers)
    , m_link(link)
{
}

template <PlacementLink Link>
Task<std::variant<PlacedTarget, Refusal>>
PlacementClient<Link>::place(const PlacementRequest &request, TimePoint deadline)
{
    PendingRequest pending(m_executor);
    pending.service = request.service;
    pending.lastAnswerAt = SteadyClock().now();
    m_pending[request.attempt] = &pending;
    struct PendingGuard
    {
        std::map<AttemptId, PendingRequest *> &pending;
        AttemptId attempt;
        ~PendingGuard() { pending.erase(attempt); }
    } guard{m_pending, request.attempt};

    PlacementRequest message = request;
    Milliseconds resendInterval = initialResendInterval;
    while (SteadyClock().now() < deadline) {
        if (const auto refusal = refusalIfAllClosed(request.service)) {
            sendCancel(pending, request.attempt);
            co_return *refusal;
        }
        message.closedTargets = m_targets.closedTargets(request.service, SteadyClock().now());
        sendRequest(pending, message, deadline);
        const TimePoint until = std::min(deadline, SteadyClock().now() + resendInterval);
        // Exponential backoff, so that waiting requests do not add to the load of a slow host.
        resendInterval = std::min(resendInterval * 2, maxResendInterval);
        const auto answer = co_await pending.answer.wait(until);
        if (answer && std::holds_alternative<Placement>(*answer)) {
            const Placement &placement = std::get<Placement>(*answer);
            if (!refuseIfUnusable(pending, request, placement))
                co_return startAttempt(pending, request, placement, deadline, false);
            // A closed target may open while the request waits.
            const ListedTarget *refused = m_targets.find(placement.target);
            if (refused != nullptr && m_targets.findDraining(*refused, SteadyClock().now()))
                message.excludedTargets.push_back(placement.target);
            resendInterval = initialResendInterval;
            continue;
        }
        if (answer)
            co_return std::get<Refusal>(*answer);
        const Duration timeSinceAnswer = SteadyClock().now() - pending.lastAnswerAt;
        if (timeSinceAnswer < dispatch_detail::fallbackDelay)
            continue;
        if (pending.placingHost)
            m_link.markNotPlacing(request.service, *pending.placingHost);
        if (const auto target = pickFallbackTarget(request)) {
            sendCancel(pending, request.attempt);
            co_return startAttempt(pending, request, Placement{GrantId(0), *target, true}, deadline,
                                   true);
        }
        if (timeSinceAnswer >= dispatch_detail::placingHostTimeout)
            co_return Refusal{RefusalReason::NoTarget, RunCertainty::NotRun};
    }
    sendCancel(pending, request.attempt);
    co_return Refusal{RefusalReason::DeadlineExceeded, RunCertainty::NotRun};
}

template <PlacementLink Link>
void PlacementClient<Link>::sendRequest(PendingRequest &pending, PlacementRequest &message,
                                        TimePoint deadline)
{
    const auto placingHost = m_link.placingHostOf(message.service);
    if (!placingHost)
        return;
    const TimePoint now = SteadyClock().now();
    pending.placingHost = placingHost;
    pending.requestedHosts.insert(*placingHost);
    message.remaining = toMilliseconds(deadline - now);
    ++message.transmissionNumber;
    pending.sentAt[message.transmissionNumber] = now;
    if (*placingHost == m_context.self)
        m_localPlacers.request(message, now);
    else
        m_link.send(*placingHost, message);
}

template <PlacementLink Link>
void PlacementClient<Link>::sendCancel(const PendingRequest &pending, const AttemptId &attempt)
{
    const PlacementCancel cancel{attempt, pending.service};
    for (const auto &host : pending.requestedHosts) {
        if (host == m_context.self)
            m_localPlacers.cancel(cancel, SteadyClock().now());
        else
            m_link.send(host, cancel);
    }
}

template <PlacementLink Link>
std::variant<PlacedTarget, Refusal>
PlacementClient<Link>::startAttempt(const PendingRequest &pending, const PlacementRequest &request,
                                    const Placement &placement, TimePoint deadline, bool isFallback)
{
    const ListedTarget *target = m_targets.find(placement.target);
    m_running[request.attempt] = {.request = request,
                                  .placement = placement,
                                  .address = target == nullptr ? Address{} : target->address,
                                  .startedAt = SteadyClock().now(),
                                  .isFallback = isFallback,
                                  .deadline = deadline,
                                  .requestedHosts = pending.requestedHosts};
    m_targets.recordStart(placement.target);
    const auto declarations = m_context.configuration.declarations();
    const Service *service = declarations ? declarations->find(request.service) : nullptr;
    if (target == nullptr || service == nullptr) {
        // This host's target list or declarations are older than those of the placing host. The
        // report releases the grant.
        AttemptReport releaseReport;
        releaseReport.attempt = request.attempt;
        releaseReport.service = request.service;
        releaseReport.grant = placement.grant;
        releaseReport.target = placement.target;
        report(std::move(releaseReport));
        return Refusal{RefusalReason::NoTarget, RunCertainty::NotRun};
    }
    if (isFallback)
        m_fallback.recordStart(target->id);
    else
        m_fallback.recordPlacement(target->id, placement.targetIsWarm, SteadyClock().now());
    const auto hosts = static_cast<int>(std::max<std::size_t>(m_link.entryHostCount(), 1));
    const int limit = std::max(1, service->settings.maxConnections.value() / hosts);
    return PlacedTarget{placement, target->address, Connections(limit)};
}

template <PlacementLink Link>
bool PlacementClient<Link>::refuseIfUnusable(const PendingRequest &pending,
                                             const PlacementRequest &request,
                                             const Placement &placement)
{
    const ListedTarget *target = m_targets.find(placement.target);
    if (target == nullptr)
        return false;
    const TimePoint now = SteadyClock().now();
    if (placement.incarnation)
        m_targets.statements().recordIncarnation(
                {target->id, target->address, placement.incarnation});
    const auto draining = m_targets.findDraining(*target, now);
    if (!draining && !m_targets.isClosed(*target, now))
        return false;
    m_context.metrics.count("endivedock_choices_refused_total",
                            {{"service", request.service.value()}});
    m_log.info("Choice of the placing host refused",
               {field("id", request.attempt.request), field("service", request.service),
                field("target", placement.target), field("draining", draining.has_value()),
                field("closed", m_targets.isClosed(*target, now)),
                field("stated_ms", draining ? draining->age.count() : -1)});
    AttemptReport report;
    report.attempt = request.attempt;
    report.service = request.service;
    report.grant = placement.grant;
    report.target = placement.target;
    if (draining) {
        report.incarnation = Incarnation(static_cast<std::uint64_t>(*draining->process.startedAt));
        report.isTargetDraining = true;
    }
    // The report is not resent: if it is lost, the next transmission of the request is answered
    // with the same placement, which is refused again.
    for (const auto &host : pending.requestedHosts) {
        if (host == m_context.self)
            m_localPlacers.finish(report, now);
        else
            m_link.send(host, report);
    }
    return true;
}

template <PlacementLink Link>
std::optional<Refusal> PlacementClient<Link>::refusalIfAllClosed(const ServiceId &id)
{
    const auto declarations = m_context.configuration.declarations();
    const Service *service = declarations ? declarations->find(id) : nullptr;
    if (service == nullptr)
        return std::nullopt;
    const TimePoint now = SteadyClock().now();
    const auto opensAt = m_targets.allClosedUntil(*service, now);
    if (!opensAt)
        return std::nullopt;
    const Milliseconds untilOpen =
            std::max(toMilliseconds(*opensAt - now), dispatch_detail::reopenDelay);
    const auto jitter =
            static_cast<std::int64_t>(drawUnitInterval(m_context.random) *
                                      static_cast<double>(dispatch_detail::reopenDelay.count()));
    return Refusal{RefusalReason::NoTarget, RunCertainty::NotRun, untilOpen + Milliseconds(jitter)};
}

template <PlacementLink Link>
void PlacementClient<Link>::updatePause(const RunningAttempt &attempt, const AttemptReport &report)
{
    const auto incarnation =
            report.incarnation ? report.incarnation : attempt.placement.incarnation;
    const TargetStatements::Source source{report.target, attempt.address, incarnation};
    if (!report.pause) {
        const auto declarations = m_context.configuration.declarations();
        const Service *service = declarations ? declarations->find(report.service) : nullptr;
        const bool hasResponded = report.outcome == AttemptOutcome::Answered ||
                                  report.outcome == AttemptOutcome::Failed;
        if (hasResponded && service != nullptr)
            m_targets.statements().recordResponse(source, attempt.startedAt,
                                                  service->settings.slots);
        return;
    }
    m_targets.statements().startPause(source, *report.pause, SteadyClock().now());
    m_context.metrics.count("endivedock_target_pauses_total",
                            {{"service", report.service.value()}});
    m_log.info("Target wants no requests from this host",
               {field("id", report.attempt.request), field("service", report.service),
                field("target", report.target), field("pause_ms", report.pause->count())});
    const auto refusal = refusalIfAllClosed(report.service);
    if (!refusal)
        return;
    // Requests do not wait for closed targets.
    for (const auto &[attemptId, pending] : m_pending) {
        if (pending->service != report.service)
            continue;
        sendCancel(*pending, attemptId);
        pending->answer.deliver(*refusal);
    }
}

template <PlacementLink Link>
std::optional<TargetId> PlacementClient<Link>::pickFallbackTarget(const PlacementRequest &request)
{
    const auto declarations = m_context.configuration.declarations();
    const Service *service = declarations ? declarations->find(request.service) : nullptr;
    // A retry needs the retry budget, which only the placing host counts.
    if (service == nullptr || request.isRetry)
        return std::nullopt;
    const TimePoint now = SteadyClock().now();
    std::vector<TargetId> excludedTargets = m_targets.closedTargets(request.service, now);
    excludedTargets.insert(excludedTargets.end(), request.excludedTargets.begin(),
                           request.excludedTargets.end());
    const auto target =
            m_fallback.pick(*service, m_targets.listed(), excludedTargets, now, m_context.random);
    if (target)
        m_context.metrics.count("endivedock_stopgap_placements_total",
                                {{"service", request.service.value()}});
    return target;
}

template <PlacementLink Link>
void PlacementClient<Link>::abandon(const AttemptId &attempt)
{
    const auto found = m_pending.find(attempt);
    if (found == m_pending.end())
        return;
    sendCancel(*found->second, attempt);
    found->second->answer.deliver(Refusal{RefusalReason::Internal, RunCertainty::NotRun});
}

template <PlacementLink Link>
void PlacementClient<Link>::deliver(const PlacementAnswer &answer)
{
    const auto found = m_pending.find(answer.attempt);
    if (found == m_pending.end()) {
        // No request waits for the answer any more: a grant that is not in use is released.
        if (const auto *placement = std::get_if<Placement>(&answer.outcome)) {
            const auto running = m_running.find(answer.attempt);
            const bool isInUse = running != m_running.end() &&
                                 running->second.placement.grant == placement->grant;
            if (!isInUse) {
                AttemptReport releaseReport;
                releaseReport.attempt = answer.attempt;
                releaseReport.service = answer.service;
                releaseReport.grant = placement->grant;
                releaseReport.target = placement->target;
                sendReport(releaseReport);
            }
        }
        return;
    }
    PendingRequest &pending = *found->second;
    const TimePoint now = SteadyClock().now();
    if (std::holds_alternative<NotPlacingHost>(answer.outcome)) {
        // The next transmission goes to another host.
        if (pending.placingHost)
            m_link.markNotPlacing(answer.service, *pending.placingHost);
        return;
    }
    pending.lastAnswerAt = now;
    if (const auto *placement = std::get_if<Placement>(&answer.outcome)) {
        // The answer carries the newest transmission number that the placing host has received. If
        // that transmission is old, the lease under which the host decided may have expired. The
        // next transmission gets the same grant again, with a newer number.
        if (now - pending.sentAt[answer.transmissionNumber] <= dispatch_detail::maxGrantAge)
            pending.answer.deliver(*placement);
    } else if (const auto *refusal = std::get_if<Refusal>(&answer.outcome)) {
        pending.answer.deliver(*refusal);
    }
}

template <PlacementLink Link>
void PlacementClient<Link>::recordDraining(const AttemptReport &report)
{
    m_fallback.markNotWarm(report.target);
    const auto running = m_running.find(report.attempt);
    if (running == m_running.end())
        return;
    const Placement &placement = running->second.placement;
    const auto incarnation = report.incarnation ? report.incarnation : placement.incarnation;
    if (!m_targets.statements().recordDraining(
                {report.target, running->second.address, incarnation}, SteadyClock().now()))
        return;
    m_context.metrics.count("endivedock_draining_targets_total",
                            {{"service", report.service.value()}, {"source", "target"}});
    m_log.info("Target is draining",
               {field("service", report.service), field("target", report.target),
                field("incarnation", incarnation.value_or(Incarnation(0))), field("age_ms", 0),
                field("from", m_context.self)});
}

template <PlacementLink Link>
void PlacementClient<Link>::report(AttemptReport report)
{
    const auto running = m_running.find(report.attempt);
    if (running == m_running.end())
        return;
    const RunningAttempt attempt = std::move(running->second);
    m_running.erase(running);
    m_targets.recordEnd(attempt.placement.target);
    updatePause(attempt, report);
    const bool targetSeemsHealthy = report.outcome == AttemptOutcome::Answered ||
                                    report.outcome == AttemptOutcome::Abandoned ||
                                    report.outcome == AttemptOutcome::Overtaken;
    if (!targetSeemsHealthy)
        m_fallback.markNotWarm(report.target);
    if (report.outcome == AttemptOutcome::Answered)
        m_fallback.recordResponse(report.target, report.incarnation, SteadyClock().now());
    if (attempt.isFallback) {
        m_fallback.recordEnd(report.target);
        return;
    }
    sendReport(report, attempt.requestedHosts);
}

template <PlacementLink Link>
void PlacementClient<Link>::sendReport(const AttemptReport &report, std::set<HostId> requestedHosts)
{
    if (m_localPlacers.isPlacing(report.service)) {
        m_localPlacers.finish(report, SteadyClock().now());
        return;
    }
    m_unacknowledged[report.attempt] = {report, 1, SteadyClock().now() + initialResendInterval};
    // The placing host that granted the attempt may be marked as not placing for a short time.
    if (const auto placingHost = m_link.placingHostOf(report.service))
        requestedHosts.insert(*placingHost);
    requestedHosts.erase(m_context.self);
    for (const auto &host : requestedHosts)
        m_link.send(host, report);
}

template <PlacementLink Link>
void PlacementClient<Link>::deliver(const AttemptReportAck &acknowledgement)
{
    m_unacknowledged.erase(acknowledgement.attempt);
}

template <PlacementLink Link>
void PlacementClient<Link>::resendReports()
{
    const TimePoint now = SteadyClock().now();
    for (auto entry = m_unacknowledged.begin(); entry != m_unacknowledged.end();) {
        UnacknowledgedReport &unacknowledged = entry->second;
        if (now < unacknowledged.resendAt) {
            ++entry;
            continue;
        }
        const auto placingHost = m_link.placingHostOf(unacknowledged.report.service);
        if (m_localPlacers.isPlacing(unacknowledged.report.service)) {
            m_localPlacers.finish(unacknowledged.report, now);
            entry = m_unacknowledged.erase(entry);
            continue;
        }
        if (++unacknowledged.transmissions > dispatch_detail::maxReportTransmissions) {
            m_context.metrics.count("endivedock_reports_given_up_total");
            entry = m_unacknowledged.erase(entry);
            continue;
        }
        if (placingHost && *placingHost != m_context.self)
            m_link.send(*placingHost, unacknowledged.report);
        const auto wait = initialResendInterval * (1 << std::min(unacknowledged.transmissions, 3));
        unacknowledged.resendAt = now + std::min<Milliseconds>(wait, maxResendInterval);
        ++entry;
    }
}

template <PlacementLink Link>
InFlightList PlacementClient<Link>::inFlight(const ServiceId &service) const
{
    InFlightList list{m_context.self, service, {}};
    for (const auto &[attempt, running] : m_running) {
        if (running.request.service != service || running.isFallback)
            continue;
        const auto left = running.deadline - SteadyClock().now();
        list.attempts.push_back({attempt, running.placement.grant, running.placement.target,
                                 running.request.fingerprint, running.request.route,
                                 std::max(toMilliseconds(left), Milliseconds(0))});
    }
    return list;
}

} // namespace endivedock
