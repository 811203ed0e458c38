#pragma once

#include "endivedock/core.h"

#include <chrono>

#include <ctime>

namespace endivedock {

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
        return time_point(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

/** Time by which the age of evidence is measured. */
using BootTime = BootClock::time_point;

/** Function that returns the time of the boot clock, or that of a test. */
using BootTimeSource = BootTime (*)();

} // namespace endivedock
