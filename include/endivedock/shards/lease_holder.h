#pragma once

#include "endivedock/shards/lease_witness.h"

#include <array>
#include <map>
#include <vector>

namespace endivedock {

/** The leases that this host holds or asks for. */
class LeaseHolder
{
public:
    explicit LeaseHolder(LeaseSettings settings)
        : m_settings(settings)
    {
    }

    void adopt(const ViewMap &map, HostId self);

    /** Takes a replica's grant. @param sentAt when this host asked, on its own clock */
    void granted(ShardId shard, HostId replica, TimePoint sentAt);
    /** @return whether this host holds the shard; false as soon as it cannot be sure */
    bool holds(ShardId shard, TimePoint now) const;
    /** Gives the shard up at once. */
    void drop(ShardId shard);

    /**
     * Decides whether to ask for a shard now: to renew what is held, and to take over when the own
     * replica knows of no holder; the preferred replicas first.
     *
     * @param before  replicas that are preferred to this host and able to hold
     */
    bool shouldAsk(ShardId shard, const LeaseWitness &own, std::size_t before, TimePoint now) const;

private:
    LeaseSettings m_settings;
    ViewMap m_map;
    HostId m_self;
    /** For each shard, until when each replica's grant counts. */
    std::array<std::map<HostId, TimePoint>, shardCount> m_grants;
};

} // namespace endivedock
