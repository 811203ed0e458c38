#pragma once

#include "endivedock/core.h"

#include <vector>

namespace endivedock {

/**
 * State that a host publishes about itself. The other hosts pass it on unchanged, and a later
 * version replaces an earlier one.
 */
struct MemberState
{
    HostId id;
    RegionId region;
    ZoneId zone;
    /** Address at which peers reach the host. */
    Address address;
    Incarnation incarnation;
    /** Incremented with each change of the fields below other than the heartbeat counter. */
    std::uint32_t version = 0;
    /** Incremented in each gossip interval while the host is alive. */
    std::uint32_t heartbeatCounter = 0;
    /** The host is shutting down and takes over no duties. */
    bool leaving = false;
    Revision configuration;
    /** The newest membership view that the host knows. */
    ViewNumber view;
    /** The membership view in which the host is a full member. */
    ViewNumber activeView;
    /** Shards of services whose requests the host places, one bit for each shard. */
    std::uint64_t heldShards = 0;
};

/**
 * The newest known heartbeat of a member. Short, so that the heartbeats of all members fit one
 * message.
 */
struct MemberHeartbeat
{
    HostId id;
    Incarnation incarnation;
    std::uint32_t heartbeatCounter = 0;
};

/**
 * The state of the sender, followed by the states of some other members as the sender knows them,
 * and the heartbeats of many members.
 */
struct GossipMessage
{
    std::vector<MemberState> members;
    std::vector<MemberHeartbeat> heartbeats;
};

} // namespace endivedock
