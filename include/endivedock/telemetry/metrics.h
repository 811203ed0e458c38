#pragma once

#include "endivedock/core/units.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace endivedock {

/** Label names and values of one time series, sorted by name. */
using Labels = std::map<std::string, std::string>;

/** Count, sum, and the quantiles 0.5, 0.9, 0.99 and 0.999 of all durations since process start. */
struct DistributionSummary
{
    std::uint64_t count = 0;
    double sumSeconds = 0;
    double p50Seconds = 0;
    double p90Seconds = 0;
    double p99Seconds = 0;
    double p999Seconds = 0;
};

/**
 * Counters, gauges and distributions of the process, exported in the Prometheus text format. Not
 * thread-safe: used by the single I/O thread of the process only.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /** Adds @p by to a counter; the first call creates the counter. */
    void count(std::string_view name, const Labels &labels = {}, std::uint64_t by = 1);
    /** Sets a gauge to @p value; the first call creates the gauge. */
    void setGauge(std::string_view name, const Labels &labels, double value);
    /** Adds @p duration to a distribution; the first call creates the distribution. */
    void observe(std::string_view name, const Labels &labels, Microseconds duration);

    /** @return the value of a counter; 0 if the counter does not exist */
    std::uint64_t counter(std::string_view name, const Labels &labels = {}) const;
    /** @return the summary of a distribution; all zero if the distribution does not exist */
    DistributionSummary distribution(std::string_view name, const Labels &labels = {}) const;

    /** @return all time series in the Prometheus text format */
    std::string text() const;

private:
    class Distribution;
    template <typename T>
    using Family = std::map<Labels, T>;

    std::map<std::string, Family<std::uint64_t>, std::less<>> m_counters;
    std::map<std::string, Family<double>, std::less<>> m_gauges;
    std::map<std::string, Family<std::unique_ptr<Distribution>>, std::less<>> m_distributions;
};

} // namespace endivedock
