#pragma once

#include "endivedock/shards/lease_grantor.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace endivedock {

/** What a host is to do about the lease of one shard. */
enum class LeaseAction {
    None,
    /** Ask all replicas, the own one as well. */
    Request,
    /** Drop the grants, and free the own replica for another bidder. */
    Withdraw,
};

/** The leases that this host holds or asks for. */
class LeaseHolder
{
public:
    explicit LeaseHolder(LeaseSettings settings)
        : m_settings(settings)
    {
    }

    void installView(const ShardMap &map, HostId self);

    /** Takes a replica's grant. @param sentAt when this host asked, on its own clock */
    void recordGrant(ShardId shard, HostId replica, TimePoint sentAt);
    /** @return whether this host holds the shard; false as soon as it cannot be sure */
    bool holds(ShardId shard, TimePoint now) const;
    /** Gives the shard up at once. */
    void drop(ShardId shard);

    /**
     * Decides on a shard: to renew what is held, to take over when the own replica knows of no
     * holder, the preferred replicas first, and to give up a bid that has won no majority, since
     * two bidders with one grant each would keep the shard from both.
     *
     * @param before  replicas that are preferred to this host and able to hold
     */
    LeaseAction nextAction(ShardId shard, const LeaseGrantor &own, std::size_t before,
                           TimePoint now);

private:
    LeaseSettings m_settings;
    ShardMap m_map;
    HostId m_self;
    /** For each shard, until when each replica's grant counts. */
    std::array<std::map<HostId, TimePoint>, shardCount> m_grants;
    /** For each shard, since when this host has been asking without holding it. */
    std::array<std::optional<TimePoint>, shardCount> m_bidSince;
};

} // namespace endivedock
