#pragma once

#include "endivedock/balancing/registered_target.h"
#include "endivedock/placement/messages.h"

#include <cstdint>
#include <variant>

// What a service balancer decides.

namespace endivedock {

/** The target chosen for a request. */
struct TargetChoice
{
    GrantId grant;
    RegisteredTarget target;
    /** Upper bound on this host's connections to the target. */
    Connections connections{1};
    bool isCold = false;
    /**
     * For the log: requests in flight at the target before this one, as far as known to this host.
     */
    Slots inFlight{0};
    /** For the log: expected time until the response. */
    Milliseconds expectedTime{0};
    /** For the log: age of the target's last slowdown report. */
    Milliseconds slowdownAge{0};
    /** See Placement::hedgeAfter. */
    Milliseconds hedgeAfter{0};
};

/** The outcome of a request that waited in the queue. */
struct PlacementDecision
{
    PlacementRequest request;
    std::variant<TargetChoice, Refusal, OtherZone> outcome;
};

/** A probe that is to be sent now, to request the health and load of a target. */
struct DueProbe
{
    TargetId id;
    Address address;
};

/** Counters for metrics; they never decrease. */
struct BalancerCounters
{
    /** Grants that this host decided or accepted. */
    std::uint64_t chosen = 0;
    /** Grants to cold targets that this host decided. */
    std::uint64_t coldGrants = 0;
    /** Refusals, except those of quarantined requests. */
    std::uint64_t refusals = 0;
    /** Retries that the retry budget allowed. */
    std::uint64_t retries = 0;
    /** Hedges that this host granted. */
    std::uint64_t hedges = 0;
    std::uint64_t probes = 0;
    /** Requests that this host, as the placing host of a zone, passed on to another zone. */
    std::uint64_t spilled = 0;
    /** Grants of this host to requests that other zones passed on. */
    std::uint64_t takenIn = 0;
};

} // namespace endivedock
