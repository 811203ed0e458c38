#pragma once

#include "endivedock/core.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>

namespace endivedock {

/** What a policy sees of one target at the time of a decision. */
struct TargetView
{
    /** Requests that the deciding host counts at the target. */
    Slots inFlight{0};
    /** What the target may hold now; the policy must not exceed it. */
    Slots limit{0};
    /** Requests that the target runs at the same time; what it holds beyond them waits there. */
    Slots slots{1};
    /** Smoothed time of its answers; zero if there was none. */
    Microseconds meanTime{0};
    /** Requests in flight that the target reported last; absent if it never did. */
    std::optional<Slots> reportedInFlight;
    /** Smoothed time that the target reported last. */
    Microseconds reportedTime{0};
};

/**
 * Chooses one target among @p targets, which may be empty.
 *
 * @return the index of a target with inFlight < limit, or nothing if there is none
 */
template <typename P>
concept PickPolicy = requires(P policy, std::span<const TargetView> targets, Random random) {
    {
        policy.pick(targets, random)
    } -> std::same_as<std::optional<std::size_t>>;
};

/** @return whether the target may be given one more request */
inline bool hasCapacity(const TargetView &target)
{
    return target.inFlight < target.limit;
}

} // namespace endivedock
