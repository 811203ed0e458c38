#pragma once

#include "endivedock/core.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace endivedock::benchmark {

/** Runs events in the order of their virtual time; equal times in the order of scheduling. */
class EventLoop
{
public:
    TimePoint now() const { return m_now; }

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.push({time, m_next++, std::move(action)});
    }
    void after(Duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    /** Runs until no event is left. */
    void run()
    {
        while (!m_events.empty()) {
            // The queue hands out constant references; the action is moved out before the pop.
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
    std::uint64_t m_next = 0;
};

} // namespace endivedock::benchmark
