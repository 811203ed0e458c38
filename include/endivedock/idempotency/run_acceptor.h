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

/** Durations of claims and run records. */
struct RunSettings
{
    /** Minimum time for which a key is recorded after its run started. */
    Milliseconds recordRetention{300'000};
    /** Time after which a claim without a majority is abandoned; its run starts no later. */
    Milliseconds claimTimeout{2000};
};

/**
 * Accepts or rejects claims of idempotency keys, like an acceptor in Paxos. For the shards of which
 * this host is a replica, the acceptor accepts the first claim of each key and no other. The
 * records are kept in memory only. After a restart, or as a new replica, the acceptor therefore
 * does not vote until it has the records of enough other replicas, or, if too many of those are
 * lost, until all records that it could lack have expired. Not thread-safe.
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

    /** Installs @p view and votes only in this view from now on. Ignores older or equal views. */
    void installView(const View &view, TimePoint now);
    const View &view() const { return m_view; }
    const ShardMap &map() const { return m_map; }

    /**
     * Votes on a claim. Requests may be repeated: an accepted claim stays accepted until it ends.
     *
     * @param isConnected  whether this host has recently received messages from most of its
     *                     view; an isolated host accepts no claims
     */
    ClaimAnswer claim(const ClaimRequest &request, bool isConnected, TimePoint now);
    /** Records how a claim or its run ended. */
    void finish(const ClaimOutcome &outcome, TimePoint now);
    /** Removes expired records, and activates shards whose missing records have all expired. */
    void tick(TimePoint now);

    /** @return the shards whose records this host still has to get from other replicas */
    std::vector<ShardId> recoveringShards() const;
    /** @return whether this host votes for all shards of which it is a replica */
    bool isActive() const;
    /** @return the hosts from which a recovering shard gets its records */
    std::vector<ViewMember> syncSources(ShardId shard) const;
    /**
     * Answers a request for records.
     *
     * @param requester  the recovering host and its incarnation; votes of its earlier incarnations
     *                   are void from now on
     */
    RecordSyncAnswer handleSyncRequest(const RecordSyncRequest &request,
                                       const ReplicaIncarnation &requester, TimePoint now);
    /** Merges the records of one host; a shard becomes active when enough hosts have answered. */
    void mergeRecords(HostId source, const RecordSyncAnswer &answer, TimePoint now);

    std::size_t recordCount() const { return m_records.size(); }

private:
    /** This host votes for a shard only in the state Active. */
    enum class ShardState { NotReplica, Active, Recovering };
    struct Shard
    {
        ShardState state = ShardState::NotReplica;
        /** Newest view for which this host has all records that it accepted. */
        ViewNumber completeUntilView;
        TimePoint recoveringSince{};
        std::set<HostId> syncedSources;
        /** Newest incarnations of the hosts that have synchronised records from this host. */
        std::map<HostId, Incarnation> incarnations;
    };
    struct StoredRecord
    {
        ClaimId claim;
        RunState state = RunState::Claimed;
        TimePoint expiresAt{};
    };

    /** @return whether the view names an earlier incarnation of this host */
    bool hasRestartedInView() const;
    bool isFirstView() const;
    /** @return how many hosts must send their records before a recovering shard becomes active */
    std::size_t requiredSources(ShardId shard) const;
    void activate(Shard &shard);
    void mergeRecord(const RunRecord &record, TimePoint now);
    Shard &shardState(ShardId shard) { return m_shards.at(shard.value()); }

    HostId m_self;
    Incarnation m_incarnation;
    RunSettings m_settings;
    View m_view;
    ShardMap m_map;
    ShardMap m_previousMap;
    std::array<Shard, shardCount> m_shards;
    std::unordered_map<IdempotencyKeyHash, StoredRecord> m_records;
    std::multimap<TimePoint, IdempotencyKeyHash> m_expiries;
};

} // namespace endivedock
