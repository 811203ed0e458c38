#pragma once

#include "endivedock/core.h"

namespace endivedock {

/**
 * Limits that all hosts together must observe, and this host's assumptions about targets. The
 * placing host of a service is the host that selects the targets for the requests of all hosts; in
 * fallback mode, a host selects the targets for its own requests (see ServiceBalancer). A target is
 * cold while it warms up after its start.
 */
struct BalancingSettings
{
    /** Zone of this host. */
    ZoneId zone;
    /**
     * Upper bound on retries as a fraction of first attempts. A new placing host starts to count at
     * zero, since it does not know the attempts that its predecessor granted.
     */
    Share retryBudgetRatio{0.1};
    /** Retries per window of RetryBudget that one placing host may grant beyond the ratio. */
    double extraRetries = 24;
    /**
     * Retries per window of RetryBudget beyond the ratio that all hosts in fallback mode may grant
     * together; each host may grant an equal part.
     */
    double fallbackExtraRetries = 16;
    /**
     * Upper bound on hedges, as a fraction of first attempts; they count as retries besides. Zero
     * for none.
     */
    Share hedgingShare{0};
    /**
     * Fraction of ServiceRules::warmupRate at which the placing host sends requests to a cold
     * target.
     */
    Share coldRateShare{0.6};
    /**
     * Fraction of ServiceRules::warmupRate at which all hosts in fallback mode together send
     * requests to a cold target.
     */
    Share fallbackColdRateShare{0.35};
    /**
     * A new request is refused if its expected time until the response exceeds this fraction of its
     * remaining time, since its response would most likely miss the deadline.
     */
    Share deadlineShare{0.8};
    /**
     * Time constant with which the effect of a reported slowdown decays: about the duration of a
     * load burst that another process causes on the target's machine.
     */
    Milliseconds slowdownDecayTime{300};
    /**
     * Fraction of a target's slots that the placing host fills, since a target slows down when it
     * is nearly full.
     */
    Share usableSlotShare{0.8};
    /**
     * Approximate factor by which a request takes longer on a target that is filled beyond
     * usableSlotShare.
     */
    double overfilledSlowdown = 1.6;
    /** Penalty for choosing a target in another zone, as time: two transfers of about 1 ms each. */
    Microseconds crossZonePenalty{2000};
    /** Additional penalty per KB sent to another zone, since platforms charge for this traffic. */
    Microseconds crossZonePenaltyPerKb{400};
    /**
     * Penalty for opening a new connection, as a fraction of the base service time. Targets accept
     * a limited number of connections, and each handshake occupies a slot.
     */
    double connectPenaltyRatio = 0.2;
    /** Reports of the requests in flight of other hosts are ignored if they are older than this. */
    Milliseconds maxAggregatedLoadAge{1000};
    /**
     * A target counts as unresponsive if it has a request in flight and has sent no response for
     * longer than this time.
     */
    Milliseconds unresponsiveTimeout{400};
    /** Backoff after a failed connection; doubles with each failure up to maxConnectBackoff. */
    Milliseconds initialConnectBackoff{250};
    Milliseconds maxConnectBackoff{2000};
    /**
     * Interval between health probes of an unreachable target; four times this for a cold target.
     */
    Milliseconds probeInterval{250};
    /** The placing host probes a target whose last report of its slowdown is older than this. */
    Milliseconds maxSlowdownReportAge{70};
    /** Upper bound on load probes that one placing host sends to the targets of one service. */
    PerSecond loadProbeRate{800};
    Milliseconds connectTimeout{200};
};

} // namespace endivedock
