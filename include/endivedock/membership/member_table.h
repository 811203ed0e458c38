#pragma once

#include "endivedock/core.h"
#include "endivedock/membership/messages.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace endivedock {

/** Liveness of a member, by the age of its last heartbeat. */
enum class Liveness { Live, Suspect, Dead };

/** @return a name that does not change between versions; the text has static lifetime */
std::string_view name(Liveness liveness);

/** Intervals and message sizes of the gossip protocol. */
struct GossipSettings
{
    Milliseconds interval{400};
    /**
     * Live or suspect members to which a host sends a message in each interval. One dead member
     * comes in addition.
     */
    std::size_t fanout = 2;
    /**
     * Member states in one message, the sender's own included. Bounds the cost of a message
     * regardless of the number of hosts.
     */
    std::size_t maxStatesPerMessage = 6;
    /** Heartbeats in one message. If a region has more hosts, the most recent ones are sent. */
    std::size_t maxHeartbeatsPerMessage = 64;
    /** A member without a heartbeat for this long is suspect. */
    Milliseconds suspectAfter{3500};
    /** A member without a heartbeat for this long is dead. */
    Milliseconds deadAfter{6000};
    /** A member without a heartbeat for this long is removed. */
    Milliseconds forgetAfter{120'000};
};

/** One member as this host knows it. */
struct KnownMember
{
    MemberState state;
    /** When the newest heartbeat of the member became known. */
    TimePoint lastHeartbeatAt{};
    /** When the newest version of the member's state became known. */
    TimePoint changedAt{};
};

/**
 * All members that this host knows. Of the states of a member, the one with the highest
 * (incarnation, version) is kept, and of its heartbeats the one with the highest
 * (incarnation, heartbeatCounter), so the order of messages does not matter, and duplicated or late
 * messages change nothing.
 */
class MemberTable
{
public:
    MemberTable(MemberState self, GossipSettings settings, TimePoint now);

    /** Replaces this host's own state, and increments its version if the content changed. */
    void updateSelf(MemberState self);
    const MemberState &self() const { return m_self; }

    /**
     * Merges a message from another host.
     *
     * @return members that are new or whose state changed
     */
    std::vector<HostId> merge(const GossipMessage &message, TimePoint now);
    /**
     * Adds a host that the platform lists, unless it is known. The host counts as dead until its
     * state arrives; as for every dead member, messages are sent to it from time to time.
     */
    void addSeed(const HostId &id, const RegionId &region, const ZoneId &zone,
                 const Address &address, TimePoint now);

    /** @return the liveness of a member: Live for this host, Dead for an unknown member */
    Liveness liveness(const HostId &id, TimePoint now) const;
    bool isLive(const HostId &id, TimePoint now) const;
    /** @return the state of the member, which may be this host, or null if it is not known */
    const MemberState *find(const HostId &id) const;
    /**
     * @return the time since the newest heartbeat of the member became known; zero for this host
     * and for unknown members
     */
    Duration timeSinceHeartbeat(const HostId &id, TimePoint now) const;
    /** @return all members except this host, in order of id */
    const std::map<HostId, KnownMember> &others() const { return m_others; }
    /** @return the number of live hosts, this one included */
    std::size_t liveHostCount(TimePoint now) const;

    /**
     * Starts an interval: increments this host's heartbeat counter and removes the members without
     * a heartbeat for GossipSettings::forgetAfter.
     */
    void advanceHeartbeat(TimePoint now);
    /**
     * @return the members to which a message is sent in this interval: GossipSettings::fanout live
     * or suspect members and one dead member, drawn at random
     */
    std::vector<HostId> selectGossipPeers(TimePoint now, Random &random) const;
    /** @return this host's own state, and a selection of the other states and of the heartbeats */
    GossipMessage makeGossipMessage(Random &random) const;

private:
    bool mergeState(const MemberState &state, TimePoint now);
    void mergeHeartbeat(const MemberHeartbeat &heartbeat, TimePoint now);
    std::vector<const KnownMember *> selectStates(Random &random) const;
    std::vector<MemberHeartbeat> selectHeartbeats() const;

    MemberState m_self;
    GossipSettings m_settings;
    std::map<HostId, KnownMember> m_others;
    TimePoint m_startedAt;
};

} // namespace endivedock
