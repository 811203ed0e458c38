#include "endivedock/selection/target_health.h"

#include <algorithm>

namespace endivedock {

namespace {

/** Upper bound on doublings of the ejection time; more would overflow the shift. */
constexpr int maxEjectionDoublings = 10;

Microseconds smooth(Microseconds previous, Microseconds sample, double weight)
{
    if (previous.count() == 0)
        return sample;
    const double mixed = static_cast<double>(previous.count()) * (1 - weight) +
                         static_cast<double>(sample.count()) * weight;
    return Microseconds(static_cast<std::int64_t>(mixed));
}

} // namespace

HealthState TargetHealth::state(TimePoint now) const
{
    if (now < m_ejectedUntil)
        return HealthState::Ejected;
    return m_probationResponsesLeft > 0 ? HealthState::Probation : HealthState::Healthy;
}

bool TargetHealth::isSlow(Microseconds time, const ServiceBaseline &baseline) const
{
    if (baseline.medianTime.count() == 0)
        return false;
    const double factor =
            static_cast<double>(time.count()) / static_cast<double>(baseline.medianTime.count());
    return factor > m_settings.slowFactor && time > baseline.medianTime + m_settings.slowMargin;
}

bool TargetHealth::shouldEject(Microseconds time, bool failed,
                               const ServiceBaseline &baseline) const
{
    if (m_probationResponsesLeft > 0)
        return failed || isSlow(time, baseline);
    if (m_failedShare > baseline.failed.value() + m_settings.failureShareMargin.value())
        return true;
    return m_responses >= m_settings.minResponses && isSlow(m_meanTime, baseline);
}

bool TargetHealth::recordResponse(TimePoint now, Microseconds time, bool failed,
                                  const ServiceBaseline &baseline)
{
    ++m_responses;
    m_failedShare = m_failedShare * (1 - m_settings.smoothingFactor) +
                    (failed ? m_settings.smoothingFactor : 0);
    // The time of a failed response says nothing about the service time.
    if (!failed)
        m_meanTime = smooth(m_meanTime, time, m_settings.smoothingFactor);
    if (now < m_ejectedUntil)
        return false;
    if (shouldEject(time, failed, baseline)) {
        eject(now);
        return true;
    }
    if (m_probationResponsesLeft > 0 && --m_probationResponsesLeft == 0)
        endProbation();
    return false;
}

void TargetHealth::recordMinimumTime(Microseconds time)
{
    m_meanTime = std::max(m_meanTime, smooth(m_meanTime, time, m_settings.smoothingFactor));
}

void TargetHealth::eject(TimePoint now)
{
    const auto time = m_settings.baseEjectionTime *
                      (1 << std::min(m_ejectionsInSequence, maxEjectionDoublings));
    m_ejectedUntil = now + std::min<Milliseconds>(time, m_settings.maxEjectionTime);
    m_ejectionsInSequence = std::min(m_ejectionsInSequence + 1, maxEjectionDoublings);
    m_probationResponsesLeft = m_settings.probationResponses;
    m_responses = 0;
    m_failedShare = 0;
}

void TargetHealth::endProbation()
{
    m_ejectionsInSequence = 0;
    m_meanTime = Microseconds(0);
    m_responses = 0;
}

} // namespace endivedock
