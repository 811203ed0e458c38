#pragma once

#include "endivedock/core.h"
#include "endivedock/placement/messages.h"
#include "endivedock/rollout/rollout_controller.h"

#include <optional>
#include <vector>

namespace endivedock {

/** A host as recorded in a view. */
struct ViewMember
{
    HostId id;
    RegionId region;
    ZoneId zone;
    Address address;
    /** Incarnation when the view was made; a host loses its grants and records in a restart. */
    Incarnation incarnation;
};

/** The hosts that share the shards. Views are replaced by compare-and-swap in the store. */
struct View
{
    ViewNumber number;
    std::vector<ViewMember> members;
    /** Number and members of the view that this view replaced; 0 and empty for the first view. */
    ViewNumber previousNumber;
    std::vector<ViewMember> previous;
};

/** Requests that a replica grants or renews leases. */
struct LeaseRequest
{
    ViewNumber view;
    /**
     * When the request was sent, as ticks of TimePoint on the sender's monotonic clock. The answer
     * returns the value unchanged.
     */
    std::int64_t sentAt = 0;
    std::vector<ShardId> shards;
};

/** Answer to a LeaseRequest: the shards whose leases were granted. */
struct LeaseAnswer
{
    ViewNumber view;
    std::int64_t sentAt = 0;
    std::vector<ShardId> granted;
};

/** Sent by a holder that gives up leases before they expire. */
struct LeaseRelease
{
    std::vector<ShardId> shards;
};

/** State of a service that its placing host replicates, so that the next placing host has it. */
struct HolderSnapshot
{
    ServiceId service;
    std::vector<WarmTarget> warmTargets;
    std::optional<RolloutProgress> rollout;

    bool operator==(const HolderSnapshot &) const = default;
};

} // namespace endivedock
