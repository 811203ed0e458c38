#pragma once

#include "endivedock/edge/edge_peers.h"
#include "endivedock/edge/platform_concept.h"
#include "endivedock/edge/rollout_agent.h"
#include "endivedock/edge/shared_placement.h"
#include "endivedock/loadreports.h"

#include <algorithm>
#include <map>
#include <vector>

namespace endivedock {

namespace load_reports_detail {

/** Interval between the load reports of one host in a small fleet. */
constexpr Milliseconds reportInterval{100};
/**
 * In a larger fleet, reportInterval is multiplied by the number of hosts divided by this, up to
 * maxReportInterval.
 */
constexpr std::size_t smallFleetSize = 20;
constexpr Milliseconds maxReportInterval{500};

} // namespace load_reports_detail

/**
 * Reports the loads that this host sees to the placing hosts, answers the reports of other hosts
 * for the services that this host places, and applies the answers to its own.
 */
template <EdgePlatform P>
class LoadReporter
{
public:
    /** The references must outlive this object. */
    LoadReporter(HostId self, EdgePeers &peers, SharedPlacement<EdgePeers> &placement,
                 LoadAggregator &aggregator, RolloutAgent<P> &rollouts)
        : m_self(self)
        , m_peers(peers)
        , m_placement(placement)
        , m_aggregator(aggregator)
        , m_rollouts(rollouts)
    {
    }

    /** @return the interval between two calls of sendReports() */
    Milliseconds interval() const;
    void sendReports(TimePoint now);
    /** Answers the report of another host. */
    void handle(HostId from, const HostLoadReport &loadReport, TimePoint now)
    {
        m_peers.sendDivided(from, aggregate(from, loadReport, now));
    }
    void apply(const AggregatedLoad &aggregated, TimePoint now);

private:
    HostLoadReport makeReport(const std::vector<ServiceId> &services, HostId placingHost,
                              TimePoint now);
    AggregatedLoad aggregate(HostId from, const HostLoadReport &loadReport, TimePoint now);

    HostId m_self;
    EdgePeers &m_peers;
    SharedPlacement<EdgePeers> &m_placement;
    LoadAggregator &m_aggregator;
    RolloutAgent<P> &m_rollouts;
};

template <EdgePlatform P>
HostLoadReport LoadReporter<P>::makeReport(const std::vector<ServiceId> &services,
                                           HostId placingHost, TimePoint now)
{
    HostLoadReport loadReport;
    for (const auto &service : services) {
        ServiceBalancer *balancer = m_placement.find(service);
        ServiceLoadReport entry;
        entry.service = service;
        entry.targets = balancer->loadReport(placingHost, now);
        entry.rolloutSamples = balancer->takeRolloutSamples();
        entry.rollout = m_rollouts.progress(service);
        loadReport.services.push_back(std::move(entry));
    }
    return loadReport;
}

template <EdgePlatform P>
void LoadReporter<P>::sendReports(TimePoint now)
{
    std::map<HostId, std::vector<ServiceId>> byPlacingHost;
    for (const auto &[service, balancer] : m_placement.balancers())
        byPlacingHost[m_peers.placingHost(service, now)].push_back(service);
    for (const auto &[host, services] : byPlacingHost) {
        const HostLoadReport loadReport = makeReport(services, host, now);
        if (host == m_self) {
            apply(aggregate(m_self, loadReport, now), now);
            continue;
        }
        m_peers.recordRequest(host, now);
        m_peers.sendDivided(host, loadReport);
    }
}

template <EdgePlatform P>
AggregatedLoad LoadReporter<P>::aggregate(HostId from, const HostLoadReport &loadReport,
                                          TimePoint now)
{
    AggregatedLoad aggregated;
    for (const auto &service : loadReport.services) {
        std::vector<TargetLoad> grantedLoads;
        ServiceBalancer *balancer = m_placement.find(service.service);
        if (balancer != nullptr && from != m_self)
            grantedLoads = balancer->grantedLoads(from, now);
        aggregated.services.push_back(m_aggregator.applyReport(from, service, grantedLoads, now));
        if (balancer != nullptr && from != m_self)
            aggregated.services.back().serviceTimes = balancer->serviceTimes().shared();
    }
    return aggregated;
}

template <EdgePlatform P>
void LoadReporter<P>::apply(const AggregatedLoad &aggregated, TimePoint now)
{
    for (const auto &service : aggregated.services) {
        if (ServiceBalancer *balancer = m_placement.find(service.service)) {
            balancer->applyAggregatedLoad(service.targets, service.range, now);
            balancer->adoptServiceTimes(service.serviceTimes);
        }
        if (service.rollout)
            m_rollouts.applyProgress(service.service, *service.rollout);
    }
}

template <EdgePlatform P>
Milliseconds LoadReporter<P>::interval() const
{
    const auto factor =
            static_cast<std::int64_t>(m_peers.hostCount() / load_reports_detail::smallFleetSize);
    return std::min(load_reports_detail::maxReportInterval,
                    load_reports_detail::reportInterval * std::max<std::int64_t>(factor, 1));
}

} // namespace endivedock
