#include "endivedock/edge/registry_source_selector.h"

#include <vector>

namespace endivedock {

void RegistrySourceSelector::recordNotice(HostId host, Revision revision, TimePoint now)
{
    std::erase_if(m_announcements,
                  [now](const auto &item) { return now - item.second.receivedAt > noticeTimeout; });
    m_announcements[host] = {revision, now};
}

void RegistrySourceSelector::recordFailure(HostId host, TimePoint now)
{
    std::erase_if(m_failures,
                  [now](const auto &item) { return now - item.second > failureTimeout; });
    m_failures[host] = now;
}

bool RegistrySourceSelector::hasFailed(HostId host, TimePoint now) const
{
    const auto found = m_failures.find(host);
    return found != m_failures.end() && now - found->second <= failureTimeout;
}

std::optional<HostId>
RegistrySourceSelector::source(Revision revision, std::span<const HostId> otherHosts, TimePoint now)
{
    bool isNewerAnnounced = false;
    std::vector<HostId> candidates;
    for (const auto &[host, announcement] : m_announcements) {
        if (announcement.revision <= revision || now - announcement.receivedAt > noticeTimeout)
            continue;
        isNewerAnnounced = true;
        if (!hasFailed(host, now))
            candidates.push_back(host);
    }
    if (!isNewerAnnounced)
        return std::nullopt;
    if (candidates.empty()) {
        for (const HostId host : otherHosts) {
            if (!hasFailed(host, now))
                candidates.push_back(host);
        }
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates[drawBelow(m_random, candidates.size())];
}

} // namespace endivedock
