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
    /** Incremented with each change of the fields below, except for the heartbeat counter. */
    std::uint32_t version = 0;
    /** Incremented in each gossip interval while the host is alive. */
    std::uint32_t heartbeatCounter = 0;
    /** The host is shutting down and takes over no duties. */
    bool leaving = false;
    Revision configuration;
    /** The newest view that the host knows, and the view in which it is a full member. */
    ViewNumber view;
    ViewNumber activeView;
    /** Shards whose requests the host places, one bit for each. */
    std::uint64_t heldShards = 0;
};

/** The newest known heartbeat of a member. Short, so that those of all members fit one message. */
struct MemberHeartbeat
{
    HostId id;
    Incarnation incarnation;
    std::uint32_t heartbeatCounter = 0;
};

/** States of some members as the sender knows them, its own first, and heartbeats of many. */
struct GossipMessage
{
    std::vector<MemberState> members;
    std::vector<MemberHeartbeat> heartbeats;
};

} // namespace endivedock
