#pragma once

#include "endivedock/core.h"
#include "endivedock/placement/messages.h"
#include "endivedock/rollout/rollout_controller.h"

#include <optional>
#include <vector>

namespace endivedock {

/** An entry host as a view knows it. */
struct ViewMember
{
    HostId id;
    RegionId region;
    ZoneId zone;
    Address address;
    /** Its life when the view was made; a restarted host has lost what it held. */
    Incarnation incarnation;
};

/** The entry hosts that share the shards, as agreed by compare-and-swap in the store. */
struct View
{
    ViewNumber number;
    std::vector<ViewMember> members;
    ViewNumber previousNumber;
    std::vector<ViewMember> previous;
};

/** Asks a replica to grant or renew leases. */
struct LeaseRequest
{
    ViewNumber view;
    /** The holder's own time of sending; the answer repeats it. */
    std::int64_t sentAt = 0;
    std::vector<ShardId> shards;
};

/** The shards of a request that were granted. */
struct LeaseAnswer
{
    ViewNumber view;
    std::int64_t sentAt = 0;
    std::vector<ShardId> granted;
};

/** The holder gives leases back before they run out. */
struct LeaseRelease
{
    std::vector<ShardId> shards;
};

/** What a holder leaves with the other replicas, for the case that it is lost. */
struct HolderSnapshot
{
    ServiceId service;
    std::vector<WarmTarget> warmTargets;
    std::optional<RolloutProgress> rollout;

    bool operator==(const HolderSnapshot &) const = default;
};

} // namespace endivedock
