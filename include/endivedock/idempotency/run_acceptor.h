#pragma once

#include "endivedock/idempotency/messages.h"
#include "endivedock/shards/shard_map.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace endivedock {

/** Times of run records. */
struct RunSettings
{
    /** A key is remembered for at least this long after its run began. */
    Milliseconds recordRetention{300'000};
    /** A claim that is not won within this time is given up; the run begins no later. */
    Milliseconds claimTimeout{2000};
};

/**
 * One host's part of the run records. For the shards of which it is a replica it accepts the first
 * claim of each key and no other. Since it has no disk, it votes only while it can vouch for what
 * it accepted before: after a restart, or as a new replica, it first collects the records of the
 * other replicas, or, where too many of those are lost, waits until their records no longer matter.
 */
class RunAcceptor
{
public:
    RunAcceptor(HostId self, Incarnation incarnation, RunSettings settings)
        : m_self(self)
        , m_incarnation(incarnation)
        , m_settings(settings)
    {
    }

    /** Takes part in @p view from now on, and in no earlier one. Older or equal views are ignored.
     */
    void installView(const View &view, TimePoint now);
    const View &view() const { return m_view; }
    const ShardMap &map() const { return m_map; }

    /** @param connected  this host has lately heard of most of its view */
    ClaimAnswer claim(const ClaimRequest &request, bool connected, TimePoint now);
    void finish(const ClaimOutcome &finish, TimePoint now);
    /** Forgets what is older than the memory, and ends waits that are over. */
    void tick(TimePoint now);

    /** @return shards for which records are still to be collected */
    std::vector<ShardId> recoveringShards() const;
    /** @return whether this host votes for all shards of which it is a replica */
    bool isActive() const;
    /** @return the hosts whose records are needed for a recovering shard */
    std::vector<ViewMember> syncSources(ShardId shard) const;
    /** @param asker  the recovering host and its life, in which it has no votes from before */
    RecordSyncAnswer handleSyncRequest(const RecordSyncRequest &request,
                                       const ReplicaIncarnation &asker, TimePoint now);
    /** Takes one host's records; the shard becomes active when enough hosts have answered. */
    void mergeRecords(HostId source, const RecordSyncAnswer &answer, TimePoint now);

    std::size_t recordCount() const { return m_records.size(); }

private:
    enum class ShardState { Foreign, Active, Recovering };
    struct Shard
    {
        ShardState state = ShardState::Foreign;
        /** View up to which this host has all that it accepted. */
        ViewNumber intactUntil;
        TimePoint recoveringSince{};
        std::set<HostId> collected;
        /** Lives of hosts that have collected records here. */
        std::map<HostId, Incarnation> incarnations;
    };
    struct Stored
    {
        ClaimId claim;
        RunState state = RunState::Claimed;
        TimePoint forgetAt{};
    };

    bool restartedSinceView() const;
    bool firstViewEver() const;
    std::size_t answersNeeded(ShardId shard) const;
    void activate(Shard &shard);
    void absorbRecord(const RunRecord &record, TimePoint now);
    Shard &shardState(ShardId shard) { return m_shards.at(shard.value()); }

    HostId m_self;
    Incarnation m_incarnation;
    RunSettings m_settings;
    View m_view;
    ShardMap m_map;
    ShardMap m_previousMap;
    std::array<Shard, shardCount> m_shards;
    std::unordered_map<IdempotencyKeyHash, Stored> m_records;
    std::multimap<TimePoint, IdempotencyKeyHash> m_forget;
};

} // namespace endivedock
