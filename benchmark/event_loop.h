#pragma once

#include "endivedock/core.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace endivedock::benchmark {

/** Runs events in the order of their virtual times, equal times in the order of scheduling. */
class EventLoop
{
public:
    TimePoint now() const { return m_now; }

    void schedule(TimePoint time, std::function<void()> action)
    {
        m_events.push({time, m_nextOrder++, std::move(action)});
    }
    void scheduleAfter(Duration delay, std::function<void()> action)
    {
        schedule(m_now + delay, std::move(action));
    }

    /** Runs all events, also the events that running events schedule. */
    void run()
    {
        while (!m_events.empty()) {
            // top() is constant. Moving the action out of it is safe, since pop() follows.
            auto action = std::move(const_cast<Event &>(m_events.top()).action);
            m_now = m_events.top().time;
            m_events.pop();
            action();
        }
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    std::priority_queue<Event> m_events;
    TimePoint m_now{Seconds(1000)};
    std::uint64_t m_nextOrder = 0;
};

} // namespace endivedock::benchmark
