#pragma once

#include "endivedock/loadreports/load_totals.h"
#include "endivedock/loadreports/messages.h"
#include "endivedock/telemetry.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace endivedock {

/**
 * Aggregates the load reports of all hosts for each service, and decides on rollouts from the
 * responses that all hosts reported. The state consists of the reports of the last few hundred
 * milliseconds, so a host that takes over has the same state after that time.
 */
class LoadAggregator
{
public:
    /**
     * Replaces the previous report of one host.
     *
     * @param grantedLoads  in-flight requests that this host has placed for hosts other than
     *                      @p from, in the order of their targets
     * @return for each target the in-flight requests that hosts other than @p from reported, plus
     * @p grantedLoads, and the most recent slowdown that any host reported
     */
    AggregatedServiceLoad applyReport(HostId from, const ServiceLoadReport &report,
                                      std::span<const TargetLoad> grantedLoads, TimePoint now);

    /**
     * Sets or ends the rollout of a service.
     *
     * @param order  order of the running rollout, or nothing if none is running
     * @param startedAt  when this host first saw the order
     */
    void setRolloutOrder(const ServiceId &service, const std::optional<RolloutOrder> &order,
                         TimePoint startedAt);
    /** See RolloutController::setNewVersionCapacity(). */
    void setNewVersionCapacity(const ServiceId &service, bool hasCapacity);
    /** Advances the running rollouts for which reports have arrived to the time @p now. */
    void tick(TimePoint now);
    /**
     * @return the progress of the running rollout according to the reports to this host; nothing if
     * no rollout is running or no host has reported since the rollout started
     */
    std::optional<RolloutProgress> progress(const ServiceId &service) const;

    /** The report of a host is used for this long. */
    static constexpr Milliseconds maxReportAge{600};

private:
    struct ServiceState
    {
        LoadTotals totals;
        std::optional<RolloutController> controller;
        /**
         * Whether any host has sent a report to this host during the rollout. Until then, the
         * samples of the rollout go to another host, and this host does not advance the rollout.
         */
        bool hasReports = false;
    };

    void recordSample(const ServiceId &service, RolloutController &controller,
                      const RolloutSample &sample, TimePoint now);

    std::map<ServiceId, ServiceState> m_services;
    Log m_log{"moves"};
};

} // namespace endivedock
