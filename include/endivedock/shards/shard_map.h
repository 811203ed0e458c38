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

/** @return the shard at a position, 0 to shardCount - 1 */
inline ShardId shardAt(std::size_t index)
{
    return ShardId(static_cast<std::uint16_t>(index));
}

/** @return the shard of a service, whatever the view */
ShardId shardOf(const ServiceId &service);
/** @return the shard of an idempotency key, whatever the view */
ShardId shardOf(const IdempotencyKeyHash &key);

/** The replicas of one shard in order of preference as its holder; up to three. */
using Replicas = std::vector<HostId>;

/**
 * Where each shard lives in one view, by rendezvous hashing: a member that comes or goes moves only
 * the shards that it has. Replicas lie in different zones as long as there are enough.
 */
class ShardMap
{
public:
    ShardMap() = default;
    explicit ShardMap(const std::vector<ViewMember> &members);

    const Replicas &replicas(ShardId shard) const { return m_replicas[shard.value()]; }
    bool isReplica(ShardId shard, HostId host) const;
    /** @return position among the replicas, or replicaCount if it is none */
    std::size_t rank(ShardId shard, HostId host) const;

private:
    std::array<Replicas, shardCount> m_replicas;
};

/** @return the replicas whose votes suffice: a majority of those that the shard has */
std::size_t majorityOf(const Replicas &replicas);

/** @return the JSON text of a view, for the store; without its number, which the store gives */
std::string formatView(const View &view);
/** @throws JsonError if @p text is not a view */
View parseView(std::string_view text, ViewNumber number);

/** @return the member, or null; valid as the view */
const ViewMember *findMember(const std::vector<ViewMember> &members, HostId id);

} // namespace endivedock
