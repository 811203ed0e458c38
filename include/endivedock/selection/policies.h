#pragma once

#include "endivedock/selection/pick_policy.h"

#include <vector>

namespace endivedock {

/** Picks a random target among those with capacity, with equal probability. */
class RandomPick
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);
};

/** Picks the next target with capacity, in turn. */
class RoundRobin
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);

private:
    std::size_t m_next = 0;
};

/** Picks the target with the fewest requests of this host in flight; breaks ties at random. */
class LeastOutstanding
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);
};

/** Draws two targets with capacity at random and picks the one with fewer requests in flight. */
class PowerOfTwoChoices
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);
};

/**
 * The published hot/cold rule for probed targets. A target is hot if its reported requests in
 * flight exceed a quantile over all targets, and else cold (unrelated to warm-up). In a small
 * random sample, picks the cold target with the lowest reported response time or, if all are hot,
 * the target with the fewest requests in flight.
 */
class HotCold
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);
};

/**
 * Picks the target with the highest ratio of free slots in a bounded random sample, after the paper
 * "SSD Free-Ratio-First Allocation Design": six candidates, ratio clamped to 0..1, a target of
 * unknown capacity counts as free, ties are broken at random.
 */
class FreeRatioSample
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);
};

/**
 * The policy of the placing host, which selects the targets for the requests of all hosts. Prefers
 * a target with a free slot to a target where the request would wait; then the target with the
 * lowest fraction of its limit in use; then a clearly faster target; then picks at random. Together
 * with the placing host's queue, the service behaves much like a system with one central queue.
 */
class FreeSlotFirst
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);
};

static_assert(PickPolicy<RandomPick> && PickPolicy<RoundRobin> && PickPolicy<LeastOutstanding>);
static_assert(PickPolicy<PowerOfTwoChoices> && PickPolicy<HotCold> && PickPolicy<FreeRatioSample>);
static_assert(PickPolicy<FreeSlotFirst>);

} // namespace endivedock
