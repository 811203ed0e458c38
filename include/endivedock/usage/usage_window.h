#pragma once

#include "endivedock/core.h"

#include <cstdint>
#include <map>

namespace endivedock {

/** Number of a window of the time of day: window k begins k window lengths after 1970. */
using UsageWindow = StrongId<struct UsageWindowTag, std::int64_t>;
/** Rises with each term of a holder; the receiver of reports refuses a lower one than it saw. */
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
/** Requests of each team that targets began to run. */
using TeamCounts = std::map<TeamId, std::uint64_t>;

/** How usage is reported. */
struct UsageSettings
{
    /** Where reports are sent. */
    Address receiver;
    Milliseconds windowLength{5000};
    /** A window's report is due this long after the end of the window. */
    Milliseconds lateAfter{10'000};
    /** Duration of the holder's lease. */
    Milliseconds lease{3000};
};

/** @return the window that contains a Unix time */
inline UsageWindow windowAt(Milliseconds timeOfDay, Milliseconds length)
{
    return UsageWindow(timeOfDay.count() / length.count());
}

/** @return the Unix time at which a window begins */
inline Milliseconds beginOf(UsageWindow window, Milliseconds length)
{
    return Milliseconds(window.value() * length.count());
}

/** @return the window that follows @p window, or is that many windows after it */
inline UsageWindow after(UsageWindow window, std::int64_t count = 1)
{
    return UsageWindow(window.value() + count);
}

/** @return how many windows a host keeps, so that each one can be reported until it is too late */
inline std::int64_t keptWindows(const UsageSettings &settings)
{
    return settings.lateAfter / settings.windowLength + 3;
}

} // namespace endivedock
