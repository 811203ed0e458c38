#pragma once

#include "endivedock/core.h"

#include <algorithm>

namespace endivedock {

/**
 * Limits the requests in flight at one target by additive increase and multiplicative decrease. The
 * limit decreases when the target sheds a request: another process may use the target's slots
 * unnoticed, and load reports may be stale or wrong, but a shed request shows for certain that the
 * target is full.
 */
class AdaptiveLimit
{
public:
    explicit AdaptiveLimit(Slots maximum)
        : m_maximum(maximum)
        , m_limit(maximum.value())
    {
    }

    /**
     * Changes the upper bound, such as after a change of the configuration, and resets the limit to
     * it. Has no effect if the bound is unchanged.
     */
    void setMaximum(Slots maximum)
    {
        if (maximum == m_maximum)
            return;
        m_maximum = maximum;
        m_limit = maximum.value();
    }
    /** @param inFlight  requests in flight at the target when the target shed a request */
    void recordShed(Slots inFlight)
    {
        const double observedLimit = std::min(m_limit, static_cast<double>(inFlight.value()));
        m_limit = std::max(1.0, observedLimit * decreaseFactor);
    }
    void recordResponse()
    {
        m_limit = std::min(static_cast<double>(m_maximum.value()),
                           m_limit + increasePerRound / m_limit);
    }
    Slots limit() const { return Slots(static_cast<int>(m_limit)); }

private:
    static constexpr double decreaseFactor = 0.7;
    /**
     * Increase of the limit per round of responses. A round has as many responses as the limit, so
     * the limit rises by about one in ten rounds.
     */
    static constexpr double increasePerRound = 0.1;

    Slots m_maximum;
    double m_limit;
};

} // namespace endivedock
