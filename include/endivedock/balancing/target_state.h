#pragma once

#include "endivedock/balancing/balancing_settings.h"
#include "endivedock/balancing/registered_target.h"
#include "endivedock/placement/messages.h"
#include "endivedock/selection.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

namespace endivedock {

/**
 * @return the settings by which targets are ejected for failures. Slow targets are never ejected,
 *         since each choice already accounts for their expected service time.
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

/** A slowdown that a target reported, and the time of the report. */
struct SlowdownReport
{
    /** Factor by which requests currently take longer than normal; 1 is normal. */
    double slowdown = 1;
    TimePoint at{};
};

/** What this host knows of one target: load, warm-up, reachability and health. Not thread-safe. */
class TargetState
{
public:
    explicit TargetState(RegisteredTarget registered)
        : m_registered(std::move(registered))
        , m_addressHash(hashAddress(m_registered.address))
    {
    }

    const RegisteredTarget &registered() const { return m_registered; }
    AddressHash addressHash() const { return m_addressHash; }
    /** @return whether the entry is that of another process, which has taken the target's id */
    bool isReplacedBy(const RegisteredTarget &registered) const;
    /**
     * Replaces the registered entry by a newer one of the same target. Resets the state that
     * belongs to the previous process if the target was restarted.
     */
    void update(const RegisteredTarget &registered, TimePoint now);

    /** @return whether the target is draining, by its entry or by a response that it has sent */
    bool isDraining() const { return m_registered.isDraining || m_hasStatedDraining; }
    /** @param hasStated  whether the process has stated in a response that it is draining */
    void setStatedDraining(bool hasStated) { m_hasStatedDraining = hasStated; }

    // Requests that this host has sent, or has placed for other hosts.
    /**
     * @param timeout     time without a response after which the target counts as unresponsive
     * @param isSentHere  whether this host sends the request
     */
    void addInFlight(GrantId grant, TimePoint now, Duration timeout, bool isSentHere);
    /** @return when the request was placed; nothing if the grant is unknown */
    std::optional<TimePoint> removeInFlight(GrantId grant);
    void recordResponse(TimePoint now) { m_lastResponseAt = now; }
    /**
     * @return whether this host has sent a request to the target, or placed one there, since the
     *         target started
     */
    bool hasBeenUsed() const { return m_hasBeenUsed; }
    /** @return requests in flight that this host has sent or placed */
    Slots ownInFlight() const { return Slots(static_cast<int>(m_inFlight.size())); }
    /** @return requests in flight of all hosts, as far as known to this host */
    Slots inFlight(TimePoint now, const BalancingSettings &settings) const;
    /** Requests in flight that this host has placed, for itself or for other hosts. */
    int placedInFlight() const { return m_placedInFlight; }
    void setPlacedInFlight(int count) { m_placedInFlight = count; }
    /**
     * @return whether the target has sent no response for longer than the timeout of a request that
     *         was in flight all the while
     */
    bool isUnresponsive(TimePoint now) const;

    // Pauses that the target has asked of this host.
    TargetPause &pause() { return m_pause; }
    const TargetPause &pause() const { return m_pause; }
    /** @return whether this host must not send a further request to the target now */
    bool isClosed(TimePoint now) const { return m_pause.isClosed(now, m_sentInFlight); }

    // Load that other hosts and the target reported.
    void setInFlightOfOthers(Slots inFlight, TimePoint now);
    void recordSlowdown(const SlowdownReport &report);
    const SlowdownReport &slowdown() const { return m_slowdown; }
    /** @return when the target last sent a response or a load report, to any host */
    TimePoint lastSeenAt() const { return std::max(m_lastResponseAt, m_slowdown.at); }
    /**
     * @return the slowdown to expect now: the last report, which decays towards @p meanSlowdown
     * @param slowdownDecayTime  time constant of the exponential decay
     */
    double expectedSlowdown(TimePoint now, double meanSlowdown,
                            Milliseconds slowdownDecayTime) const;

    // Warm-up.
    bool isCold(TimePoint now) const { return now < m_coldUntil; }
    /** Marks the target cold until @p until, or for longer if it was marked so before. */
    void markCold(TimePoint until) { m_coldUntil = std::max(m_coldUntil, until); }
    /** Marks the target cold until exactly @p until, even if it was marked cold for longer. */
    void setColdUntil(TimePoint until) { m_coldUntil = until; }
    /** @return whether a cold target may receive a request now; see consumeColdAllowance() */
    bool hasColdAllowance(TimePoint now) const { return now >= m_nextColdRequestAt; }
    /** Blocks further requests to the cold target until @p interval has passed. */
    void consumeColdAllowance(TimePoint now, Duration interval)
    {
        m_nextColdRequestAt = now + interval;
    }
    /** Blocks requests to a target that has turned cold until @p first. */
    void delayColdAllowance(TimePoint first)
    {
        m_nextColdRequestAt = std::max(m_nextColdRequestAt, first);
    }

    // Reachability after a failed connection.
    /**
     * @return whether the target must receive no request, since its backoff has not passed or no
     *         probe has succeeded since the last failed connection
     */
    bool isUnavailable(TimePoint now) const { return now < m_backoffUntil || m_isUnreachable; }
    /** @return whether a connection has failed and no probe has reached the target since */
    bool isUnreachable() const { return m_isUnreachable; }
    /** Marks the target unreachable and starts the backoff. */
    void recordConnectFailure(TimePoint now, const BalancingSettings &settings);
    void markReachable()
    {
        m_isUnreachable = false;
        m_connectFailures = 0;
        m_backoffUntil = TimePoint{};
    }
    /** @return whether a probe is due; if so, the next probe is due after @p interval */
    bool tryStartProbe(TimePoint now, Milliseconds interval);

    TargetHealth &health() { return m_health; }
    const TargetHealth &health() const { return m_health; }

private:
    RegisteredTarget m_registered;
    AddressHash m_addressHash;
    struct InFlight
    {
        TimePoint placedAt;
        Duration timeout;
        bool isSentHere;
    };
    std::map<GrantId, InFlight> m_inFlight;
    /** No timeout in m_inFlight is shorter. */
    Duration m_shortestTimeout{};
    int m_placedInFlight = 0;
    /** Requests in flight that this host sends. */
    Slots m_sentInFlight{0};
    TargetPause m_pause;
    Slots m_inFlightOfOthers{0};
    TimePoint m_othersUpdatedAt{};
    SlowdownReport m_slowdown;
    TimePoint m_lastResponseAt{};
    TimePoint m_coldUntil{};
    TimePoint m_nextColdRequestAt{};
    TimePoint m_backoffUntil{};
    TimePoint m_nextProbeAt{};
    int m_connectFailures = 0;
    bool m_isUnreachable = false;
    bool m_hasBeenUsed = false;
    bool m_hasStatedDraining = false;
    TargetHealth m_health{balancerHealthSettings()};
};

} // namespace endivedock
