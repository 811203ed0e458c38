#pragma once

#include "endivedock/core.h"

#include <optional>

namespace endivedock {

/** Why a target is considered cold. */
enum class ColdReason {
    Listed,
    NewIncarnation,
    ConnectionRefused,
    ConnectionLost,
    LatencyStep,
    ZoneReturned,
};

/**
 * Tracks whether one target is known to be warm. A target is cold until it has sent enough
 * successful responses, and again as soon as there is evidence of a restart. Not thread-safe.
 */
class WarmupTracker
{
public:
    /** @param responsesNeeded  successful responses that make a cold target warm; at least 1 */
    explicit WarmupTracker(int responsesNeeded)
        : m_responsesNeeded(responsesNeeded)
        , m_responsesLeft(responsesNeeded)
    {
    }

    bool isCold() const { return m_responsesLeft > 0; }
    /** @return the incarnation that the target last reported; absent if it reported none */
    std::optional<Incarnation> incarnation() const { return m_incarnation; }

    /** Marks the target cold and restarts the count of responses. */
    void markCold(ColdReason reason, TimePoint now);
    ColdReason lastReason() const { return m_lastReason; }

    /**
     * Records a response.
     *
     * @param incarnation  incarnation that the target reported with the response, if any
     * @param sentAt       when the request was sent; a response to a request that was sent before
     *                     the target was marked cold is ignored
     * @return the reason, if the response shows that the target is cold again
     */
    std::optional<ColdReason> recordResponse(std::optional<Incarnation> incarnation, bool succeeded,
                                             Microseconds time, TimePoint sentAt, TimePoint now);

    /**
     * Marks the target warm, as known to the previous placing host for @p incarnation. Has no
     * effect if the target has reported another incarnation since.
     */
    void assumeWarm(Incarnation incarnation);

private:
    /** @return whether the response completes a sequence of slow responses; updates the sequence */
    bool isLatencyStep(Microseconds time);

    int m_responsesNeeded;
    int m_responsesLeft;
    ColdReason m_lastReason = ColdReason::Listed;
    std::optional<Incarnation> m_incarnation;
    TimePoint m_coldSince{};
    Microseconds m_typicalTime{0};
    int m_consecutiveSlow = 0;
};

} // namespace endivedock
