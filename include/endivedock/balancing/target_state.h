#pragma once

#include "endivedock/balancing/balancing_settings.h"
#include "endivedock/balancing/registered_target.h"
#include "endivedock/placement/messages.h"
#include "endivedock/selection.h"

#include <limits>
#include <map>
#include <optional>

namespace endivedock {

/**
 * When a target is left out for its failures. Slow ones are not left out: how long their work takes
 * is known, and counts in each choice.
 */
inline HealthSettings balancerHealthSettings()
{
    HealthSettings settings;
    settings.smoothingFactor = 0.15;
    settings.slowFactor = std::numeric_limits<double>::infinity();
    settings.failureShareMargin = Share(0.35);
    settings.baseEjectionTime = Milliseconds(700);
    settings.maxEjectionTime = Milliseconds(5000);
    return settings;
}

/** A slowdown that a target reported, and when. */
struct SlowdownReport
{
    double slowdown = 1;
    TimePoint at{};
};

/** One target as this host knows it. */
class TargetState
{
public:
    explicit TargetState(RegisteredTarget registered)
        : m_registered(std::move(registered))
    {
    }

    const RegisteredTarget &registered() const { return m_registered; }
    /** Takes a newer entry of the same target. */
    void update(const RegisteredTarget &registered, TimePoint now);

    // Requests that this host sends, or has placed for others.
    void sent(GrantId grant, TimePoint now);
    /** @return when the request was sent; nothing if the grant is unknown */
    std::optional<TimePoint> ended(GrantId grant);
    void recordResponse(TimePoint now) { m_lastAnswer = now; }
    /** Whether this host has ever sent it a request, or placed one there, in its present life. */
    bool everUsed() const { return m_everUsed; }
    Slots own() const { return Slots(static_cast<int>(m_inFlight.size())); }
    /** @return requests of all hosts, as far as known */
    Slots inFlight(TimePoint now, const BalancingSettings &settings) const;
    /** Whether requests of this host have waited suspiciously long without any answer. */
    bool silent(TimePoint now, Duration patience) const;

    // What other hosts and the target tell.
    void noteOthers(Slots inFlight, TimePoint now);
    void noteSlowdown(const SlowdownReport &report);
    const SlowdownReport &slowdown() const { return m_slowdown; }
    /** @return the slowdown to expect now: the last report fades into @p usual */
    double expectedSlowdown(TimePoint now, double usual, Milliseconds burst) const;

    // Coldness.
    bool isCold(TimePoint now) const { return now < m_coldUntil; }
    void markCold(TimePoint until) { m_coldUntil = std::max(m_coldUntil, until); }
    void warmAt(TimePoint when) { m_coldUntil = when; }
    /** Whether a cold target may get a request now; see spendCold(). */
    bool coldAllowance(TimePoint now) const { return now >= m_nextCold; }
    void spendCold(TimePoint now, Duration interval) { m_nextCold = now + interval; }
    /** Sets the first time at which a target that has turned cold may get a request. */
    void openCold(TimePoint first) { m_nextCold = std::max(m_nextCold, first); }

    // Absence after a failed connection.
    bool absent(TimePoint now) const { return now < m_absentUntil || m_unverified; }
    bool unverified() const { return m_unverified; }
    void connectionFailed(TimePoint now, const BalancingSettings &settings);
    void verified()
    {
        m_unverified = false;
        m_failures = 0;
        m_absentUntil = TimePoint{};
    }
    bool tryStartProbe(TimePoint now, Milliseconds interval);

    TargetHealth &health() { return m_health; }
    const TargetHealth &health() const { return m_health; }

private:
    RegisteredTarget m_registered;
    std::map<GrantId, TimePoint> m_inFlight;
    Slots m_others{0};
    TimePoint m_othersAt{};
    SlowdownReport m_slowdown;
    TimePoint m_lastAnswer{};
    TimePoint m_coldUntil{};
    TimePoint m_nextCold{};
    TimePoint m_absentUntil{};
    TimePoint m_nextProbe{};
    int m_failures = 0;
    bool m_unverified = false;
    bool m_everUsed = false;
    TargetHealth m_health{balancerHealthSettings()};
};

} // namespace endivedock
