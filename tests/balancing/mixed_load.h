#pragma once

#include "endivedock/balancing.h"

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
