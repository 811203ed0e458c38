#pragma once

#include "endivedock/core.h"

#include <memory>

namespace endivedock {

/**
 * Distribution of the recent response times of one route, in a histogram of bounded size. The
 * weight of old times is halved again and again, so that the distribution follows the load. Not
 * thread-safe.
 */
class ResponseTimes
{
public:
    ResponseTimes();
    ~ResponseTimes();
    ResponseTimes(ResponseTimes &&) noexcept;
    ResponseTimes &operator=(ResponseTimes &&) noexcept;

    void record(Microseconds time);
    /** @return the number of recorded times, of which older ones count less */
    double weight() const;
    /** @return the time that this share of the responses does not exceed; zero without responses */
    Microseconds quantile(Share share) const;

private:
    class Histogram;
    std::unique_ptr<Histogram> m_histogram;
};

} // namespace endivedock
