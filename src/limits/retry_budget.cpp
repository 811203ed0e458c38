#include "endivedock/limits/retry_budget.h"

namespace endivedock {

namespace {

constexpr Milliseconds bucketTime{1000};
/** Retries in a window that a service with hardly any traffic may make all the same. */
constexpr std::uint64_t leastRetries = 1;

std::int64_t periodOf(TimePoint now)
{
    return now.time_since_epoch() / bucketTime;
}

} // namespace

RetryBudget::Bucket &RetryBudget::bucketAt(TimePoint now)
{
    const std::int64_t period = periodOf(now);
    Bucket &bucket = m_buckets[static_cast<std::size_t>(period) % bucketCount];
    if (bucket.period != period)
        bucket = Bucket{period, 0, 0};
    return bucket;
}

void RetryBudget::recordFirstAttempt(TimePoint now)
{
    ++bucketAt(now).firsts;
}

bool RetryBudget::tryRetry(TimePoint now)
{
    Bucket &current = bucketAt(now);
    const std::int64_t oldest = current.period - static_cast<std::int64_t>(bucketCount) + 1;
    std::uint64_t firsts = 0;
    std::uint64_t retries = 0;
    for (const auto &bucket : m_buckets) {
        if (bucket.period < oldest)
            continue;
        firsts += bucket.firsts;
        retries += bucket.retries;
    }
    const double shared = static_cast<double>(firsts) * m_share.value();
    const auto allowed = static_cast<std::uint64_t>(shared + m_extraRetries.value_or(0));
    const bool some = !m_extraRetries && m_share.value() > 0 && retries < leastRetries;
    if (retries >= allowed && !some)
        return false;
    ++current.retries;
    return true;
}

} // namespace endivedock
