#include "endivedock/selection/policies.h"

#include <algorithm>
#include <array>

namespace endivedock {

namespace {

/** Maximum number of targets that HotCold and FreeRatioSample compare. */
constexpr std::size_t sampleSize = 6;
/** A target is hot if its requests in flight exceed this quantile over all targets. */
constexpr double hotQuantile = 0.8;
/**
 * Of two equally loaded targets, a target is preferred if its mean time is below this fraction of
 * the mean time of the other target.
 */
constexpr double clearlyFasterRatio = 0.75;

/** Keeps the best candidate offered so far; ties are broken at random with equal probability. */
class BestOf
{
public:
    explicit BestOf(Random &random)
        : m_random(random)
    {
    }

    /** @param order  negative if the candidate is better than the best one so far, 0 if equal */
    void offer(std::size_t index, int order)
    {
        if (!m_best || order < 0) {
            m_best = index;
            m_equalCount = 1;
        } else if (order == 0 && drawBelow(m_random, ++m_equalCount) == 0) {
            m_best = index;
        }
    }
    const std::optional<std::size_t> &best() const { return m_best; }

private:
    Random &m_random;
    std::optional<std::size_t> m_best;
    std::uint64_t m_equalCount = 1;
};

/** @return up to @p sampleCount distinct targets with capacity, drawn by reservoir sampling */
std::vector<std::size_t> sampleWithCapacity(std::span<const TargetView> targets,
                                            std::size_t sampleCount, Random &random)
{
    std::vector<std::size_t> sample;
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (!hasCapacity(targets[i]))
            continue;
        ++seen;
        if (sample.size() < sampleCount) {
            sample.push_back(i);
            continue;
        }
        const std::uint64_t position = drawBelow(random, seen);
        if (position < sampleCount)
            sample[position] = i;
    }
    return sample;
}

/** @return the requests in flight as reported by the target, or else as counted by this host */
Slots knownInFlight(const TargetView &target)
{
    return target.reportedInFlight.value_or(target.inFlight);
}

double freeRatio(const TargetView &target)
{
    if (target.slots.value() <= 0)
        return 1.0;
    const double used = static_cast<double>(knownInFlight(target).value());
    return std::clamp(1.0 - used / target.slots.value(), 0.0, 1.0);
}

template <typename T>
int compare(const T &a, const T &b)
{
    return a < b ? -1 : (b < a ? 1 : 0);
}

/** @return negative if FreeSlotFirst prefers @p a, positive if it prefers @p b, else 0 */
int compareForFreeSlot(const TargetView &a, const TargetView &b)
{
    const bool aWaits = a.inFlight >= a.slots;
    const bool bWaits = b.inFlight >= b.slots;
    if (aWaits != bWaits)
        return aWaits ? 1 : -1;
    const int aLoad = a.inFlight.value() * b.limit.value();
    const int bLoad = b.inFlight.value() * a.limit.value();
    if (aLoad != bLoad)
        return aLoad - bLoad;
    const auto aTime = static_cast<double>(a.meanTime.count());
    const auto bTime = static_cast<double>(b.meanTime.count());
    if (aTime < clearlyFasterRatio * bTime)
        return -1;
    return bTime < clearlyFasterRatio * aTime ? 1 : 0;
}

} // namespace

std::optional<std::size_t> RandomPick::pick(std::span<const TargetView> targets, Random &random)
{
    const auto sample = sampleWithCapacity(targets, 1, random);
    return sample.empty() ? std::nullopt : std::optional(sample.front());
}

std::optional<std::size_t> RoundRobin::pick(std::span<const TargetView> targets, Random &)
{
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const std::size_t index = (m_next + i) % targets.size();
        if (!hasCapacity(targets[index]))
            continue;
        m_next = index + 1;
        return index;
    }
    return std::nullopt;
}

std::optional<std::size_t> LeastOutstanding::pick(std::span<const TargetView> targets,
                                                  Random &random)
{
    BestOf best(random);
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (!hasCapacity(targets[i]))
            continue;
        best.offer(i,
                   best.best() ? compare(targets[i].inFlight, targets[*best.best()].inFlight) : -1);
    }
    return best.best();
}

std::optional<std::size_t> PowerOfTwoChoices::pick(std::span<const TargetView> targets,
                                                   Random &random)
{
    const auto sample = sampleWithCapacity(targets, 2, random);
    if (sample.empty())
        return std::nullopt;
    if (sample.size() == 1)
        return sample.front();
    const bool isFirstLessLoaded = targets[sample[0]].inFlight <= targets[sample[1]].inFlight;
    return sample[isFirstLessLoaded ? 0 : 1];
}

std::optional<std::size_t> HotCold::pick(std::span<const TargetView> targets, Random &random)
{
    const auto sample = sampleWithCapacity(targets, sampleSize, random);
    if (sample.empty())
        return std::nullopt;
    std::vector<int> loads;
    for (const auto &target : targets)
        loads.push_back(knownInFlight(target).value());
    const auto quantile =
            loads.begin() +
            static_cast<std::ptrdiff_t>(hotQuantile * static_cast<double>(loads.size() - 1));
    std::nth_element(loads.begin(), quantile, loads.end());
    const Slots hotThreshold{*quantile};
    BestOf best(random);
    for (const std::size_t index : sample) {
        const auto order = [&](const TargetView &a, const TargetView &b) {
            const bool aHot = knownInFlight(a) > hotThreshold;
            const bool bHot = knownInFlight(b) > hotThreshold;
            if (aHot != bHot)
                return aHot ? 1 : -1;
            return aHot ? compare(knownInFlight(a), knownInFlight(b))
                        : compare(a.reportedTime, b.reportedTime);
        };
        best.offer(index, best.best() ? order(targets[index], targets[*best.best()]) : -1);
    }
    return best.best();
}

std::optional<std::size_t> FreeRatioSample::pick(std::span<const TargetView> targets,
                                                 Random &random)
{
    BestOf best(random);
    for (const std::size_t index : sampleWithCapacity(targets, sampleSize, random)) {
        best.offer(index, best.best() ? compare(freeRatio(targets[*best.best()]),
                                                freeRatio(targets[index]))
                                      : -1);
    }
    return best.best();
}

std::optional<std::size_t> FreeSlotFirst::pick(std::span<const TargetView> targets, Random &random)
{
    BestOf best(random);
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (!hasCapacity(targets[i]))
            continue;
        best.offer(i, best.best() ? compareForFreeSlot(targets[i], targets[*best.best()]) : -1);
    }
    return best.best();
}

} // namespace endivedock
