#include "endivedock/shards/lease_holder.h"

#include <algorithm>

namespace endivedock {

void LeaseHolder::adopt(const ViewMap &map, HostId self)
{
    m_map = map;
    m_self = self;
    for (std::size_t i = 0; i < shardCount; ++i) {
        const ShardId shard(static_cast<std::uint16_t>(i));
        std::erase_if(m_grants[i],
                      [&](const auto &grant) { return !map.isReplica(shard, grant.first); });
        if (!map.isReplica(shard, self))
            m_grants[i].clear();
    }
}

void LeaseHolder::granted(ShardId shard, HostId replica, TimePoint sentAt)
{
    if (!m_map.isReplica(shard, replica))
        return;
    const auto counted =
            std::chrono::duration_cast<Duration>(m_settings.term * m_settings.holderPart);
    TimePoint &until = m_grants.at(shard.value())[replica];
    until = std::max(until, sentAt + counted);
}

bool LeaseHolder::holds(ShardId shard, TimePoint now) const
{
    const auto &grants = m_grants.at(shard.value());
    const auto valid = std::count_if(grants.begin(), grants.end(),
                                     [now](const auto &grant) { return now < grant.second; });
    const Replicas &replicas = m_map.replicas(shard);
    return !replicas.empty() && static_cast<std::size_t>(valid) >= majorityOf(replicas);
}

void LeaseHolder::drop(ShardId shard)
{
    m_grants.at(shard.value()).clear();
}

bool LeaseHolder::shouldAsk(ShardId shard, const LeaseWitness &own, std::size_t before,
                            TimePoint now) const
{
    if (!m_map.isReplica(shard, m_self))
        return false;
    if (holds(shard, now) || own.holder(shard, now) == m_self)
        return true;
    if (own.holder(shard, now))
        return false;
    const auto patience = m_settings.rankDelay * static_cast<int>(before);
    return now >= own.freeFrom(shard) + patience;
}

} // namespace endivedock
