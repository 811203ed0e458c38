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
    const auto validity = std::chrono::duration_cast<Duration>(m_settings.leaseDuration *
                                                               m_settings.holderValidityRatio);
    TimePoint &validUntil = m_grants.at(shard.value())[replica];
    validUntil = std::max(validUntil, sentAt + validity);
}

bool LeaseHolder::holds(ShardId shard, TimePoint now) const
{
    const auto &grants = m_grants.at(shard.value());
    const auto validGrants = std::count_if(grants.begin(), grants.end(),
                                           [now](const auto &grant) { return now < grant.second; });
    const Replicas &replicas = m_map.replicas(shard);
    return !replicas.empty() && static_cast<std::size_t>(validGrants) >= majorityOf(replicas);
}

void LeaseHolder::drop(ShardId shard)
{
    m_grants.at(shard.value()).clear();
}

LeaseAction LeaseHolder::nextAction(ShardId shard, const LeaseGrantor &ownGrantor,
                                    std::size_t preferredReplicas, TimePoint now)
{
    std::optional<TimePoint> &requestingSince = m_requestingSince.at(shard.value());
    if (!m_map.isReplica(shard, m_self))
        return LeaseAction::None;
    if (holds(shard, now)) {
        requestingSince.reset();
        return LeaseAction::Request;
    }
    const auto holder = ownGrantor.holder(shard, now);
    if (holder && holder != m_self)
        return LeaseAction::None;
    if (!holder) {
        if (now < ownGrantor.grantableFrom(shard) +
                          m_settings.takeoverDelayPerRank * static_cast<int>(preferredReplicas))
            return LeaseAction::None;
        requestingSince = now;
        return LeaseAction::Request;
    }
    if (!requestingSince)
        requestingSince = now; // The host has just lost a lease that it held.
    // The most preferred host keeps requesting the lease, and gets the grants of the replicas whose
    // hosts withdraw their requests.
    if (preferredReplicas == 0 || now - *requestingSince < m_settings.requestTimeout)
        return LeaseAction::Request;
    requestingSince.reset();
    return LeaseAction::Withdraw;
}

} // namespace endivedock
