#include "endivedock/edge/store_reader_selector.h"

#include <algorithm>

namespace endivedock {

bool StoreReaderSelector::Rank::ranksBefore(const Rank &other) const
{
    // Ids are hashes of names, so hosts of equal capacity are ordered independently of their zones.
    return capacity != other.capacity ? capacity > other.capacity : id < other.id;
}

void StoreReaderSelector::setHosts(const std::vector<RegisteredHost> &hosts, TimePoint now)
{
    m_higherRanked.clear();
    std::map<HostId, TimePoint> lastReadAt;
    for (const auto &host : hosts) {
        if (host.id == m_self.id)
            continue;
        const auto found = m_lastReadAt.find(host.id);
        lastReadAt[host.id] = found == m_lastReadAt.end() ? now : found->second;
        const Rank rank{host.id, host.capacity};
        if (rank.ranksBefore(m_self))
            m_higherRanked.push_back(rank);
    }
    m_lastReadAt = std::move(lastReadAt);
}

void StoreReaderSelector::recordNotice(HostId host, bool readsStore, TimePoint now)
{
    const auto found = m_lastReadAt.find(host);
    if (found != m_lastReadAt.end())
        found->second = readsStore ? now : TimePoint{};
}

bool StoreReaderSelector::shouldRead(TimePoint now)
{
    const auto activeReaders = static_cast<std::size_t>(
            std::count_if(m_higherRanked.begin(), m_higherRanked.end(), [&](const Rank &rank) {
                return now - m_lastReadAt.at(rank.id) <= noticeTimeout;
            }));
    if (activeReaders >= readerCount) {
        m_tooFewReadersSince.reset();
        return false;
    }
    if (!m_tooFewReadersSince)
        m_tooFewReadersSince = now;
    const std::size_t higherRankedIdle = m_higherRanked.size() - activeReaders;
    // In each takeover step, as many hosts may start to read as readers are missing.
    const std::size_t steps =
            std::min(higherRankedIdle / (readerCount - activeReaders), maxTakeoverSteps);
    return now - *m_tooFewReadersSince >= takeoverDelay * static_cast<int>(steps);
}

} // namespace endivedock
