#pragma once

#include "endivedock/shards/lease_grantor.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace endivedock {

/** Next action of a host for the lease of one shard. */
enum class LeaseAction {
    None,
    /** Request or renew the lease at all replicas, including the host itself. */
    Request,
    /**
     * Withdraw the request: drop all grants received, and release the grant of this host's own
     * replica, so that the replica can grant the lease to another host.
     */
    Withdraw,
};

/** The leases that this host holds or requests. Not thread-safe. */
class LeaseHolder
{
public:
    explicit LeaseHolder(LeaseSettings settings)
        : m_settings(settings)
    {
    }

    void installView(const ShardMap &map, HostId self);

    /**
     * Records a replica's grant.
     *
     * @param sentAt  when this host sent the request, on its own clock; the grant counts from then
     */
    void recordGrant(ShardId shard, HostId replica, TimePoint sentAt);
    /** @return whether this host certainly holds the lease, by valid grants of a majority */
    bool holds(ShardId shard, TimePoint now) const;
    /** Drops all grants, so that holds() returns false immediately. */
    void drop(ShardId shard);

    /**
     * Decides the next action for a shard. A held lease is renewed. If this host's replica has
     * granted the lease to no host, the host requests the lease, after a delay that grows with the
     * number of preferred replicas. A host that wins no majority withdraws its request, unless the
     * host is the most preferred one, because two hosts with one grant each would block each other.
     *
     * @param ownGrantor         the grantor of this host's own replica
     * @param preferredReplicas  number of replicas before this host in the shard's order that can
     *                           hold the lease
     */
    LeaseAction nextAction(ShardId shard, const LeaseGrantor &ownGrantor,
                           std::size_t preferredReplicas, TimePoint now);

private:
    LeaseSettings m_settings;
    ShardMap m_map;
    HostId m_self;
    /** For each shard, the time until which each replica's grant is valid. */
    std::array<std::map<HostId, TimePoint>, shardCount> m_grants;
    /** For each shard, since when this host has requested the lease without holding it. */
    std::array<std::optional<TimePoint>, shardCount> m_requestingSince;
};

} // namespace endivedock
