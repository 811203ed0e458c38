#include "endivedock/selection/draining_targets.h"

namespace endivedock {

bool DrainingTargets::record(const TargetProcess &process, const State &state)
{
    if (!m_processes.emplace(process, state).second)
        return false;
    m_order.push_back(process);
    if (m_order.size() > maxProcesses) {
        m_processes.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

bool DrainingTargets::recordResponse(const TargetProcess &process, TimePoint now)
{
    if (!record(process, {now, announcementCount, now}))
        return false;
    m_unannounced.push_back(process);
    return true;
}

bool DrainingTargets::recordNotice(const TargetProcess &process, TimePoint since)
{
    return record(process, {since});
}

std::optional<DrainingProcess> DrainingTargets::find(const TargetProcess &process,
                                                     TimePoint now) const
{
    const auto found = m_processes.find(process);
    if (found == m_processes.end())
        return std::nullopt;
    return DrainingProcess{process, toMilliseconds(now - found->second.since)};
}

std::vector<DrainingProcess> DrainingTargets::takeAnnouncements(TimePoint now)
{
    std::vector<DrainingProcess> result;
    std::erase_if(m_unannounced, [&](const TargetProcess &process) {
        const auto found = m_processes.find(process);
        if (found == m_processes.end())
            return true;
        State &state = found->second;
        if (now < state.nextAnnouncementAt || result.size() == maxAnnounced)
            return false;
        result.push_back({process, toMilliseconds(now - state.since)});
        state.nextAnnouncementAt = now + announcementInterval;
        return --state.remainingAnnouncements == 0;
    });
    return result;
}

} // namespace endivedock
