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
    const bool first = m_view == ViewNumber(0);
    m_view = view;
    for (std::size_t i = 0; i < shardCount; ++i) {
        Record &record = m_records[i];
        const bool replica = map.isReplica(ShardId(static_cast<std::uint16_t>(i)), self);
        if (replica && !record.replica) {
            // Replicas of an older view that have not heard of this one stop when they are
            // isolated; what they granted until then has run out after this time.
            const Duration wait =
                    first ? Duration(m_settings.leaseDuration)
                          : Duration(m_settings.isolationTimeout + m_settings.leaseDuration);
            record = Record{true, HostId(), Incarnation(), (first ? m_startedAt : now) + wait};
        }
        record.replica = replica;
    }
}

bool LeaseGrantor::grant(ShardId shard, ViewNumber view, HostId holder, Incarnation incarnation,
                         bool connected, TimePoint now)
{
    Record &record = m_records.at(shard.value());
    if (!record.replica || view != m_view || !connected)
        return false;
    const bool renewal = record.holder == holder && record.incarnation == incarnation;
    if (!renewal && now < record.grantableFrom)
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
