#pragma once

#include "endivedock/core.h"

namespace endivedock {

/** Limits that all hosts keep together, and what this host assumes of targets. */
struct BalancingSettings
{
    ZoneId zone;
    /** Retries as a part of the requests of this host. */
    Share retryShare{0.15};
    /** Retries in the budget's window that all hosts together may make besides. */
    double retryAllowance = 40;
    /** Used part of the rate that a cold target bears: hosts do not act in step. */
    Share coldRate{0.75};
    /** A new request beyond this part of its remaining time would most likely be late. */
    Share latestFinish{0.8};
    /** A neighbour's burst on a target's machine lasts about this long. */
    Milliseconds burst{300};
    /** Work on a target whose slots are all taken slows down by about this factor. */
    double crowding = 1.6;
    /** What another zone costs, as time: two ways of about 1 ms. */
    Microseconds zonePenalty{2000};
    /** Counts of other hosts are used up to this age. */
    Milliseconds pictureAge{1000};
    /** With a request in flight and no answer for longer than this, a target may have stopped. */
    Milliseconds silence{400};
    /** After a failed connection a target is left alone for this time, doubling up to the longest. */
    Milliseconds firstAbsence{250};
    Milliseconds longestAbsence{2000};
    Milliseconds probeInterval{250};
    Milliseconds connectTimeout{200};
};

} // namespace endivedock
