#include "endivedock/shards/lease_witness.h"

#include <algorithm>

namespace endivedock {

LeaseWitness::LeaseWitness(LeaseSettings settings, TimePoint startedAt)
    : m_settings(settings)
    , m_startedAt(startedAt)
{
}

void LeaseWitness::adopt(const ViewMap &map, HostId self, ViewNumber view, TimePoint now)
{
    const bool first = m_view == ViewNumber(0);
    m_view = view;
    for (std::size_t i = 0; i < shardCount; ++i) {
        Record &record = m_records[i];
        const bool replica = map.isReplica(ShardId(static_cast<std::uint16_t>(i)), self);
        if (replica && !record.replica) {
            // Replicas of an older view that have not heard of this one stop when they are
            // isolated; what they granted until then has run out after this time.
            const Duration wait = first ? Duration(m_settings.term)
                                        : Duration(m_settings.isolatedAfter + m_settings.term);
            record = Record{true, HostId(), Incarnation(), (first ? m_startedAt : now) + wait};
        }
        record.replica = replica;
    }
}

bool LeaseWitness::grant(ShardId shard, ViewNumber view, HostId holder, Incarnation incarnation,
                         bool connected, TimePoint now)
{
    Record &record = m_records.at(shard.value());
    if (!record.replica || view != m_view || !connected)
        return false;
    const bool renewal = record.holder == holder && record.incarnation == incarnation;
    if (!renewal && now < record.freeFrom)
        return false;
    record.holder = holder;
    record.incarnation = incarnation;
    record.freeFrom = now + m_settings.term;
    return true;
}

void LeaseWitness::release(ShardId shard, HostId holder, Incarnation incarnation, TimePoint now)
{
    Record &record = m_records.at(shard.value());
    if (record.holder != holder || record.incarnation != incarnation)
        return;
    record.holder = HostId();
    record.freeFrom = now;
}

std::optional<HostId> LeaseWitness::holder(ShardId shard, TimePoint now) const
{
    const Record &record = m_records.at(shard.value());
    if (record.holder == HostId() || now >= record.freeFrom)
        return std::nullopt;
    return record.holder;
}

} // namespace endivedock
