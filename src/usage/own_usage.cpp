#include "endivedock/usage/own_usage.h"

#include <array>

namespace endivedock {

namespace {

/**
 * Times after a window's end at which all its counts are sent again. They reach a holder that was
 * cut off meanwhile, and contain the requests that took longest.
 */
constexpr std::array<Milliseconds, 3> fullSendTimes{Milliseconds(700), Milliseconds(1500),
                                                    Milliseconds(3800)};

} // namespace

void OwnUsage::record(const TeamId &team, Milliseconds timeOfDay)
{
    Window &window = m_windows[windowAt(timeOfDay, m_settings.windowLength)];
    if (window.teams.size() >= maxTeams && !window.teams.contains(team)) {
        ++m_uncounted;
        return;
    }
    Count &count = window.teams[team];
    ++count.value;
    count.remainingSends = sendsOfChange;
}

std::vector<UsageCounts> OwnUsage::takeDue(Milliseconds timeOfDay)
{
    const UsageWindow current = windowAt(timeOfDay, m_settings.windowLength);
    std::erase_if(m_windows, [&](const auto &entry) {
        return after(entry.first, keptWindows(m_settings)) < current;
    });
    std::vector<UsageCounts> result;
    for (auto &[number, window] : m_windows) {
        const Milliseconds end = beginOf(after(number), m_settings.windowLength);
        const bool isFull = window.fullSends < fullSendTimes.size() &&
                            timeOfDay >= end + fullSendTimes.at(window.fullSends);
        if (isFull)
            ++window.fullSends;
        UsageCounts message{m_self, m_incarnation, number, {}};
        for (auto &[team, count] : window.teams) {
            if (!isFull && count.remainingSends == 0)
                continue;
            message.teams.push_back({team, count.value});
            if (count.remainingSends > 0)
                --count.remainingSends;
        }
        if (!message.teams.empty())
            result.push_back(std::move(message));
    }
    return result;
}

std::optional<std::pair<UsageCounts, UsageCounts>> divide(const UsageCounts &message)
{
    if (message.teams.size() < 2)
        return std::nullopt;
    const auto middle =
            message.teams.begin() + static_cast<std::ptrdiff_t>(message.teams.size() / 2);
    UsageCounts first{
            message.host, message.incarnation, message.window, {message.teams.begin(), middle}};
    UsageCounts second{
            message.host, message.incarnation, message.window, {middle, message.teams.end()}};
    return std::pair(std::move(first), std::move(second));
}

} // namespace endivedock
