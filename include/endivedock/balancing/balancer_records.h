#pragma once

#include "endivedock/balancing/target_state.h"
#include "endivedock/placement/messages.h"

#include <optional>
#include <vector>

// What a service balancer keeps of grants and waiting requests, and what it weighs for a choice.

namespace endivedock::balancing_detail {

/**
 * A placement in flight: an attempt for which a target was selected, until the attempt has
 * ended.
 */
struct Grant
{
    AttemptId attempt;
    /** The host that selected the target. */
    HostId placedBy;
    /** The host that sends the request. */
    HostId sentBy;
    TargetId target;
    /** The target's process when it was selected. */
    TargetProcess process;
    std::int16_t route = -1;
    RequestClass requestClass;
    Fingerprint fingerprint;
    /** Whether the target already had all of its usable slots in use. */
    bool isOverfilled = false;
    bool isCold = false;
    bool isHedge = false;
    /** See Placement::hedgeAfter. */
    Milliseconds hedgeAfter{0};
    /** Slowdown that the target had last reported when it was selected. */
    double slowdown = 1;
    ZoneId zone;
    TimePoint grantedAt{};
    TimePoint expiresAt{};
};

/** A target that could receive the request. */
struct Candidate
{
    TargetState *target = nullptr;
    /** Expected time until the response plus all penalties, in microseconds. */
    double expectedTime = 0;
    int inFlight = 0;
    /** Fraction of the slots in use; above 1 if requests wait at the target. */
    double utilization = 0;
    /**
     * Whether the target is in the requesting host's zone, or is treated as such because it is
     * new and has not been used yet.
     */
    bool isZoneLocal = false;
};

/** What a request costs in addition at some targets, as time in microseconds. */
struct Penalties
{
    double otherZone = 0;
    double newConnection = 0;
};

/** The result of evaluating all targets for one request. */
struct Evaluation
{
    std::vector<Candidate> candidates;
    /** Requests per microsecond that all warm eligible targets can finish together. */
    double completionRate = 0;
    /**
     * Shortest expected service time of the warm eligible targets, in microseconds; 0 if none.
     */
    double minServiceTime = 0;
    /**
     * Whether any target is eligible, available and, where that is required, healthy; free
     * capacity is not required.
     */
    bool hasEligible = false;
    /** Whether one of these targets has not been tried for the request. */
    bool hasUntried = false;
    /** Whether a target is closed to the requesting host. */
    bool hasClosed = false;
};

struct WaitingRequest
{
    PlacementRequest request;
    TimePoint arrivedAt;
};

/** Whether a request is sent, waits, or is refused. */
struct Decision
{
    std::optional<Candidate> chosen;
    /** Whether the request waits if no target is chosen. */
    bool shouldWait = false;
    /** Reason of the refusal if the request is neither sent nor waits. */
    RefusalReason reason = RefusalReason::NoTarget;
    /** Whether no target was usable, so that @p chosen may be any target of any zone. */
    bool isLastResort = false;
};

} // namespace endivedock::balancing_detail
