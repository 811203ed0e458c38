#pragma once

#include "endivedock/core/units.h"

#include <chrono>
#include <concepts>
#include <ctime>

namespace endivedock {

/** Monotonic time. Decisions take the time as an argument, so that tests can control it. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/** A source of monotonic time for I/O tasks. */
template <typename C>
concept Clock = requires(const C &clock) {
    {
        clock.now()
    } -> std::same_as<TimePoint>;
};

/** The monotonic clock of the operating system. */
struct SteadyClock
{
    TimePoint now() const { return std::chrono::steady_clock::now(); }
};

/**
 * The clock of the operating system that also advances while the machine sleeps. Its times are
 * comparable only among themselves.
 */
struct BootClock
{
    TimePoint now() const
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) +
                         std::chrono::nanoseconds(time.tv_nsec));
    }
};

/** A clock that advances only on calls of advance(). */
class ManualClock
{
public:
    TimePoint now() const { return m_now; }
    void advance(Duration by) { m_now += by; }

private:
    TimePoint m_now{};
};

static_assert(Clock<SteadyClock> && Clock<BootClock> && Clock<ManualClock>);

/** @return the whole milliseconds in @p duration, rounded down */
constexpr Milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

/** @return Unix time in milliseconds; only for values that outlive the process */
inline std::int64_t unixTimeMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now).count();
}

} // namespace endivedock
