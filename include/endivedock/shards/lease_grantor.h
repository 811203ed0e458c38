#pragma once

#include "endivedock/shards/shard_map.h"

#include <array>
#include <optional>

namespace endivedock {

/**
 * Durations of the lease protocol. Hosts' clocks may show different times, but must run at the same
 * rate within a few percent.
 */
struct LeaseSettings
{
    Milliseconds leaseDuration{1500};
    Milliseconds renewalInterval{600};
    /** Interval between requests for the lease of a shard without a holder. */
    Milliseconds takeoverRetryInterval{100};
    /**
     * Part of the lease duration for which the holder counts a grant as valid, to allow for clocks
     * that run at different rates.
     */
    double holderValidityRatio = 0.9;
    /**
     * Delay before a host requests an expired lease, for each replica that is preferred to the host
     * and able to hold the lease.
     */
    Milliseconds takeoverDelayPerRank{250};
    /**
     * Time after which a host withdraws its request for a lease if no majority has granted it; long
     * enough to send the request twice.
     */
    Milliseconds requestTimeout{1000};
    /**
     * Time after which a host that receives no messages from most of its view has stopped granting
     * leases and accepting claims of idempotency keys.
     */
    Milliseconds isolationTimeout{3500};
    /**
     * Time for which a holder that is not the shard's most preferred replica keeps the lease before
     * handing it over to that replica.
     */
    Milliseconds yieldDelay{8000};
};

/**
 * Grants the leases of the shards of which this host is a replica, each to one host at a time. The
 * grants are not stored on disk. After a start, and for shards that are new to this host, the
 * grantor therefore waits until all grants that it may have forgotten or never seen have expired.
 * Not thread-safe.
 */
class LeaseGrantor
{
public:
    LeaseGrantor(LeaseSettings settings, TimePoint startedAt);

    /**
     * Installs a new view.
     *
     * @param map   replicas in the new view
     * @param self  this host
     */
    void installView(const ShardMap &map, HostId self, ViewNumber view, TimePoint now);

    /**
     * Grants or renews a lease.
     *
     * @param isConnected  whether this host has recently received messages from most of its view
     * @return whether the lease is granted to this incarnation of the holder until
     *         now + leaseDuration
     */
    bool grant(ShardId shard, ViewNumber view, HostId holder, Incarnation incarnation,
               bool isConnected, TimePoint now);
    /** Ends a lease that its holder gave up; the lease can be granted again from @p now on. */
    void release(ShardId shard, HostId holder, Incarnation incarnation, TimePoint now);

    /** @return the host to which this replica has granted the lease; absent if there is none */
    std::optional<HostId> holder(ShardId shard, TimePoint now) const;
    /**
     * @return when this replica can grant the lease to another host, that is, when the current
     *         grant expires or the wait after a start or view change ends; may be in the past
     */
    TimePoint grantableFrom(ShardId shard) const { return m_records[shard.value()].grantableFrom; }

private:
    struct Record
    {
        bool isReplica = false;
        HostId holder;
        Incarnation incarnation;
        /** When the grant expires, or the wait before the first grant ends. */
        TimePoint grantableFrom{};
    };

    LeaseSettings m_settings;
    TimePoint m_startedAt;
    ViewNumber m_view;
    std::array<Record, shardCount> m_records;
};

} // namespace endivedock
