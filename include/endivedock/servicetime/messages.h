#pragma once

#include "endivedock/core.h"

#include <cstdint>
#include <vector>

namespace endivedock {

/** Hash of a route's name; equal on all hosts and in all configurations. */
using RouteKey = StrongId<struct RouteKeyTag, std::uint32_t>;
/**
 * Hash of what a route declares of its requests: kind, rank and latency objective. Routes with
 * equal declarations usually lead to equal work.
 */
using ProfileKey = StrongId<struct ProfileKeyTag, std::uint32_t>;

/** Which requests a request resembles in the work that it causes. */
struct RequestClass
{
    RouteKey route;
    ProfileKey profile;

    bool operator==(const RequestClass &) const = default;
};

/** A smoothed service time. */
struct ServiceTimeEstimate
{
    Microseconds time{0};
    /** Responses that the estimate is based on, up to the number that smoothing remembers. */
    std::uint8_t samples = 0;
};

/** Estimate for all routes with one profile. */
struct ProfileTime
{
    ProfileKey profile;
    ServiceTimeEstimate estimate;
};

/**
 * What the placing host of a service has learned of its service times. Other hosts start from it
 * when they place requests themselves.
 */
struct SharedServiceTimes
{
    /** Estimate over all requests. */
    ServiceTimeEstimate mean;
    std::vector<ProfileTime> profiles;
};

} // namespace endivedock
