#pragma once

#include "endivedock/core.h"

#include <array>
#include <optional>

namespace endivedock {

/**
 * Bounds retries to a share of first attempts, over a sliding window. One budget counts a service's
 * attempts of all hosts, and an attempt counts as a retry if any of the nested calls above it was
 * retried; so the deepest of a chain of calls bears no more than the share, whatever its depth.
 */
class RetryBudget
{
public:
    explicit RetryBudget(Share share)
        : m_share(share)
    {
    }

    void setShare(Share share) { m_share = share; }
    /** Retries in a window that are allowed besides the share; may be less than one. */
    void setExtraRetries(double retries) { m_extraRetries = retries; }
    void recordFirstAttempt(TimePoint now);
    /** @return whether a retry may be made now; counts it if so */
    bool tryRetry(TimePoint now);

private:
    struct Bucket
    {
        std::int64_t period = -1;
        std::uint64_t firsts = 0;
        std::uint64_t retries = 0;
    };
    static constexpr std::size_t bucketCount = 10;

    Bucket &bucketAt(TimePoint now);

    Share m_share;
    std::optional<double> m_extraRetries;
    std::array<Bucket, bucketCount> m_buckets{};
};

} // namespace endivedock
