#include "endivedock/coldstart/warmup_tracker.h"

namespace endivedock {

namespace {

/** A slow response exceeds the typical response time by this factor. */
constexpr int stepFactor = 5;
/**
 * A slow response also exceeds the typical time by this margin. Without the margin, a short stall
 * of this host, which delays all responses of a fast service, would look like a cold target.
 */
constexpr Milliseconds stepMargin{20};
/**
 * Number of consecutive slow responses that mark a target cold. If one in ten responses is that
 * slow by nature, a warm target is marked cold by mistake once in a million responses.
 */
constexpr int stepResponses = 6;
/** Inverse of the weight that the newest response has in the smoothed typical response time. */
constexpr int typicalTimeDivisor = 20;

} // namespace

void WarmupTracker::markCold(ColdReason reason, TimePoint now)
{
    m_coldSince = now;
    m_responsesLeft = m_responsesNeeded;
    m_lastReason = reason;
    m_consecutiveSlow = 0;
    m_typicalTime = Microseconds(0);
}

bool WarmupTracker::isLatencyStep(Microseconds time)
{
    const bool isSlow = m_typicalTime.count() > 0 && time > m_typicalTime * stepFactor &&
                        time > m_typicalTime + stepMargin;
    m_consecutiveSlow = isSlow ? m_consecutiveSlow + 1 : 0;
    if (m_typicalTime.count() == 0)
        m_typicalTime = time;
    else if (!isSlow)
        m_typicalTime += (time - m_typicalTime) / typicalTimeDivisor;
    return m_consecutiveSlow >= stepResponses;
}

std::optional<ColdReason> WarmupTracker::recordResponse(std::optional<Incarnation> incarnation,
                                                        bool succeeded, Microseconds time,
                                                        TimePoint sentAt, TimePoint now)
{
    if (incarnation && m_incarnation && *incarnation < *m_incarnation)
        return std::nullopt; // A late response of an earlier incarnation.
    if (incarnation && m_incarnation && *incarnation > *m_incarnation) {
        m_incarnation = incarnation;
        markCold(ColdReason::NewIncarnation, now);
        return ColdReason::NewIncarnation;
    }
    if (incarnation)
        m_incarnation = incarnation;
    if (!succeeded || sentAt < m_coldSince)
        return std::nullopt;
    if (isCold()) {
        --m_responsesLeft;
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
    m_responsesLeft = 0;
}

} // namespace endivedock
