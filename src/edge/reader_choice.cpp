#include "endivedock/edge/reader_choice.h"

#include <algorithm>

namespace endivedock {

bool ReaderChoice::Rank::before(const Rank &other) const
{
    // Ids are hashes of names, so hosts of one strength and different zones take turns in the
    // order.
    return capacity != other.capacity ? capacity > other.capacity : id < other.id;
}

void ReaderChoice::setHosts(const std::vector<RegisteredHost> &hosts, TimePoint now)
{
    m_ahead.clear();
    std::map<HostId, TimePoint> known;
    for (const auto &host : hosts) {
        if (host.id == m_self.id)
            continue;
        const auto seen = m_readAt.find(host.id);
        known[host.id] = seen == m_readAt.end() ? now : seen->second;
        const Rank rank{host.id, host.capacity};
        if (rank.before(m_self))
            m_ahead.push_back(rank);
    }
    m_readAt = std::move(known);
}

void ReaderChoice::heard(HostId host, bool reads, TimePoint now)
{
    const auto found = m_readAt.find(host);
    if (found != m_readAt.end())
        found->second = reads ? now : TimePoint{};
}

bool ReaderChoice::shouldRead(TimePoint now)
{
    const auto reading = static_cast<std::size_t>(
            std::count_if(m_ahead.begin(), m_ahead.end(), [&](const Rank &rank) {
                return now - m_readAt.at(rank.id) <= patience;
            }));
    if (reading >= readers) {
        m_missingSince.reset();
        return false;
    }
    if (!m_missingSince)
        m_missingSince = now;
    const std::size_t idleAhead = m_ahead.size() - reading;
    const std::size_t turns = std::min(idleAhead / (readers - reading), mostTurns);
    return now - *m_missingSince >= turn * static_cast<int>(turns);
}

} // namespace endivedock
