#include "endivedock/balancing/target_state.h"

#include <algorithm>
#include <cmath>

namespace endivedock {

namespace {

/** Doublings of the absence that are counted; more would exceed the longest anyway. */
constexpr int mostDoublings = 6;

} // namespace

void TargetState::update(const RegisteredTarget &registered, TimePoint now)
{
    const bool reborn = registered.startedAt != m_registered.startedAt ||
                        registered.address != m_registered.address;
    m_registered = registered;
    if (registered.remainingWarmup.count() > 0)
        markCold(now + registered.remainingWarmup);
    if (!reborn)
        return;
    // A new life holds nothing of what was in flight, and knows nothing of its past failures.
    m_slowdown = {};
    m_everUsed = false;
    m_health = TargetHealth(balancerHealthSettings());
    verified();
}

void TargetState::sent(GrantId grant, TimePoint now)
{
    m_inFlight.emplace(grant, now);
    m_everUsed = true;
}

std::optional<TimePoint> TargetState::ended(GrantId grant)
{
    const auto found = m_inFlight.find(grant);
    if (found == m_inFlight.end())
        return std::nullopt;
    const TimePoint startedAt = found->second;
    m_inFlight.erase(found);
    return startedAt;
}

Slots TargetState::inFlight(TimePoint now, const BalancingSettings &settings) const
{
    return now - m_othersAt <= settings.pictureAge ? own() + m_others : own();
}

bool TargetState::silent(TimePoint now, Duration patience) const
{
    if (m_inFlight.empty())
        return false;
    TimePoint oldest = TimePoint::max();
    for (const auto &[grant, startedAt] : m_inFlight)
        oldest = std::min(oldest, startedAt);
    return now - std::max(oldest, m_lastAnswer) > patience;
}

void TargetState::noteOthers(Slots inFlight, TimePoint now)
{
    m_others = inFlight;
    m_othersAt = now;
}

void TargetState::noteSlowdown(const SlowdownReport &report)
{
    if (report.at >= m_slowdown.at)
        m_slowdown = report;
}

double TargetState::expectedSlowdown(TimePoint now, double usual, Milliseconds burst) const
{
    if (m_slowdown.at == TimePoint{})
        return usual;
    const std::chrono::duration<double> age = now - m_slowdown.at;
    const double kept = std::exp(-age / std::chrono::duration<double>(burst));
    return m_slowdown.slowdown * kept + usual * (1 - kept);
}

void TargetState::connectionFailed(TimePoint now, const BalancingSettings &settings)
{
    const auto absence = settings.firstAbsence * (1 << std::min(m_failures, mostDoublings));
    ++m_failures;
    m_absentUntil = now + std::min<Milliseconds>(absence, settings.longestAbsence);
    m_unverified = true;
}

bool TargetState::tryStartProbe(TimePoint now, Milliseconds interval)
{
    if (now < m_nextProbe)
        return false;
    m_nextProbe = now + interval;
    return true;
}

} // namespace endivedock
