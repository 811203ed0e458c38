#pragma once

#include "endivedock/core.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>

namespace endivedock {

/** Input of a policy: the state of one target at the time of a decision. */
struct TargetView
{
    /** Requests in flight at the target, as counted by the deciding host. */
    Slots inFlight{0};
    /** Upper bound on the requests in flight; a policy must not exceed it. */
    Slots limit{0};
    /**
     * Number of requests that the target runs concurrently; further requests wait at the target.
     */
    Slots slots{1};
    /** Smoothed response time of the target; zero before the first response. */
    Microseconds meanTime{0};
    /** Requests in flight that the target last reported; absent before the first report. */
    std::optional<Slots> reportedInFlight;
    /** Smoothed response time that the target last reported; zero before the first report. */
    Microseconds reportedTime{0};
};

/**
 * Requirements of a pick policy: pick() chooses one of @p targets, which may be empty, and returns
 * the index of a target with inFlight < limit, or nothing if there is none.
 */
template <typename P>
concept PickPolicy = requires(P policy, std::span<const TargetView> targets, Random random) {
    {
        policy.pick(targets, random)
    } -> std::same_as<std::optional<std::size_t>>;
};

/** @return whether the target may receive one more request */
inline bool hasCapacity(const TargetView &target)
{
    return target.inFlight < target.limit;
}

} // namespace endivedock
