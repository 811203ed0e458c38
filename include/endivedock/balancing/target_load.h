#pragma once

#include "endivedock/balancing/registered_target.h"
#include "endivedock/rollout.h"

#include <cstdint>
#include <limits>

// What hosts report to each other about the targets of a service.

namespace endivedock {

/** Hash of a target's id and start time; identifies one process in messages between hosts. */
using TargetHash = StrongId<struct TargetHashTag, std::uint32_t>;

TargetHash hashTarget(const RegisteredTarget &target);

/** A range of targets in the order of their hashes; both ends belong to it. */
struct TargetRange
{
    TargetHash first{0};
    TargetHash last{std::numeric_limits<std::uint32_t>::max()};
};

/** The load of one target, as hosts report it to each other. */
struct TargetLoad
{
    TargetHash target;
    /**
     * Requests in flight at the target: in a load report those that the reporting host sent and the
     * placing host did not place, in an aggregated load those of all other hosts.
     */
    std::uint16_t inFlight = 0;
    /** Slowdown that the target last reported, in hundredths; 0 if no recent report is known. */
    std::uint16_t slowdown = 0;
    /** Age of the slowdown report. */
    Milliseconds age{0};
};

/**
 * The outcome of one attempt during a rollout. The host that decides whether the rollout continues
 * evaluates these samples.
 */
struct RolloutSample
{
    VersionRole role = VersionRole::Old;
    /** See PlacementRequest::route. */
    std::int16_t route = -1;
    bool isFailure = false;
    /** Service time divided by the slowdown of the target. */
    Microseconds time{0};
};

} // namespace endivedock
