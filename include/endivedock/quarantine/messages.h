#pragma once

#include "endivedock/core.h"

#include <optional>
#include <vector>

namespace endivedock {

/**
 * A crash of a target, attributed to a request; times are ages at the sending of the message. They
 * show whether two attempts overlapped, so milliseconds would be too coarse.
 */
struct CrashReport
{
    TargetId target;
    /** Zone of the target; empty if it is not known. */
    ZoneId zone;
    /** Time since the attempt was placed on the target. */
    Microseconds startAge{0};
    /** Time since the attempt was lost. */
    Microseconds age{0};
};

/** What one host knows of the crashes that one request caused. */
struct CrashRecord
{
    Fingerprint request;
    std::vector<CrashReport> crashes;
    /** Time since the content was last answered, if it was. */
    std::optional<Milliseconds> answerAge;
    /** Time since the quarantined request was last tried again, if it was. */
    std::optional<Milliseconds> trialAge;
};

/**
 * Tells other hosts of requests that crash targets: all hosts at each change, and random hosts from
 * time to time. Without records, requests those of the receiver; a host sends this when it has
 * started.
 */
struct CrashRecords
{
    std::vector<CrashRecord> records;
};

/** @return the records with all ages @p elapsed larger */
CrashRecords aged(CrashRecords records, Milliseconds elapsed);

} // namespace endivedock
