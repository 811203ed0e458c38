#include "endivedock/usage/usage_tally.h"

#include "endivedock/usage/own_usage.h"

#include <algorithm>
#include <utility>

namespace endivedock {

namespace {

/** Team names that are kept; a fleet has fewer teams, whose names change with its configuration. */
constexpr std::size_t maxTeamNames = 4 * OwnUsage::maxTeams;

} // namespace

std::optional<UsageTally::TeamIndex> UsageTally::indexOf(const TeamId &team)
{
    const auto found = m_indices.find(team);
    if (found != m_indices.end())
        return found->second;
    if (m_teams.size() >= maxTeamNames)
        return std::nullopt;
    const TeamIndex index(static_cast<std::uint32_t>(m_teams.size()));
    m_teams.push_back(team);
    m_indices.emplace(team, index);
    return index;
}

void UsageTally::merge(const UsageCounts &message)
{
    auto &sources = m_windows[message.window];
    const Source source(message.host, message.incarnation);
    if (sources.size() >= maxSources && !sources.contains(source))
        return;
    Counts &counts = sources[source];
    for (const auto &entry : message.teams) {
        const auto index = indexOf(entry.team);
        if (!index)
            continue;
        const auto found =
                std::lower_bound(counts.begin(), counts.end(), *index,
                                 [](const auto &item, TeamIndex key) { return item.first < key; });
        if (found == counts.end() || found->first != *index)
            counts.insert(found, {*index, entry.count});
        else
            found->second = std::max(found->second, entry.count);
    }
}

void UsageTally::keepOnly(UsageWindow first, UsageWindow last)
{
    const auto forgotten = std::erase_if(m_windows, [&](const auto &entry) {
        return entry.first < first || last < entry.first;
    });
    if (forgotten > 0 && m_teams.size() > maxTeamNames / 4)
        forgetUnusedTeams();
}

void UsageTally::forgetUnusedTeams()
{
    const std::vector<TeamId> teams = std::exchange(m_teams, {});
    m_indices.clear();
    for (auto &[window, sources] : m_windows) {
        for (auto &[source, counts] : sources) {
            for (auto &[index, count] : counts)
                index = indexOf(teams.at(index.value())).value();
            std::sort(counts.begin(), counts.end());
        }
    }
}

TeamCounts UsageTally::totals(UsageWindow window) const
{
    TeamCounts result;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return result;
    for (const auto &[source, counts] : found->second) {
        for (const auto &[index, count] : counts)
            result[m_teams.at(index.value())] += count;
    }
    return result;
}

std::size_t UsageTally::hostCount(UsageWindow window) const
{
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return 0;
    std::size_t result = 0;
    HostId last;
    for (const auto &[source, counts] : found->second) {
        if (result == 0 || source.first != last)
            ++result;
        last = source.first;
    }
    return result;
}

std::vector<UsageCounts> UsageTally::counts() const
{
    std::vector<UsageCounts> result;
    for (const auto &[window, sources] : m_windows) {
        for (const auto &[source, counts] : sources) {
            UsageCounts message{source.first, source.second, window, {}};
            for (const auto &[index, count] : counts)
                message.teams.push_back({m_teams.at(index.value()), count});
            if (!message.teams.empty()) // Such a message is a request.
                result.push_back(std::move(message));
        }
    }
    return result;
}

std::optional<Milliseconds> UsageTally::earliestStart() const
{
    std::optional<Milliseconds> result;
    for (const auto &[window, sources] : m_windows) {
        for (const auto &[source, counts] : sources) {
            const Milliseconds start(static_cast<std::int64_t>(source.second.value()));
            result = result ? std::min(*result, start) : start;
        }
    }
    return result;
}

std::optional<UsageWindow> UsageTally::firstWindow() const
{
    return m_windows.empty() ? std::nullopt : std::optional(m_windows.begin()->first);
}

} // namespace endivedock
