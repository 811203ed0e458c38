#pragma once

#include "endivedock/core.h"

namespace endivedock {

/** Bounds how often a log line is written, and counts the events without a line. */
class MessageRate
{
public:
    explicit MessageRate(Milliseconds interval)
        : m_interval(interval)
    {
    }

    /** @return the number of events since the last line if a line is due; 0 otherwise */
    std::uint64_t record(TimePoint now)
    {
        ++m_events;
        if (now < m_nextAt)
            return 0;
        m_nextAt = now + m_interval;
        return std::exchange(m_events, 0);
    }

private:
    Milliseconds m_interval;
    TimePoint m_nextAt{};
    std::uint64_t m_events = 0;
};

} // namespace endivedock
