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
 * Time since the machine started, including the time for which it was suspended, during which the
 * steady clock stands still. Unlike the time of day, it never jumps.
 */
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    static time_point now()
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time); // Fails only for a clock that does not exist.
        return time_point(std::chrono::seconds(time.tv_sec) +
                          std::chrono::nanoseconds(time.tv_nsec));
    }
};

/** Time by which ages are measured that must include suspensions of the machine. */
using BootTime = BootClock::time_point;

/** A clock that advances only on calls of advance(). */
class ManualClock
{
public:
    TimePoint now() const { return m_now; }
    void advance(Duration by) { m_now += by; }

private:
    TimePoint m_now{};
};

static_assert(Clock<SteadyClock> && Clock<ManualClock>);

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
