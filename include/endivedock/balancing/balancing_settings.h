#pragma once

#include "endivedock/core.h"

namespace endivedock {

/** Limits that all hosts keep together, and what this host assumes of targets. */
struct BalancingSettings
{
    ZoneId zone;
    /** Retries as a part of first attempts; a new placing host begins with a new count. */
    Share retryBudgetRatio{0.1};
    /** Retries in the budget's window that one placing host may grant besides. */
    double extraRetries = 24;
    /** As above, for all hosts together that place without the placing host. */
    double fallbackExtraRetries = 16;
    /** Part of the rate that a cold target bears which the placing host hands out. */
    Share coldRateShare{0.6};
    /** As above, for all hosts together that place without the placing host. */
    Share fallbackColdRateShare{0.35};
    /** A new request beyond this part of its remaining time would most likely be late. */
    Share latestFinish{0.8};
    /** A neighbour's burst on a target's machine lasts about this long. */
    Milliseconds burst{300};
    /** Part of its slots up to which a target is given work; nearly full ones slow down. */
    Share roomy{0.8};
    /** Work on a target that is fuller slows down by about this factor. */
    double crowding = 1.6;
    /** What another zone costs, as time: two ways of about 1 ms. */
    Microseconds zonePenalty{2000};
    /** And each KB that goes there: platforms charge for traffic between zones. */
    Microseconds zonePenaltyPerKb{400};
    /** What a new connection costs, as part of the usual work: targets bear only so many, and each
     * holds a slot for its handshake. */
    double connectPenalty = 0.2;
    /** Counts of other hosts are used up to this age. */
    Milliseconds pictureAge{1000};
    /** With a request in flight and no answer for longer than this, a target may have stopped. */
    Milliseconds silence{400};
    /** After a failed connection a target is left alone for this time, doubling up to the longest.
     */
    Milliseconds firstAbsence{250};
    Milliseconds longestAbsence{2000};
    Milliseconds probeInterval{250};
    /** The placing host asks a target whose load report is older than this. */
    Milliseconds reportAge{70};
    /** Questions for loads that one placing host asks for one service. */
    PerSecond reportRate{800};
    Milliseconds connectTimeout{200};
};

} // namespace endivedock
