#pragma once

#include "endivedock/selection/pick_policy.h"

#include <vector>

namespace endivedock {

/** Any target with room, each as likely as another. */
class RandomPick
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);
};

/** The next target with room, in turn. */
class RoundRobin
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);

private:
    std::size_t m_next = 0;
};

/** The target with the fewest requests of this host in flight; ties at random. */
class LeastOutstanding
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);
};

/** The one with fewer requests in flight of two targets drawn at random. */
class PowerOfTwoChoices
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);
};

/**
 * The published hot/cold rule for probed targets: of a few reported targets, those above a quantile
 * of requests in flight are hot; the cold one with the lowest latency is chosen, or, if all are
 * hot, the one with the fewest requests in flight.
 */
class HotCold
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);
};

/**
 * A bounded sample of targets ranked by their free ratio, from the related paper
 * ("SSD Free-Ratio-First Allocation Design": six candidates, ratio clamped to 0..1, unknown
 * capacity counts as free, random choice among equals).
 */
class FreeRatioSample
{
public:
    std::optional<std::size_t> pick(std::span<const TargetView> targets, Random &random);
};

/**
 * What the placing host uses: a target with a free slot before one where the request would wait;
 * then the lowest part of the limit in use; then the clearly faster one; then at random. With the
 * placing host's queue this keeps the service close to one central queue.
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
