#pragma once

#include "endivedock/core.h"
#include "endivedock/telemetry.h"

#include <set>

namespace endivedock {

/**
 * Counts the requests of each team. Counts those of teams that come after the first maxTeams
 * together, so that configurations which name ever new teams do not fill the memory.
 */
class TeamCounters
{
public:
    /** Number of teams with counters of their own, some times that of the largest deployment. */
    static constexpr std::size_t maxTeams = 1024;

    /** @param team  empty for a request of no team, which is not counted */
    void count(Metrics &metrics, const TeamId &team)
    {
        if (team.value().empty())
            return;
        const bool isCounted = m_teams.contains(team) || m_teams.size() < maxTeams;
        if (isCounted)
            m_teams.insert(team);
        metrics.count("endivedock_team_requests_total",
                      {{"team", isCounted ? team.value() : "others"}});
    }

private:
    std::set<TeamId> m_teams;
};

} // namespace endivedock
