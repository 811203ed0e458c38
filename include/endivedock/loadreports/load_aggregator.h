#pragma once

#include "endivedock/loadreports/messages.h"
#include "endivedock/telemetry.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace endivedock {

/**
 * Adds up what the hosts tell of each service, and decides on version moves by the answers of all
 * of them. State of a few hundred milliseconds: a host that takes over has the same after as many.
 */
class LoadAggregator
{
public:
    /**
     * Takes one host's news.
     *
     * @param granted  requests that this host has placed for others than @p from
     * @return what all the others told, and @p granted
     */
    AggregatedServiceLoad applyReport(HostId from, const ServiceLoadReport &news,
                                      std::span<const TargetLoad> granted, TimePoint now);

    /** @param order  the running order, or nothing; @param startedAt when it was first seen */
    void setRolloutOrder(const ServiceId &service, const std::optional<RolloutOrder> &order,
                         TimePoint startedAt);
    /** Lets time pass for the moves. */
    void tick(TimePoint now);
    /** @return how far the running move is, by what this host was told */
    std::optional<RolloutProgress> progress(const ServiceId &service) const;

    /** What a host told is used for this long. */
    static constexpr Milliseconds maxReportAge{600};

private:
    struct HostLoad
    {
        std::vector<TargetLoad> targets;
        TimePoint at{};
    };
    struct ServiceState
    {
        std::map<HostId, HostLoad> hosts;
        std::optional<RolloutController> mover;
        /** Whether any host has asked here during the move, so that its evidence comes here. */
        bool hasReports = false;
    };

    void recordSample(const ServiceId &service, RolloutController &mover,
                      const RolloutSample &answer, TimePoint now);

    std::map<ServiceId, ServiceState> m_services;
    Log m_log{"moves"};
};

} // namespace endivedock
