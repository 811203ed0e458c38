#pragma once

#include "endivedock/core.h"

#include <optional>

namespace endivedock {

/** Why a target is taken for cold. */
enum class ColdReason {
    Listed,
    NewIncarnation,
    ConnectionRefused,
    ConnectionLost,
    LatencyStep,
    ZoneReturned,
};

/**
 * Whether one target is known to be warm. A target is cold until it has answered well often
 * enough, and cold again at the first sign of a restart.
 */
class WarmupTracker
{
public:
    /** @param answersNeeded  good answers in a row that make a cold target warm; at least 1 */
    explicit WarmupTracker(int answersNeeded)
        : m_answersNeeded(answersNeeded)
        , m_answersLeft(answersNeeded)
    {
    }

    bool isCold() const { return m_answersLeft > 0; }
    /** The incarnation that the target showed last; absent if it showed none. */
    std::optional<Incarnation> incarnation() const { return m_incarnation; }

    /** Takes a sign of coldness; the count starts anew. */
    void markCold(ColdReason reason, TimePoint now);
    ColdReason lastReason() const { return m_lastSign; }

    /**
     * Takes an answer into account.
     *
     * @param seen       incarnation shown with the answer, if any
     * @param startedAt  when the request was sent: answers to requests from before the last sign
     *                   say nothing of the present state
     * @return the sign, if the answer showed that the target is cold again
     */
    std::optional<ColdReason> recordResponse(std::optional<Incarnation> seen, bool good,
                                             Microseconds time, TimePoint startedAt, TimePoint now);

    /** Takes over the knowledge of an earlier holder that @p incarnation was warm. */
    void assumeWarm(Incarnation incarnation);

private:
    bool isLatencyStep(Microseconds time);

    int m_answersNeeded;
    int m_answersLeft;
    ColdReason m_lastSign = ColdReason::Listed;
    std::optional<Incarnation> m_incarnation;
    TimePoint m_coldSince{};
    Microseconds m_usualTime{0};
    int m_slowInRow = 0;
};

} // namespace endivedock
