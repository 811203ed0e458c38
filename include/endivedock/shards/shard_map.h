#pragma once

#include "endivedock/shards/messages.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace endivedock {

constexpr std::size_t shardCount = 64;
constexpr std::size_t replicaCount = 3;
constexpr std::size_t replicaMajority = 2;

/** @return the shard with an index from 0 to shardCount - 1 */
inline ShardId shardAt(std::size_t index)
{
    return ShardId(static_cast<std::uint16_t>(index));
}

/** @return the shard of a service; independent of the view */
ShardId shardOf(const ServiceId &service);
/** @return the shard of an idempotency key; independent of the view */
ShardId shardOf(const IdempotencyKeyHash &key);

/** Up to three replicas of one shard; an earlier replica is preferred as holder of its lease. */
using Replicas = std::vector<HostId>;

/**
 * Maps each shard to its replicas in one view, by rendezvous hashing: adding or removing a member
 * changes only the shards of which that member is a replica. Replicas are in different zones if the
 * members have enough zones.
 */
class ShardMap
{
public:
    ShardMap() = default;
    explicit ShardMap(const std::vector<ViewMember> &members);

    const Replicas &replicas(ShardId shard) const { return m_replicas[shard.value()]; }
    bool isReplica(ShardId shard, HostId host) const;
    /** @return the host's position among the replicas, or replicaCount if it is not a replica */
    std::size_t rank(ShardId shard, HostId host) const;

private:
    std::array<Replicas, shardCount> m_replicas;
};

/** @return number of replicas that form a majority */
std::size_t majorityOf(const Replicas &replicas);

/** @return the JSON text of a view for the store, without its number, which the store assigns */
std::string formatView(const View &view);
/**
 * Parses a view from the store.
 *
 * @throws JsonError if @p text is not a valid view
 */
View parseView(std::string_view text, ViewNumber number);

/** @return the member with this id, or null; the pointer is valid until @p members changes */
const ViewMember *findMember(const std::vector<ViewMember> &members, HostId id);

} // namespace endivedock
