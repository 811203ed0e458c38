#pragma once

#include "endivedock/core.h"
#include "endivedock/freshness/boot_clock.h"
#include "endivedock/routes.h"

#include <optional>
#include <vector>

namespace endivedock {

/** The newest configuration that existed at a moment. */
struct FreshnessEvidence
{
    /** Version of the configuration; no newer one had been acknowledged by asOf. */
    ConfigurationVersion configuration;
    BootTime asOf;
};

/**
 * Returns the moment as of which an answer of the store shows the newest state. A store evaluates a
 * call at some time between its sending and its answer, so only the sending is certain; a watch
 * without changes was evaluated at the end of its wait.
 *
 * @param wait  how long the store was to wait for changes if there were none; 0 for other calls,
 *              and for a watch that returned changes
 */
BootTime storeAnswerAsOf(BootTime sentAt, Milliseconds wait, BootTime receivedAt);

/** How the freshness of a host's configuration has changed. */
enum class FreshnessChange { None, BecameStale, BecameFresh };

/**
 * Decides whether a host may still accept the keys in its configuration. A key must not be accepted
 * once a configuration that withdraws it has been acknowledged for longer than a bound. So a host
 * that does not know for a time close to the bound that its configuration is the newest one
 * refuses. Evidence counts only from when the host has applied the configuration that the evidence
 * names, or a later one.
 */
class ConfigurationFreshness
{
public:
    /** @param withdrawalBound  absent if keys may be accepted however old the configuration is */
    explicit ConfigurationFreshness(std::optional<Milliseconds> withdrawalBound);

    /** @return whether withdrawals are bounded, so that the other functions have an effect */
    bool isBounded() const { return m_staleAge.has_value(); }
    void recordEvidence(const FreshnessEvidence &evidence);
    /** @param configuration  version of the configuration in force on this host; 0 for none */
    void setAppliedConfiguration(ConfigurationVersion configuration);

    ConfigurationVersion appliedConfiguration() const { return m_applied; }
    /** @return the age of the evidence, rounded up; nothing if there is none */
    std::optional<Milliseconds> age(BootTime now) const;
    /** @return whether keys must be refused */
    bool isStale(BootTime now) const;
    /** @return what has changed since the last call; a host starts stale */
    FreshnessChange update(BootTime now);
    /** @return age from which on keys are refused; only if isBounded() */
    Milliseconds staleAge() const { return *m_staleAge; }

    /**
     * Part of the bound after which keys are refused. The rest covers the rounding of ages and
     * clocks that run at rates up to a few percent apart.
     */
    static constexpr double staleFraction = 0.9;
    /** Number of configurations named by evidence that may be known before they are applied. */
    static constexpr std::size_t maxPending = 8;

private:
    /** Takes over the pending evidence that the applied configuration confirms. */
    void confirmPending();

    std::optional<Milliseconds> m_staleAge;
    ConfigurationVersion m_applied;
    std::optional<BootTime> m_freshAsOf;
    /** Evidence that names later configurations than the applied one, sorted by these. */
    std::vector<FreshnessEvidence> m_pending;
    bool m_wasStale = true;
};

} // namespace endivedock
