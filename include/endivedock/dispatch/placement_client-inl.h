#pragma once

#include "endivedock/dispatch/placement_client.h"

#include <algorithm>

namespace endivedock {

namespace dispatch_detail {

/** Without any sign of a placing host for this long, the stopgap picks. */
constexpr Milliseconds stopgapAfter{150};
/** Where the stopgap finds nothing either, a request waits this long for a placing host. */
constexpr Milliseconds holderPatience{4000};
/**
 * A grant is used only if the request it answers was sent this lately: a placing host that was
 * paused may have lost its lease between deciding and sending. Shorter than the lease.
 */
constexpr Milliseconds freshAnswer{700};
/** Sendings of a report before it is given up; the grant then ends with its deadline. */
constexpr int mostReportSendings = 20;

} // namespace dispatch_detail

template <PlacementLink Link>
PlacementClient<Link>::PlacementClient(asio::any_io_executor executor, PlacementContext world,
                                       LocalPlacers &local, Link &link)
    : m_executor(std::move(executor))
    , m_world(world)
    , m_local(local)
    , m_link(link)
{
}

template <PlacementLink Link>
void PlacementClient<Link>::setTargets(std::vector<ListedTarget> listed)
{
    m_listed = std::move(listed);
    m_listedIndex.clear();
    for (std::size_t i = 0; i < m_listed.size(); ++i)
        m_listedIndex[m_listed[i].id] = i;
}

template <PlacementLink Link>
const ListedTarget *PlacementClient<Link>::findTarget(const TargetId &id) const
{
    const auto found = m_listedIndex.find(id);
    return found == m_listedIndex.end() ? nullptr : &m_listed[found->second];
}

template <PlacementLink Link>
Task<std::variant<PlacedTarget, Refusal>>
PlacementClient<Link>::place(const PlacementRequest &request, TimePoint deadline)
{
    Pending pending(m_executor);
    pending.service = request.service;
    pending.lastSign = SteadyClock().now();
    m_pending[request.attempt] = &pending;
    struct Forget
    {
        std::map<AttemptId, Pending *> &pending;
        AttemptId attempt;
        ~Forget() { pending.erase(attempt); }
    } forget{m_pending, request.attempt};

    PlacementRequest message = request;
    Milliseconds patience = initialResendInterval;
    while (SteadyClock().now() < deadline) {
        askAgain(pending, message, deadline);
        const TimePoint until = std::min(deadline, SteadyClock().now() + patience);
        // Hosts that have much to do must not be asked ever more often by those that wait.
        patience = std::min(patience * 2, maxResendInterval);
        const auto answer = co_await pending.answer.wait(until);
        if (answer && std::holds_alternative<Placement>(*answer))
            co_return use(request, std::get<Placement>(*answer), deadline, false);
        if (answer)
            co_return std::get<Refusal>(*answer);
        const Duration silent = SteadyClock().now() - pending.lastSign;
        if (silent < dispatch_detail::stopgapAfter)
            continue;
        if (pending.asked)
            m_link.markNotPlacing(request.service, *pending.asked);
        if (const auto target = pickStopgap(request)) {
            sendCancel(pending, request.attempt);
            co_return use(request, Placement{GrantId(0), *target, true}, deadline, true);
        }
        if (silent >= dispatch_detail::holderPatience)
            co_return Refusal{RefusalReason::NoTarget, RunCertainty::NotRun};
    }
    sendCancel(pending, request.attempt);
    co_return Refusal{RefusalReason::DeadlineExceeded, RunCertainty::NotRun};
}

template <PlacementLink Link>
void PlacementClient<Link>::askAgain(Pending &pending, PlacementRequest &message,
                                     TimePoint deadline)
{
    const auto holder = m_link.placingHostOf(message.service);
    if (!holder)
        return;
    const TimePoint now = SteadyClock().now();
    pending.asked = holder;
    message.remaining = toMilliseconds(deadline - now);
    ++message.transmissionNumber;
    pending.sentAt[message.transmissionNumber] = now;
    if (*holder == m_world.self)
        m_local.request(message, now);
    else
        m_link.send(*holder, message);
}

template <PlacementLink Link>
void PlacementClient<Link>::sendCancel(const Pending &pending, const AttemptId &attempt)
{
    const PlacementCancel cancel{attempt, pending.service};
    if (!pending.asked)
        return;
    if (*pending.asked == m_world.self)
        m_local.cancel(cancel, SteadyClock().now());
    else
        m_link.send(*pending.asked, cancel);
}

template <PlacementLink Link>
std::variant<PlacedTarget, Refusal> PlacementClient<Link>::use(const PlacementRequest &request,
                                                               const Placement &placement,
                                                               TimePoint deadline, bool stopgap)
{
    m_running[request.attempt] = {request, placement, stopgap, deadline};
    const ListedTarget *target = findTarget(placement.target);
    const auto declarations = m_world.configuration.declarations();
    const Service *service = declarations ? declarations->find(request.service) : nullptr;
    if (target == nullptr || service == nullptr) {
        // This host's list lags behind that of the placing host.
        AttemptReport unused;
        unused.attempt = request.attempt;
        unused.service = request.service;
        unused.grant = placement.grant;
        unused.target = placement.target;
        report(std::move(unused));
        return Refusal{RefusalReason::NoTarget, RunCertainty::NotRun};
    }
    if (stopgap)
        m_fallback.started(target->id);
    else
        m_fallback.recordPlacement(target->id, placement.targetIsWarm, SteadyClock().now());
    const auto hosts = static_cast<int>(std::max<std::size_t>(m_link.entryHostCount(), 1));
    const int limit = std::max(1, service->settings.maxConnections.value() / hosts);
    return PlacedTarget{placement, target->address, Connections(limit)};
}

template <PlacementLink Link>
std::optional<TargetId> PlacementClient<Link>::pickStopgap(const PlacementRequest &request)
{
    const auto declarations = m_world.configuration.declarations();
    const Service *service = declarations ? declarations->find(request.service) : nullptr;
    // Retries need the budget, which only the placing host can count.
    if (service == nullptr || request.isRetry)
        return std::nullopt;
    const auto target = m_fallback.pick(*service, m_listed, request.excludedTargets,
                                        SteadyClock().now(), m_world.random);
    if (target)
        m_world.metrics.count("endivedock_stopgap_placements_total",
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
        // Nobody waits any more: an unused grant is given back.
        if (const auto *placement = std::get_if<Placement>(&answer.outcome)) {
            const auto running = m_running.find(answer.attempt);
            const bool inUse = running != m_running.end() &&
                               running->second.placement.grant == placement->grant;
            if (!inUse) {
                AttemptReport unused;
                unused.attempt = answer.attempt;
                unused.service = answer.service;
                unused.grant = placement->grant;
                unused.target = placement->target;
                sendReport(unused);
            }
        }
        return;
    }
    Pending &pending = *found->second;
    const TimePoint now = SteadyClock().now();
    if (std::holds_alternative<NotPlacingHost>(answer.outcome)) {
        // Asked again with the next sending, of another host.
        if (pending.asked)
            m_link.markNotPlacing(answer.service, *pending.asked);
        return;
    }
    pending.lastSign = now;
    if (const auto *placement = std::get_if<Placement>(&answer.outcome)) {
        // The placing host answers the newest sending it has; if that one is old, so is the lease
        // under which it decided. A repeated request gets the same grant with a newer sending.
        if (now - pending.sentAt[answer.transmissionNumber] <= dispatch_detail::freshAnswer)
            pending.answer.deliver(*placement);
    } else if (const auto *refusal = std::get_if<Refusal>(&answer.outcome)) {
        pending.answer.deliver(*refusal);
    }
}

template <PlacementLink Link>
void PlacementClient<Link>::report(AttemptReport report)
{
    const auto running = m_running.find(report.attempt);
    if (running == m_running.end())
        return;
    const bool stopgap = running->second.stopgap;
    m_running.erase(running);
    const bool good = report.outcome == AttemptOutcome::Answered ||
                      report.outcome == AttemptOutcome::Abandoned;
    if (!good)
        m_fallback.markNotWarm(report.target);
    if (report.outcome == AttemptOutcome::Answered)
        m_fallback.recordResponse(report.target, report.incarnation, SteadyClock().now());
    if (stopgap) {
        m_fallback.finished(report.target);
        return;
    }
    sendReport(report);
}

template <PlacementLink Link>
void PlacementClient<Link>::sendReport(const AttemptReport &report)
{
    if (m_local.isPlacing(report.service)) {
        m_local.finish(report, SteadyClock().now());
        return;
    }
    const auto holder = m_link.placingHostOf(report.service);
    m_unconfirmed[report.attempt] = {report, 1, SteadyClock().now() + initialResendInterval};
    if (holder && *holder != m_world.self)
        m_link.send(*holder, report);
}

template <PlacementLink Link>
void PlacementClient<Link>::deliver(const AttemptReportAck &receipt)
{
    m_unconfirmed.erase(receipt.attempt);
}

template <PlacementLink Link>
void PlacementClient<Link>::resendReports()
{
    const TimePoint now = SteadyClock().now();
    for (auto entry = m_unconfirmed.begin(); entry != m_unconfirmed.end();) {
        Unconfirmed &unconfirmed = entry->second;
        if (now < unconfirmed.sendAgainAt) {
            ++entry;
            continue;
        }
        const auto holder = m_link.placingHostOf(unconfirmed.report.service);
        if (m_local.isPlacing(unconfirmed.report.service)) {
            m_local.finish(unconfirmed.report, now);
            entry = m_unconfirmed.erase(entry);
            continue;
        }
        if (++unconfirmed.sendings > dispatch_detail::mostReportSendings) {
            m_world.metrics.count("endivedock_reports_given_up_total");
            entry = m_unconfirmed.erase(entry);
            continue;
        }
        if (holder && *holder != m_world.self)
            m_link.send(*holder, unconfirmed.report);
        const auto wait = initialResendInterval * (1 << std::min(unconfirmed.sendings, 3));
        unconfirmed.sendAgainAt = now + std::min<Milliseconds>(wait, maxResendInterval);
        ++entry;
    }
}

template <PlacementLink Link>
InFlightList PlacementClient<Link>::inFlight(const ServiceId &service) const
{
    InFlightList list{m_world.self, service, {}};
    for (const auto &[attempt, running] : m_running) {
        if (running.request.service != service || running.stopgap)
            continue;
        const auto left = running.deadline - SteadyClock().now();
        list.attempts.push_back({attempt, running.placement.grant, running.placement.target,
                                 running.request.fingerprint, running.request.route,
                                 std::max(toMilliseconds(left), Milliseconds(0))});
    }
    return list;
}

} // namespace endivedock
