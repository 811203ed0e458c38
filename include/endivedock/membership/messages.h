#pragma once

#include "endivedock/core.h"

#include <vector>

namespace endivedock {

/** What one host tells of itself; others pass it on unchanged. A later one replaces an earlier. */
struct MemberState
{
    HostId id;
    RegionId region;
    ZoneId zone;
    /** Where its peers reach it. */
    Address address;
    Incarnation incarnation;
    /** Rises with each change and each heartbeat. */
    std::uint64_t beat = 0;
    /** It is shutting down and takes over nothing. */
    bool leaving = false;
    Revision configuration;
    /** The newest view that it knows, and the one in which it is a full member. */
    ViewNumber view;
    ViewNumber activeView;
    /** Shards that it places, one bit each. */
    std::uint64_t heldShards = 0;
};

/** Some members as the sender knows them, its own state first. */
struct Heartbeat
{
    std::vector<MemberState> members;
};

} // namespace endivedock
