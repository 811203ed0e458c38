#include "endivedock/hedging/response_times.h"

#include <cmath>
#include <tuple>

#include <boost/histogram.hpp>

namespace endivedock {

namespace {

namespace hist = boost::histogram;
using TimeAxis = hist::axis::regular<double, hist::axis::transform::log>;

/** Range of the times that are told apart, in milliseconds; others count as its ends. */
constexpr double shortestMs = 1;
constexpr double longestMs = 60'000;
/** Each bin is 12 % longer than the one before: finer than single responses vary. */
constexpr unsigned binCount = 97;
/** Weight at which all weights are halved: some seconds of a route with 50 requests a second. */
constexpr double maxWeight = 400;

} // namespace

class ResponseTimes::Histogram
{
public:
    void record(double milliseconds)
    {
        m_bins(milliseconds);
        if (++m_weight < maxWeight)
            return;
        m_bins *= 0.5;
        m_weight *= 0.5;
    }
    double weight() const { return m_weight; }
    double quantile(double share) const
    {
        const TimeAxis &axis = m_bins.axis();
        double below = 0;
        for (int i = -1; i <= axis.size(); ++i) {
            const double count = m_bins.at(i);
            if (count > 0 && below + count >= share * m_weight) {
                const double within = (share * m_weight - below) / count;
                return std::isfinite(axis.value(i + within)) ? axis.value(i + within) : longestMs;
            }
            below += count;
        }
        return longestMs;
    }

private:
    decltype(hist::make_histogram_with(hist::dense_storage<double>(),
                                       std::declval<TimeAxis>())) m_bins =
            hist::make_histogram_with(hist::dense_storage<double>(),
                                      TimeAxis(binCount, shortestMs, longestMs));
    double m_weight = 0;
};

ResponseTimes::ResponseTimes()
    : m_histogram(std::make_unique<Histogram>())
{
}

ResponseTimes::~ResponseTimes() = default;
ResponseTimes::ResponseTimes(ResponseTimes &&) noexcept = default;
ResponseTimes &ResponseTimes::operator=(ResponseTimes &&) noexcept = default;

void ResponseTimes::record(Microseconds time)
{
    m_histogram->record(static_cast<double>(time.count()) / 1000);
}

double ResponseTimes::weight() const
{
    return m_histogram->weight();
}

Microseconds ResponseTimes::quantile(Share share) const
{
    if (m_histogram->weight() == 0)
        return Microseconds(0);
    return Microseconds(static_cast<std::int64_t>(m_histogram->quantile(share.value()) * 1000));
}

} // namespace endivedock
