#pragma once

#include "endivedock/core.h"

#include <vector>

namespace endivedock {

/** What one host tells of itself; others pass it on unchanged. A later version replaces an earlier.
 */
struct MemberState
{
    HostId id;
    RegionId region;
    ZoneId zone;
    /** Where its peers reach it. */
    Address address;
    Incarnation incarnation;
    /** Rises with each change of what follows. */
    std::uint32_t version = 0;
    /** Rises with each interval that the host is alive. */
    std::uint32_t heartbeatCounter = 0;
    /** It is shutting down and takes over nothing. */
    bool leaving = false;
    Revision configuration;
    /** The newest view that it knows, and the one in which it is a full member. */
    ViewNumber view;
    ViewNumber activeView;
    /** Shards that it places, one bit each. */
    std::uint64_t heldShards = 0;
};

/** That a member was alive at one of its beats; short, so that all members fit a heartbeat. */
struct MemberHeartbeat
{
    HostId id;
    Incarnation incarnation;
    std::uint32_t heartbeatCounter = 0;
};

/** Some members' states as the sender knows them, its own first, and the beats of many. */
struct GossipMessage
{
    std::vector<MemberState> members;
    std::vector<MemberHeartbeat> heartbeats;
};

} // namespace endivedock
