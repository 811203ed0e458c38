#include "endivedock/shards/lease_holder.h"

#include <algorithm>

namespace endivedock {

void LeaseHolder::installView(const ShardMap &map, HostId self)
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

void LeaseHolder::recordGrant(ShardId shard, HostId replica, TimePoint sentAt)
{
    if (!m_map.isReplica(shard, replica))
        return;
    const auto counted = std::chrono::duration_cast<Duration>(m_settings.leaseDuration *
                                                              m_settings.holderValidityRatio);
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

LeaseAction LeaseHolder::nextAction(ShardId shard, const LeaseGrantor &own, std::size_t before,
                                    TimePoint now)
{
    std::optional<TimePoint> &bidSince = m_bidSince.at(shard.value());
    if (!m_map.isReplica(shard, m_self))
        return LeaseAction::None;
    if (holds(shard, now)) {
        bidSince.reset();
        return LeaseAction::Request;
    }
    const auto holder = own.holder(shard, now);
    if (holder && holder != m_self)
        return LeaseAction::None;
    if (!holder) {
        if (now <
            own.grantableFrom(shard) + m_settings.takeoverDelayPerRank * static_cast<int>(before))
            return LeaseAction::None;
        bidSince = now;
        return LeaseAction::Request;
    }
    if (!bidSince)
        bidSince = now; // It held the shard until now.
    // The most preferred bidder stays, so that the others' replicas come to it.
    if (before == 0 || now - *bidSince < m_settings.bidTimeout)
        return LeaseAction::Request;
    bidSince.reset();
    return LeaseAction::Withdraw;
}

} // namespace endivedock
