#pragma once

#include "endivedock/core.h"

namespace endivedock {

/** Limits that all hosts keep together, and this host's assumptions about targets. */
struct BalancingSettings
{
    /** Zone of this host. */
    ZoneId zone;
    /**
     * Upper bound on retries as a fraction of first attempts. A new placing host starts with empty
     * counts.
     */
    Share retryBudgetRatio{0.1};
    /** Retries per budget window that one placing host may grant beyond the ratio. */
    double extraRetries = 24;
    /** Retries per budget window beyond the ratio, for all hosts together in fallback mode. */
    double fallbackExtraRetries = 16;
    /** Fraction of a cold target's warm-up rate that the placing host assigns. */
    Share coldRateShare{0.6};
    /** Fraction of a cold target's warm-up rate that all hosts assign in fallback mode. */
    Share fallbackColdRateShare{0.35};
    /**
     * A new request is refused if its expected finish lies beyond this fraction of its remaining
     * time, since its response would most likely miss the deadline.
     */
    Share deadlineShare{0.8};
    /**
     * Time constant with which a reported slowdown decays: about the duration of a load burst that
     * another process causes on the target's machine.
     */
    Milliseconds slowdownDecayTime{300};
    /** Fraction of a target's slots that is used; a target slows down when it is nearly full. */
    Share usableSlotShare{0.8};
    /** Approximate slowdown of a request on a target that is filled beyond usableSlotShare. */
    double overfilledSlowdown = 1.6;
    /** Cost of sending a request to another zone, as time: two transfers of about 1 ms each. */
    Microseconds crossZonePenalty{2000};
    /** Added cost per KB sent to another zone, since platforms charge for this traffic. */
    Microseconds crossZonePenaltyPerKb{400};
    /**
     * Cost of a new connection as a fraction of the base service time. Targets accept a limited
     * number of connections, and each handshake occupies a slot.
     */
    double connectPenaltyRatio = 0.2;
    /** The load that other hosts reported is used up to this age. */
    Milliseconds maxAggregatedLoadAge{1000};
    /**
     * A target counts as unresponsive if it has a request in flight and has sent no response for
     * longer than this time.
     */
    Milliseconds unresponsiveTimeout{400};
    /** Backoff after a failed connection; doubles with each failure up to maxConnectBackoff. */
    Milliseconds initialConnectBackoff{250};
    Milliseconds maxConnectBackoff{2000};
    /** Interval between health probes of an unreachable target. */
    Milliseconds probeInterval{250};
    /** The placing host probes a target if its load report is older than this. */
    Milliseconds maxLoadReportAge{70};
    /** Upper bound on load probes that one placing host sends to the targets of one service. */
    PerSecond loadProbeRate{800};
    Milliseconds connectTimeout{200};
};

} // namespace endivedock
