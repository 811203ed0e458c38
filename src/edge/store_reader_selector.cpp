#include "endivedock/edge/store_reader_selector.h"

#include <algorithm>

namespace endivedock {

bool StoreReaderSelector::Rank::before(const Rank &other) const
{
    // Ids are hashes of names, so hosts of one strength and different zones take turns in the
    // order.
    return capacity != other.capacity ? capacity > other.capacity : id < other.id;
}

void StoreReaderSelector::setHosts(const std::vector<RegisteredHost> &hosts, TimePoint now)
{
    m_higherRanked.clear();
    std::map<HostId, TimePoint> known;
    for (const auto &host : hosts) {
        if (host.id == m_self.id)
            continue;
        const auto seen = m_lastReadAt.find(host.id);
        known[host.id] = seen == m_lastReadAt.end() ? now : seen->second;
        const Rank rank{host.id, host.capacity};
        if (rank.before(m_self))
            m_higherRanked.push_back(rank);
    }
    m_lastReadAt = std::move(known);
}

void StoreReaderSelector::recordResponse(HostId host, bool readsStore, TimePoint now)
{
    const auto found = m_lastReadAt.find(host);
    if (found != m_lastReadAt.end())
        found->second = readsStore ? now : TimePoint{};
}

bool StoreReaderSelector::shouldRead(TimePoint now)
{
    const auto reading = static_cast<std::size_t>(
            std::count_if(m_higherRanked.begin(), m_higherRanked.end(), [&](const Rank &rank) {
                return now - m_lastReadAt.at(rank.id) <= noticeTimeout;
            }));
    if (reading >= readerCount) {
        m_tooFewReadersSince.reset();
        return false;
    }
    if (!m_tooFewReadersSince)
        m_tooFewReadersSince = now;
    const std::size_t higherRankedIdle = m_higherRanked.size() - reading;
    const std::size_t turns =
            std::min(higherRankedIdle / (readerCount - reading), maxTakeoverSteps);
    return now - *m_tooFewReadersSince >= takeoverDelay * static_cast<int>(turns);
}

} // namespace endivedock
