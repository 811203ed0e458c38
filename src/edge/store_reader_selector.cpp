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
    std::map<HostId, Reading> readings;
    for (const auto &host : hosts) {
        if (host.id == m_self.id)
            continue;
        const auto found = m_readings.find(host.id);
        readings[host.id] = found == m_readings.end() ? Reading{now, now} : found->second;
        m_lastAnswerAt = std::max(m_lastAnswerAt, readings[host.id].storeAnswerAt);
        const Rank rank{host.id, host.capacity};
        if (rank.ranksBefore(m_self))
            m_higherRanked.push_back(rank);
    }
    m_readings = std::move(readings);
}

void StoreReaderSelector::recordNotice(HostId host, bool readsStore, TimePoint storeAnswerAt,
                                       TimePoint now)
{
    const auto found = m_readings.find(host);
    if (found == m_readings.end())
        return;
    detectSilence(now);
    Reading &reading = found->second;
    reading.noticeAt = readsStore ? now : TimePoint{};
    // A delayed notice makes an answer look later than it was, never earlier.
    reading.storeAnswerAt = std::max(reading.storeAnswerAt, storeAnswerAt);
    m_lastAnswerAt = std::max(m_lastAnswerAt, storeAnswerAt);
}

void StoreReaderSelector::recordStoreAnswer(HostId host, TimePoint now)
{
    const auto found = m_readings.find(host);
    if (found == m_readings.end())
        return;
    detectSilence(now);
    found->second.storeAnswerAt = m_lastAnswerAt = now;
}

void StoreReaderSelector::detectSilence(TimePoint now)
{
    if (now - m_lastAnswerAt > answerTimeout)
        m_silentSince = m_lastAnswerAt;
}

bool StoreReaderSelector::isReading(HostId host, TimePoint now) const
{
    return now - m_readings.at(host).noticeAt <= noticeTimeout;
}

bool StoreReaderSelector::isActive(HostId host, TimePoint now) const
{
    return isReading(host, now) && m_readings.at(host).storeAnswerAt > m_silentSince;
}

bool StoreReaderSelector::shouldRead(TimePoint now)
{
    detectSilence(now);
    std::size_t activeReaders = 0;
    std::size_t higherRankedIdle = 0;
    for (const Rank &rank : m_higherRanked) {
        if (isActive(rank.id, now))
            ++activeReaders;
        else if (!isReading(rank.id, now))
            ++higherRankedIdle;
    }
    if (activeReaders >= readerCount) {
        m_tooFewReadersSince.reset();
        return false;
    }
    if (!m_tooFewReadersSince)
        m_tooFewReadersSince = now;
    // In each takeover step, as many hosts may start to read as readers are missing.
    const std::size_t steps =
            std::min(higherRankedIdle / (readerCount - activeReaders), maxTakeoverSteps);
    return now - *m_tooFewReadersSince >= takeoverDelay * static_cast<int>(steps);
}

std::vector<HostId> StoreReaderSelector::readingHosts(TimePoint now) const
{
    std::vector<HostId> result;
    for (const auto &[host, reading] : m_readings) {
        if (now - reading.noticeAt <= noticeTimeout)
            result.push_back(host);
    }
    return result;
}

std::optional<Milliseconds> StoreReaderSelector::answerAge(TimePoint now) const
{
    if (m_lastAnswerAt == TimePoint{})
        return std::nullopt;
    return toMilliseconds(now - m_lastAnswerAt);
}

Milliseconds StoreReaderSelector::watchTimeout(TimePoint now) const
{
    const Rank *first = nullptr;
    std::size_t position = 0;
    for (const Rank &rank : m_higherRanked) {
        if (!isReading(rank.id, now))
            continue;
        ++position;
        if (first == nullptr || rank.ranksBefore(*first))
            first = &rank;
    }
    if (first == nullptr)
        return watchPeriod;
    // Ends a fixed time after the watch of the first reader, also if the store has stopped to
    // answer that one. Skips an end that is close, which would cost a call and show nothing new.
    const auto offset = answerInterval * static_cast<int>(position % readerCount);
    Duration timeout = m_readings.at(first->id).storeAnswerAt + offset - now;
    constexpr Milliseconds shortest = answerInterval / 2;
    if (timeout < shortest)
        timeout += watchPeriod * ((shortest - timeout) / watchPeriod + 1);
    return toMilliseconds(timeout);
}

} // namespace endivedock
