#include "endivedock/balancing/target_state.h"

#include <algorithm>
#include <cmath>

namespace endivedock {

namespace {

/** Upper bound on doublings of the backoff; more would exceed maxConnectBackoff anyway. */
constexpr int maxBackoffDoublings = 6;

} // namespace

bool TargetState::isReplacedBy(const RegisteredTarget &registered) const
{
    return registered.startedAt != m_registered.startedAt ||
           registered.address != m_registered.address;
}

void TargetState::update(const RegisteredTarget &registered, TimePoint now)
{
    const bool isRestarted = isReplacedBy(registered);
    m_registered = registered;
    m_addressHash = hashAddress(m_registered.address);
    if (registered.remainingWarmup.count() > 0)
        markCold(now + registered.remainingWarmup);
    if (!isRestarted)
        return;
    // The new process holds none of the requests in flight, which stay recorded until their
    // attempts end, and is not responsible for past failures.
    m_slowdown = {};
    m_hasBeenUsed = false;
    m_pause = {};
    m_health = TargetHealth(balancerHealthSettings());
    markReachable();
}

void TargetState::addInFlight(GrantId grant, TimePoint now, Duration timeout, bool isSentHere)
{
    m_shortestTimeout = m_inFlight.empty() ? timeout : std::min(m_shortestTimeout, timeout);
    const bool isNew = m_inFlight.emplace(grant, InFlight{now, timeout, isSentHere}).second;
    if (isNew && isSentHere)
        m_sentInFlight += Slots(1);
    m_hasBeenUsed = true;
}

std::optional<TimePoint> TargetState::removeInFlight(GrantId grant)
{
    const auto found = m_inFlight.find(grant);
    if (found == m_inFlight.end())
        return std::nullopt;
    const TimePoint placedAt = found->second.placedAt;
    if (found->second.isSentHere)
        m_sentInFlight = m_sentInFlight - Slots(1);
    m_inFlight.erase(found);
    return placedAt;
}

Slots TargetState::inFlight(TimePoint now, const BalancingSettings &settings) const
{
    return now - m_othersUpdatedAt <= settings.maxAggregatedLoadAge
                   ? ownInFlight() + m_inFlightOfOthers
                   : ownInFlight();
}

bool TargetState::isUnresponsive(TimePoint now) const
{
    if (m_inFlight.empty() || now - m_lastResponseAt <= m_shortestTimeout)
        return false;
    return std::any_of(m_inFlight.begin(), m_inFlight.end(), [&](const auto &item) {
        const InFlight &request = item.second;
        return now - std::max(request.placedAt, m_lastResponseAt) > request.timeout;
    });
}

void TargetState::setInFlightOfOthers(Slots inFlight, TimePoint now)
{
    m_inFlightOfOthers = inFlight;
    m_othersUpdatedAt = now;
}

void TargetState::recordSlowdown(const SlowdownReport &report)
{
    if (report.at >= m_slowdown.at)
        m_slowdown = report;
}

double TargetState::expectedSlowdown(TimePoint now, double meanSlowdown,
                                     Milliseconds slowdownDecayTime) const
{
    if (m_slowdown.at == TimePoint{})
        return meanSlowdown;
    const std::chrono::duration<double> age = now - m_slowdown.at;
    const double reportWeight = std::exp(-age / std::chrono::duration<double>(slowdownDecayTime));
    return m_slowdown.slowdown * reportWeight + meanSlowdown * (1 - reportWeight);
}

void TargetState::recordConnectFailure(TimePoint now, const BalancingSettings &settings)
{
    const auto backoff = settings.initialConnectBackoff *
                         (1 << std::min(m_connectFailures, maxBackoffDoublings));
    ++m_connectFailures;
    m_backoffUntil = now + std::min<Milliseconds>(backoff, settings.maxConnectBackoff);
    m_isUnreachable = true;
}

bool TargetState::tryStartProbe(TimePoint now, Milliseconds interval)
{
    if (now < m_nextProbeAt)
        return false;
    m_nextProbeAt = now + interval;
    return true;
}

} // namespace endivedock
