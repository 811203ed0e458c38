#pragma once

#include "endivedock/shards/shard_map.h"

#include <array>
#include <optional>

namespace endivedock {

/** Times of leases. Clocks need not agree; they must run at the same rate within a few percent. */
struct LeaseSettings
{
    Milliseconds leaseDuration{1500};
    Milliseconds renewalInterval{600};
    /** Time between two tries to take over a shard that nobody holds. */
    Milliseconds takeoverRetryInterval{100};
    /** The holder counts a grant as this part of the term, for clocks that run faster than others.
     */
    double holderValidityRatio = 0.9;
    /** A replica waits this long more than those before it, when a lease has run out. */
    Milliseconds takeoverDelayPerRank{250};
    /** A bid without a majority is given up after this: two rounds of questions. */
    Milliseconds bidTimeout{1000};
    /** A host that has not heard of most of its view for this long decides nothing. */
    Milliseconds isolationTimeout{3500};
    /** A holder that is not the first choice gives way to it after this. */
    Milliseconds yieldDelay{8000};
};

/**
 * Grants the leases of the shards of which this host is a replica. What it granted is not kept on a
 * disk, so after a start, and for shards that are new to it, it waits until whatever may have been
 * granted before has run out.
 */
class LeaseGrantor
{
public:
    LeaseGrantor(LeaseSettings settings, TimePoint startedAt);

    /** Takes a new view; @param map of that view, @param self this host */
    void installView(const ShardMap &map, HostId self, ViewNumber view, TimePoint now);

    /**
     * @param connected  this host has lately heard of most of its view
     * @return whether the lease is granted to this life of the host until now + term
     */
    bool grant(ShardId shard, ViewNumber view, HostId holder, Incarnation incarnation,
               bool connected, TimePoint now);
    /** The holder gives the lease back; it is free from @p now on. */
    void release(ShardId shard, HostId holder, Incarnation incarnation, TimePoint now);

    /** @return who holds the lease as far as this replica knows */
    std::optional<HostId> holder(ShardId shard, TimePoint now) const;
    /** @return when the shard was last granted away or is free to be granted */
    TimePoint grantableFrom(ShardId shard) const { return m_records[shard.value()].grantableFrom; }

private:
    struct Record
    {
        bool replica = false;
        HostId holder;
        Incarnation incarnation;
        /** The lease runs out, or the wait ends. */
        TimePoint grantableFrom{};
    };

    LeaseSettings m_settings;
    TimePoint m_startedAt;
    ViewNumber m_view;
    std::array<Record, shardCount> m_records;
};

} // namespace endivedock
