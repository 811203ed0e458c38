#pragma once

#include "endivedock/core.h"

#include <optional>

namespace endivedock {

/** Why a target is considered cold. */
enum class ColdReason {
    /** The target is new in the list of targets, or its entry has changed. */
    Listed,
    /** The target reported a newer incarnation. */
    NewIncarnation,
    ConnectionRefused,
    ConnectionLost,
    /** Several consecutive responses were much slower than typical. */
    LatencyStep,
    /** The target's zone is no longer evacuated. */
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
     * Marks the target warm, since the previous placing host knew that @p incarnation was warm. Has
     * no effect if the target has reported another incarnation.
     */
    void assumeWarm(Incarnation incarnation);

private:
    /**
     * @return whether the response is the last of a sequence of slow responses that marks the
     *         target cold; updates the sequence and the typical response time
     */
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
