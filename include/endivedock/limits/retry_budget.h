#pragma once

#include "endivedock/core.h"

#include <array>
#include <optional>

namespace endivedock {

/**
 * Bounds retries to a fraction of first attempts, over a sliding window of 10 s. One budget counts
 * the attempts of all hosts at one service. An attempt counts as a retry if any of the nested calls
 * above it was retried. The retries at the deepest service of a call chain therefore stay within
 * the same fraction, whatever the depth of the chain. Not thread-safe.
 */
class RetryBudget
{
public:
    explicit RetryBudget(Share ratio)
        : m_ratio(ratio)
    {
    }

    void setRatio(Share ratio) { m_ratio = ratio; }
    /**
     * @param retries  retries allowed per window beyond the ratio; may be a fraction of one retry
     */
    void setExtraRetries(double retries) { m_extraRetries = retries; }
    void recordFirstAttempt(TimePoint now);
    /** @return whether a retry is within the budget; if so, the retry is counted */
    bool tryRetry(TimePoint now);
    /** @return share of the retries allowed now that have been made; 1 if none are allowed */
    Share usedShare(TimePoint now) const;

private:
    /** Counts of one slice of the window. */
    struct WindowSlice
    {
        /**
         * Start of the slice, in slice durations since the clock's epoch; -1 if the slice is
         * unused.
         */
        std::int64_t period = -1;
        std::uint64_t firstAttempts = 0;
        std::uint64_t retries = 0;
    };
    static constexpr std::size_t sliceCount = 10;

    /** Counts of the whole window. */
    struct WindowCounts
    {
        std::uint64_t retries = 0;
        std::uint64_t allowed = 0;
    };

    WindowSlice &sliceAt(TimePoint now);
    WindowCounts countWindow(TimePoint now) const;

    Share m_ratio;
    std::optional<double> m_extraRetries;
    std::array<WindowSlice, sliceCount> m_slices{};
};

} // namespace endivedock
