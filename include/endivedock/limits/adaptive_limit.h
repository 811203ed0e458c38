#pragma once

#include "endivedock/core.h"

#include <algorithm>

namespace endivedock {

/**
 * How many requests a target is given at most, learned from its own refusals: a neighbour may use
 * its slots unseen, and its load reports may be stale or wrong, but what it sheds is certain.
 * Additive increase, multiplicative decrease.
 */
class AdaptiveLimit
{
public:
    explicit AdaptiveLimit(Slots most)
        : m_most(most)
        , m_limit(most.value())
    {
    }

    /** Changes the upper bound, as when a template changes. */
    void setMaximum(Slots most)
    {
        if (most == m_most)
            return;
        m_most = most;
        m_limit = most.value();
    }
    void recordShed(Slots inFlight)
    {
        const double seen = std::min(m_limit, static_cast<double>(inFlight.value()));
        m_limit = std::max(1.0, seen * decrease);
    }
    void recordResponse()
    {
        m_limit = std::min(static_cast<double>(m_most.value()), m_limit + increase / m_limit);
    }
    Slots limit() const { return Slots(static_cast<int>(m_limit)); }

private:
    static constexpr double decrease = 0.7;
    /** Raises the limit by about one in ten rounds of answers. */
    static constexpr double increase = 0.1;

    Slots m_most;
    double m_limit;
};

} // namespace endivedock
