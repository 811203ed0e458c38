#pragma once

#include "endivedock/usage/messages.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace endivedock {

/**
 * Counts of many hosts. Of two counts of one team by one incarnation of a host in one window, the
 * larger one is the later one, so messages may be lost, repeated and reordered.
 */
class UsageTally
{
public:
    void merge(const UsageCounts &message);
    /** Forgets the windows outside the given ones, both included. */
    void keepOnly(UsageWindow first, UsageWindow last);

    TeamCounts totals(UsageWindow window) const;
    /** @return the number of hosts that counted a request in the window */
    std::size_t hostCount(UsageWindow window) const;
    /** @return all counts of all hosts */
    std::vector<UsageCounts> counts() const;
    /** @return the earliest start of a host that counted any request, as Unix time */
    std::optional<Milliseconds> earliestStart() const;
    /** @return the first window in which any request was counted */
    std::optional<UsageWindow> firstWindow() const;

    /** Sources with counts in one window: hosts, each once more for each restart. */
    static constexpr std::size_t maxSources = 8192;

private:
    using TeamIndex = StrongId<struct TeamIndexTag, std::uint32_t>;
    using Source = std::pair<HostId, Incarnation>;
    /** Sorted by team. Kept small, since a holder has one for each host and window. */
    using Counts = std::vector<std::pair<TeamIndex, std::uint32_t>>;

    std::optional<TeamIndex> indexOf(const TeamId &team);
    /** Makes room for names of teams that have yet to come. */
    void forgetUnusedTeams();

    std::map<UsageWindow, std::map<Source, Counts>> m_windows;
    std::map<TeamId, TeamIndex> m_indices;
    std::vector<TeamId> m_teams;
};

} // namespace endivedock
