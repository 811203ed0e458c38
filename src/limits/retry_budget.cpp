#include "endivedock/limits/retry_budget.h"

namespace endivedock {

namespace {

constexpr Milliseconds sliceDuration{1000};
/** Retries per window that are allowed even with little traffic, unless extra retries are set. */
constexpr std::uint64_t minRetries = 1;

std::int64_t periodOf(TimePoint now)
{
    return now.time_since_epoch() / sliceDuration;
}

} // namespace

RetryBudget::WindowSlice &RetryBudget::sliceAt(TimePoint now)
{
    const std::int64_t period = periodOf(now);
    WindowSlice &slice = m_slices[static_cast<std::size_t>(period) % sliceCount];
    if (slice.period != period)
        slice = WindowSlice{period, 0, 0};
    return slice;
}

void RetryBudget::recordFirstAttempt(TimePoint now)
{
    ++sliceAt(now).firstAttempts;
}

RetryBudget::WindowCounts RetryBudget::countWindow(TimePoint now) const
{
    const std::int64_t oldest = periodOf(now) - static_cast<std::int64_t>(sliceCount) + 1;
    std::uint64_t firstAttempts = 0;
    WindowCounts result;
    for (const auto &slice : m_slices) {
        if (slice.period < oldest)
            continue;
        firstAttempts += slice.firstAttempts;
        result.retries += slice.retries;
    }
    const double ratioRetries = static_cast<double>(firstAttempts) * m_ratio.value();
    result.allowed = static_cast<std::uint64_t>(ratioRetries + m_extraRetries.value_or(0));
    return result;
}

bool RetryBudget::tryRetry(TimePoint now)
{
    const auto [retries, allowed] = countWindow(now);
    const bool isWithinMinimum = !m_extraRetries && m_ratio.value() > 0 && retries < minRetries;
    if (retries >= allowed && !isWithinMinimum)
        return false;
    ++sliceAt(now).retries;
    return true;
}

Share RetryBudget::usedShare(TimePoint now) const
{
    const auto [retries, allowed] = countWindow(now);
    if (retries >= allowed)
        return Share(1);
    return Share(static_cast<double>(retries) / static_cast<double>(allowed));
}

} // namespace endivedock
