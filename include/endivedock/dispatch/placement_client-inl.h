#pragma once

#include "endivedock/dispatch/placement_client.h"

#include <algorithm>

namespace endivedock {

namespace dispatch_detail {

/** Without any sign of a placing host for this long, the stopgap picks. */
constexpr Milliseconds stopgapAfter{150};
/**
 * A grant is used only if the request it answers was sent this lately: a placing host that was
 * paused may have lost its lease between deciding and sending. Shorter than the lease.
 */
constexpr Milliseconds freshAnswer{700};
/** Sendings of a report before it is given up; the grant then ends with its deadline. */
constexpr int mostReportSendings = 40;

} // namespace dispatch_detail

template <PlacementLink Link>
PlacementClient<Link>::PlacementClient(asio::any_io_executor executor, PlacementWorld world,
                                       PlacementHost &local, Link &link)
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
    const Outcome outcome = co_await ask(request, deadline);
    if (const auto *placement = std::get_if<Placement>(&outcome))
        co_return use(request, *placement, deadline, false);
    if (const auto *refusal = std::get_if<Refusal>(&outcome))
        co_return *refusal;
    // Nobody to ask, or the caller has gone.
    if (SteadyClock().now() >= deadline)
        co_return Refusal{RefusalReason::DeadlineExceeded, RunCertainty::NotRun};
    co_return useStopgap(request, deadline);
}

template <PlacementLink Link>
Task<typename PlacementClient<Link>::Outcome>
PlacementClient<Link>::ask(const PlacementRequest &request, TimePoint deadline)
{
    Pending pending(m_executor);
    pending.service = request.service;
    m_pending[request.attempt] = &pending;
    struct Forget
    {
        std::map<AttemptId, Pending *> &pending;
        AttemptId attempt;
        ~Forget() { pending.erase(attempt); }
    } forget{m_pending, request.attempt};

    PlacementRequest message = request;
    TimePoint lastSign = SteadyClock().now();
    while (SteadyClock().now() < deadline) {
        const auto holder = m_link.holderOf(request.service);
        const TimePoint now = SteadyClock().now();
        if (holder && pending.asked != holder)
            lastSign = now;
        if (!holder && now - lastSign > dispatch_detail::stopgapAfter)
            co_return Gone{};
        if (holder) {
            pending.asked = holder;
            message.remaining = toMilliseconds(deadline - now);
            pending.sentAt[message.sending] = now;
            sendRequest(message, *holder);
            ++message.sending;
        }
        const auto answer = co_await pending.answer.wait(std::min(deadline, now + resendTime));
        if (answer)
            co_return *answer;
    }
    sendCancel(pending, request.attempt);
    co_return Refusal{RefusalReason::DeadlineExceeded, RunCertainty::NotRun};
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
void PlacementClient<Link>::sendRequest(PlacementRequest request, HostId holder)
{
    if (holder == m_world.self)
        m_local.request(request, SteadyClock().now());
    else
        m_link.send(holder, request);
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
        m_stopgap.started(target->id);
    else
        m_stopgap.observed(service->id, target->id, placement.warm, SteadyClock().now());
    const auto hosts = static_cast<int>(std::max<std::size_t>(m_link.entryHosts(), 1));
    const int limit = std::max(1, service->settings.connections.value() / hosts);
    return PlacedTarget{placement, target->address, Connections(limit)};
}

template <PlacementLink Link>
std::variant<PlacedTarget, Refusal>
PlacementClient<Link>::useStopgap(const PlacementRequest &request, TimePoint deadline)
{
    const auto declarations = m_world.configuration.declarations();
    const Service *service = declarations ? declarations->find(request.service) : nullptr;
    const Refusal none{RefusalReason::NoTarget, RunCertainty::NotRun};
    if (service == nullptr || request.retry)
        return none;
    const auto target = m_stopgap.pick(*service, m_listed, request.exclude, SteadyClock().now(),
                                       m_world.random);
    if (!target)
        return none;
    m_world.metrics.count("endivedock_stopgap_placements_total",
                          {{"service", request.service.value()}});
    return use(request, Placement{GrantId(0), *target, true}, deadline, true);
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
            if (!m_running.contains(answer.attempt)) {
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
    const Duration age = SteadyClock().now() - pending.sentAt[answer.sending];
    if (const auto *placement = std::get_if<Placement>(&answer.outcome)) {
        // The placing host answers the newest sending it has; if that one is old, so is the lease
        // under which it decided. A repeated request gets the same grant with a newer sending.
        if (age <= dispatch_detail::freshAnswer)
            pending.answer.deliver(*placement);
        return;
    }
    pending.answer.deliver(std::get<Refusal>(answer.outcome));
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
        m_stopgap.distrust(report.target);
    if (stopgap) {
        m_stopgap.finished(report.target);
        return;
    }
    sendReport(report);
}

template <PlacementLink Link>
void PlacementClient<Link>::sendReport(const AttemptReport &report)
{
    if (m_local.places(report.service)) {
        m_local.finish(report, SteadyClock().now());
        return;
    }
    const auto holder = m_link.holderOf(report.service);
    m_unconfirmed[report.attempt] = {report, 1};
    if (holder && *holder != m_world.self)
        m_link.send(*holder, report);
}

template <PlacementLink Link>
void PlacementClient<Link>::deliver(const AttemptReportReceipt &receipt)
{
    m_unconfirmed.erase(receipt.attempt);
}

template <PlacementLink Link>
void PlacementClient<Link>::resendReports()
{
    for (auto entry = m_unconfirmed.begin(); entry != m_unconfirmed.end();) {
        Unconfirmed &unconfirmed = entry->second;
        const auto holder = m_link.holderOf(unconfirmed.report.service);
        if (m_local.places(unconfirmed.report.service)) {
            m_local.finish(unconfirmed.report, SteadyClock().now());
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
