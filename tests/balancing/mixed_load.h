#pragma once

#include "endivedock/balancing.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace endivedock::test {

/** Requests of one kind that callers send to the simulated service. */
struct RequestKindLoad
{
    RequestClass requestClass;
    double perSecond = 0;
    Milliseconds work{0};
    Milliseconds latencyObjective{0};
    Milliseconds deadline{0};
    int priority = 1;
    TeamHash team{};
};

/** A service whose targets are slowed down at random moments, and what its callers send. */
struct MixedLoad
{
    std::vector<RequestKindLoad> kinds;
    int targets = 11;
    Slots slots{6};
    /** Fraction of the time in which a target is slowed down, and by which factor. */
    double slowShare = 0.25;
    double slowFactor = 5;
    Milliseconds slowPeriod{150};
    /** Beyond this fraction of its slots a target is slowed down by its own load. */
    double knee = 0.8;
    double kneeFactor = 1.7;
    Milliseconds duration{20'000};
    /** Requests that arrive earlier are excluded from the result. */
    Milliseconds countFrom{2000};
    /** Share of the requests that take longer, and by which factor. */
    double tailShare = 0;
    double tailFactor = 7;
    /** See BalancingSettings. */
    Share hedgingShare{0};
    /** Whether a refused caller returns once after the Retry-After of its refusal. */
    bool callersReturn = true;
};

/** What the callers of one kind saw. */
struct KindResult
{
    int requested = 0;
    int withinObjective = 0;
    int late = 0;
    int refused = 0;
    /** Requests that returned after a refusal and were refused again. */
    int refusedAgain = 0;
    int hedges = 0;
    /** Times of the answered requests, in milliseconds. */
    std::vector<std::int64_t> times;

    /** @return the time that this share of the answered requests did not exceed */
    std::int64_t quantile(double share) const
    {
        std::vector<std::int64_t> sorted = times;
        std::sort(sorted.begin(), sorted.end());
        const auto last = static_cast<double>(sorted.size()) - 1;
        return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(last * share)];
    }
    double shareWithinObjective() const
    {
        return requested == 0 ? 1.0 : static_cast<double>(withinObjective) / requested;
    }
    std::string text() const
    {
        return std::to_string(withinObjective) + " in time, " + std::to_string(late) + " late, " +
               std::to_string(refused) + " refused, " + std::to_string(refusedAgain) +
               " of them again, of " + std::to_string(requested);
    }
};

/**
 * Plays a load against one placing host in virtual time.
 *
 * @return one result for each kind of the load
 */
std::vector<KindResult> simulate(const MixedLoad &load, std::uint64_t seed);

} // namespace endivedock::test
