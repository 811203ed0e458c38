#include "endivedock/coldstart/warmup_tracker.h"

namespace endivedock {

namespace {

/** An answer this many times slower than usual may mean a cold target. */
constexpr int stepFactor = 5;
/** And slower by this much: a stall of a host slows all answers of a fast service for a moment. */
constexpr Milliseconds stepMargin{20};
/**
 * That many such answers in a row do mean one. Where one request in ten is that slow by nature, a
 * warm target shows this once in a million answers.
 */
constexpr int stepAnswers = 6;
/** Weight of the newest answer in the usual time, as one part of so many. */
constexpr int usualTimeParts = 20;

} // namespace

void WarmupTracker::markCold(ColdReason reason, TimePoint now)
{
    m_coldSince = now;
    m_answersLeft = m_answersNeeded;
    m_lastSign = reason;
    m_slowInRow = 0;
    m_usualTime = Microseconds(0);
}

bool WarmupTracker::isLatencyStep(Microseconds time)
{
    const bool slow = m_usualTime.count() > 0 && time > m_usualTime * stepFactor &&
                      time > m_usualTime + stepMargin;
    m_slowInRow = slow ? m_slowInRow + 1 : 0;
    if (m_usualTime.count() == 0)
        m_usualTime = time;
    else if (!slow)
        m_usualTime += (time - m_usualTime) / usualTimeParts;
    return m_slowInRow >= stepAnswers;
}

std::optional<ColdReason> WarmupTracker::recordResponse(std::optional<Incarnation> seen, bool good,
                                                        Microseconds time, TimePoint startedAt,
                                                        TimePoint now)
{
    if (seen && m_incarnation && *seen < *m_incarnation)
        return std::nullopt; // A late answer of the life before.
    if (seen && m_incarnation && *seen > *m_incarnation) {
        m_incarnation = seen;
        markCold(ColdReason::NewIncarnation, now);
        return ColdReason::NewIncarnation;
    }
    if (seen)
        m_incarnation = seen;
    if (!good || startedAt < m_coldSince)
        return std::nullopt;
    if (isCold()) {
        --m_answersLeft;
        return std::nullopt;
    }
    if (!isLatencyStep(time))
        return std::nullopt;
    markCold(ColdReason::LatencyStep, now);
    return ColdReason::LatencyStep;
}

void WarmupTracker::assumeWarm(Incarnation incarnation)
{
    if (m_incarnation && *m_incarnation != incarnation)
        return;
    m_incarnation = incarnation;
    m_answersLeft = 0;
}

} // namespace endivedock
