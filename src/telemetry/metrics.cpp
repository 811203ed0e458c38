#include "endivedock/telemetry/metrics.h"

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace endivedock {

namespace {

namespace acc = boost::accumulators;
using Accumulator = acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;
constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.99, 0.999};

prometheus::ClientMetric makeMetric(const Labels &labels)
{
    prometheus::ClientMetric metric;
    for (const auto &[name, value] : labels)
        metric.label.push_back({name, value});
    return metric;
}

prometheus::MetricFamily makeFamily(const std::string &name, prometheus::MetricType type)
{
    prometheus::MetricFamily result;
    result.name = name;
    result.type = type;
    return result;
}

} // namespace

/**
 * Estimates quantiles with the P-square algorithm, whose fixed number of markers needs a constant
 * amount of memory.
 */
class Metrics::Distribution
{
public:
    Distribution()
        : m_accumulator(acc::extended_p_square_probabilities = quantiles)
    {
    }

    void add(double seconds) { m_accumulator(seconds); }

    DistributionSummary summary() const
    {
        DistributionSummary result;
        result.count = acc::count(m_accumulator);
        result.sumSeconds = acc::sum(m_accumulator);
        const auto estimates = acc::extended_p_square(m_accumulator);
        result.p50Seconds = estimates[0];
        result.p90Seconds = estimates[1];
        result.p99Seconds = estimates[2];
        result.p999Seconds = estimates[3];
        return result;
    }

private:
    Accumulator m_accumulator;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, const Labels &labels, std::uint64_t by)
{
    auto found = m_counters.find(name);
    if (found == m_counters.end())
        found = m_counters.emplace(name, Family<std::uint64_t>{}).first;
    found->second[labels] += by;
}

void Metrics::setGauge(std::string_view name, const Labels &labels, double value)
{
    m_gauges[std::string(name)][labels] = value;
}

void Metrics::observe(std::string_view name, const Labels &labels, Microseconds duration)
{
    auto found = m_distributions.find(name);
    if (found == m_distributions.end())
        found = m_distributions.emplace(name, Family<std::unique_ptr<Distribution>>{}).first;
    auto &distribution = found->second[labels];
    if (!distribution)
        distribution = std::make_unique<Distribution>();
    distribution->add(std::chrono::duration<double>(duration).count());
}

std::uint64_t Metrics::counter(std::string_view name, const Labels &labels) const
{
    const auto found = m_counters.find(name);
    if (found == m_counters.end())
        return 0;
    const auto series = found->second.find(labels);
    return series == found->second.end() ? 0 : series->second;
}

DistributionSummary Metrics::distribution(std::string_view name, const Labels &labels) const
{
    const auto found = m_distributions.find(name);
    if (found == m_distributions.end() || !found->second.contains(labels))
        return {};
    return found->second.at(labels)->summary();
}

std::string Metrics::text() const
{
    std::vector<prometheus::MetricFamily> families;
    for (const auto &[name, series] : m_counters) {
        families.push_back(makeFamily(name, prometheus::MetricType::Counter));
        for (const auto &[labels, value] : series) {
            families.back().metric.push_back(makeMetric(labels));
            families.back().metric.back().counter.value = static_cast<double>(value);
        }
    }
    for (const auto &[name, series] : m_gauges) {
        families.push_back(makeFamily(name, prometheus::MetricType::Gauge));
        for (const auto &[labels, value] : series) {
            families.back().metric.push_back(makeMetric(labels));
            families.back().metric.back().gauge.value = value;
        }
    }
    for (const auto &[name, series] : m_distributions) {
        families.push_back(makeFamily(name, prometheus::MetricType::Summary));
        for (const auto &[labels, value] : series) {
            const DistributionSummary summary = value->summary();
            families.back().metric.push_back(makeMetric(labels));
            auto &out = families.back().metric.back().summary;
            out.sample_count = summary.count;
            out.sample_sum = summary.sumSeconds;
            out.quantile = {{0.5, summary.p50Seconds},
                            {0.9, summary.p90Seconds},
                            {0.99, summary.p99Seconds},
                            {0.999, summary.p999Seconds}};
        }
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace endivedock
