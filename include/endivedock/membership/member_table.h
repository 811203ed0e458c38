#pragma once

#include "endivedock/core.h"
#include "endivedock/membership/messages.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace endivedock {

/** How alive a member is, by its heartbeats. */
enum class Liveness { Live, Suspect, Dead };

/** @return a stable name; static lifetime */
std::string_view name(Liveness liveness);

/** Times and sizes of the exchange of heartbeats. */
struct GossipSettings
{
    Milliseconds interval{400};
    /** Members that a host tells at each interval. */
    std::size_t fanout = 2;
    /** States in one heartbeat, its own included; bounds the cost whatever the number of hosts. */
    std::size_t maxStatesPerMessage = 6;
    /** Beats in one heartbeat; a region with more hosts tells of the freshest. */
    std::size_t maxHeartbeatsPerMessage = 64;
    Milliseconds suspectAfter{3500};
    Milliseconds deadAfter{6000};
    /** A dead member is forgotten after this. */
    Milliseconds forgetAfter{120'000};
};

/** One member as this host knows it. */
struct KnownMember
{
    MemberState state;
    /** When its newest beat became known. */
    TimePoint lastHeartbeatAt{};
    /** When its newest version became known. */
    TimePoint changedAt{};
};

/**
 * All members that this host knows. States merge by (incarnation, version) and signs of life by
 * (incarnation, beat), so the order of messages does not matter, and doubled or late ones change
 * nothing.
 */
class MemberTable
{
public:
    MemberTable(MemberState self, GossipSettings settings, TimePoint now);

    /** Replaces this host's own state; its version rises if anything changed. */
    void updateSelf(MemberState self);
    const MemberState &self() const { return m_self; }

    /** @return members whose state changed */
    std::vector<HostId> merge(const GossipMessage &heartbeat, TimePoint now);
    /** The platform lists a host; it is asked for its state if none is known. */
    void addSeed(const HostId &id, const RegionId &region, const ZoneId &zone,
                 const Address &address, TimePoint now);

    Liveness liveness(const HostId &id, TimePoint now) const;
    bool isLive(const HostId &id, TimePoint now) const;
    /** @return the member's state, or null; this host's own included */
    const MemberState *find(const HostId &id) const;
    Duration timeSinceHeartbeat(const HostId &id, TimePoint now) const;
    /** @return all members but this host, in order of id */
    const std::map<HostId, KnownMember> &others() const { return m_others; }
    /** @return live hosts, this one included */
    std::size_t liveHostCount(TimePoint now) const;

    /** Begins an interval: raises the own beat and forgets members that are long dead. */
    void advanceHeartbeat(TimePoint now);
    /** @return the members to tell now */
    std::vector<HostId> selectGossipPeers(TimePoint now, Random &random) const;
    GossipMessage makeGossipMessage(Random &random) const;

private:
    bool mergeState(const MemberState &state, TimePoint now);
    void mergeHeartbeat(const MemberHeartbeat &heartbeatCounter, TimePoint now);
    std::vector<const KnownMember *> selectStates(Random &random) const;
    std::vector<MemberHeartbeat> selectHeartbeats() const;

    MemberState m_self;
    GossipSettings m_settings;
    std::map<HostId, KnownMember> m_others;
    TimePoint m_startedAt;
};

} // namespace endivedock
