#include "endivedock/shards/lease_grantor.h"

#include <algorithm>

namespace endivedock {

LeaseGrantor::LeaseGrantor(LeaseSettings settings, TimePoint startedAt)
    : m_settings(settings)
    , m_startedAt(startedAt)
{
}

void LeaseGrantor::installView(const ShardMap &map, HostId self, ViewNumber view, TimePoint now)
{
    const bool isFirstView = m_view == ViewNumber(0);
    m_view = view;
    for (std::size_t i = 0; i < shardCount; ++i) {
        Record &record = m_records[i];
        const bool isReplica = map.isReplica(ShardId(static_cast<std::uint16_t>(i)), self);
        if (isReplica && !record.isReplica) {
            // Replicas that have not installed the new view keep granting leases until they detect
            // their isolation. After isolationTimeout + leaseDuration, those grants have expired.
            // The wait in the first view that this host installs covers the grants that its earlier
            // incarnation may have made.
            const Duration waitTime =
                    isFirstView ? Duration(m_settings.leaseDuration)
                                : Duration(m_settings.isolationTimeout + m_settings.leaseDuration);
            record = Record{true, HostId(), Incarnation(),
                            (isFirstView ? m_startedAt : now) + waitTime};
        }
        record.isReplica = isReplica;
    }
}

bool LeaseGrantor::grant(ShardId shard, ViewNumber view, HostId holder, Incarnation incarnation,
                         bool isConnected, TimePoint now)
{
    Record &record = m_records.at(shard.value());
    if (!record.isReplica || view != m_view || !isConnected)
        return false;
    const bool isRenewal = record.holder == holder && record.incarnation == incarnation;
    if (!isRenewal && now < record.grantableFrom)
        return false;
    record.holder = holder;
    record.incarnation = incarnation;
    record.grantableFrom = now + m_settings.leaseDuration;
    return true;
}

void LeaseGrantor::release(ShardId shard, HostId holder, Incarnation incarnation, TimePoint now)
{
    Record &record = m_records.at(shard.value());
    if (record.holder != holder || record.incarnation != incarnation)
        return;
    record.holder = HostId();
    record.grantableFrom = now;
}

std::optional<HostId> LeaseGrantor::holder(ShardId shard, TimePoint now) const
{
    const Record &record = m_records.at(shard.value());
    if (record.holder == HostId() || now >= record.grantableFrom)
        return std::nullopt;
    return record.holder;
}

} // namespace endivedock
