#pragma once

#include "endivedock/balancing.h"
#include "endivedock/core.h"

#include <list>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace endivedock {

/**
 * The sum of the last load reports of all hosts for the targets of one service. A new report costs
 * time for its own entries only, whatever the number of hosts.
 */
class LoadTotals
{
public:
    /** Replaces the previous report of one host; times must not decrease. */
    void replaceReport(HostId from, const std::vector<TargetLoad> &targets, TimePoint now);
    /** Removes the reports that were received before @p oldest. */
    void removeOlderThan(TimePoint oldest);
    /**
     * @param grantedLoads  loads to add, in the order of their targets
     * @return for each target the in-flight requests that hosts other than @p excluded reported,
     *         plus @p grantedLoads, and the most recent slowdown; in the order of the targets
     */
    std::vector<TargetLoad> sumWithout(HostId excluded, std::span<const TargetLoad> grantedLoads,
                                       TimePoint now) const;

private:
    struct Report
    {
        std::vector<TargetLoad> targets;
        TimePoint receivedAt{};
        std::list<HostId>::iterator arrival;
    };
    struct Slowdown
    {
        TimePoint observedAt{};
        HostId reportedBy;
        std::uint16_t slowdown = 0;

        /** The most recent slowdown is first. */
        bool operator<(const Slowdown &other) const;
    };
    struct Total
    {
        std::uint16_t inFlight = 0;
        /** Number of entries for the target in all reports. */
        std::size_t entries = 0;
        std::multiset<Slowdown> slowdowns;
    };

    static Slowdown slowdownOf(const TargetLoad &entry, HostId from, TimePoint receivedAt);
    static void addTo(TargetLoad &load, const Total &total, TimePoint now);
    void add(HostId from, const Report &report);
    void subtract(HostId from, const Report &report);

    std::map<HostId, Report> m_reports;
    /** Hosts in the order in which their last reports arrived. */
    std::list<HostId> m_arrivals;
    std::map<TargetHash, Total> m_totals;
};

} // namespace endivedock
