#include "endivedock/selection/target_health.h"

#include <algorithm>

namespace endivedock {

namespace {

/** Doublings of the ejection time that are counted; more would overflow. */
constexpr int mostRelapses = 10;

Microseconds smooth(Microseconds old, Microseconds sample, double weight)
{
    if (old.count() == 0)
        return sample;
    const double mixed = static_cast<double>(old.count()) * (1 - weight) +
                         static_cast<double>(sample.count()) * weight;
    return Microseconds(static_cast<std::int64_t>(mixed));
}

} // namespace

HealthState TargetHealth::state(TimePoint now) const
{
    if (now < m_ejectedUntil)
        return HealthState::Ejected;
    return m_probationLeft > 0 ? HealthState::Probation : HealthState::Healthy;
}

bool TargetHealth::isSlow(Microseconds time, const ServiceBaseline &baseline) const
{
    if (baseline.medianTime.count() == 0)
        return false;
    const double factor =
            static_cast<double>(time.count()) / static_cast<double>(baseline.medianTime.count());
    return factor > m_settings.slowFactor && time > baseline.medianTime + m_settings.slowMargin;
}

bool TargetHealth::looksBad(Microseconds time, bool failed, const ServiceBaseline &baseline) const
{
    if (m_probationLeft > 0)
        return failed || isSlow(time, baseline);
    if (m_failed > baseline.failed.value() + m_settings.failureShareMargin.value())
        return true;
    return m_answers >= m_settings.minResponses && isSlow(m_meanTime, baseline);
}

bool TargetHealth::recordResponse(TimePoint now, Microseconds time, bool failed,
                                  const ServiceBaseline &baseline)
{
    ++m_answers;
    m_failed =
            m_failed * (1 - m_settings.smoothingFactor) + (failed ? m_settings.smoothingFactor : 0);
    // A fast failure says nothing of how long work takes.
    if (!failed)
        m_meanTime = smooth(m_meanTime, time, m_settings.smoothingFactor);
    if (now < m_ejectedUntil)
        return false;
    if (looksBad(time, failed, baseline)) {
        eject(now);
        return true;
    }
    if (m_probationLeft > 0 && --m_probationLeft == 0)
        restore();
    return false;
}

void TargetHealth::eject(TimePoint now)
{
    const auto time = m_settings.baseEjectionTime * (1 << std::min(m_relapses, mostRelapses));
    m_ejectedUntil = now + std::min<Milliseconds>(time, m_settings.maxEjectionTime);
    m_relapses = std::min(m_relapses + 1, mostRelapses);
    m_probationLeft = m_settings.probationResponses;
    m_answers = 0;
    m_failed = 0;
}

void TargetHealth::restore()
{
    m_relapses = 0;
    m_meanTime = Microseconds(0);
    m_answers = 0;
}

} // namespace endivedock
