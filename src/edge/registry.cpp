#include "endivedock/edge/registry.h"

#include "endivedock/edge/edge_settings.h"

#include <algorithm>

#include <xxhash.h>

namespace endivedock {

HostId hostIdOf(const std::string &name)
{
    return HostId(static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size())));
}

void Registry::applyEntry(const StoreEntry &entry)
{
    const auto found = m_items.find(entry.key);
    if (found != m_items.end() && !found->second.retainedUntil &&
        found->second.entry.modRevision >= entry.modRevision)
        return;
    const bool isOfLaterEra = found != m_items.end() &&
                              eraOf(found->second.entry.modRevision) < eraOf(entry.modRevision);
    RegistryRecord record;
    try {
        record = m_parser(entry);
    } catch (const RegistryError &error) {
        // A malformed entry must not affect the other entries; its record stays an UnknownRecord.
        m_log.warning("Store entry is malformed",
                      {field("key", entry.key), field("revision", entry.modRevision),
                       field("error", error.what())});
    }
    if (isOfLaterEra && applyRestored(found->second, entry, record))
        return;
    if (hasDeparted(entry.key, record))
        record = UnknownRecord{};
    else
        m_departures.erase(entry.key);
    if (const auto *configuration = std::get_if<ConfigurationRecord>(&record)) {
        if (m_table && configuration->table->version() <= m_table->version()) {
            m_log.warning("Older configuration ignored",
                          {field("version", configuration->table->version()),
                           field("in_force", m_table->version())});
        } else {
            m_table = configuration->table;
            m_log.info("Configuration applied",
                       {field("version", m_table->version()), field("revision", entry.modRevision),
                        field("routes", m_table->routes().size())});
        }
    }
    m_items[entry.key] = {entry, std::move(record)};
    m_removals.erase(entry.key);
}

void Registry::removeEntry(const std::string &key, Revision at, TimePoint now)
{
    const auto found = m_items.find(key);
    if (found != m_items.end() && found->second.entry.modRevision > at)
        return; // The key was set again after this removal.
    m_removals[key] = at;
    trimRemovals();
    if (found == m_items.end())
        return;
    const bool isLost = eraOf(found->second.entry.modRevision) < eraOf(at) && at <= m_eraStart;
    if (isLost && retainLost(found->second, now))
        return;
    const auto *target = std::get_if<RegisteredTarget>(&found->second.record);
    const bool isAfterOutage = now - m_storeReconnectedAt < expiredTargetRetention;
    if (target && !target->isDraining && isAfterOutage) {
        if (!found->second.retainedUntil)
            found->second.retainedUntil = m_storeReconnectedAt + expiredTargetRetention;
        return;
    }
    recordDeparture(key, found->second);
    m_items.erase(found);
}

bool Registry::applySnapshot(const StoreSnapshot &snapshot, TimePoint now)
{
    if (snapshot.revision < m_revision)
        return false;
    if (m_revision == Revision(0))
        m_removalsCompleteSince = snapshot.revision;
    else
        recordGap(m_revision, snapshot.revision);
    const bool entersEra = m_revision > Revision(0) && eraOf(snapshot.revision) > eraOf(m_revision);
    enterEra(snapshot.revision, now);
    m_needsFullCopy = false;
    std::set<std::string> present;
    for (const auto &entry : snapshot.entries) {
        present.insert(entry.key);
        if (entersEra)
            applyEntry(inEraOf(snapshot.revision, entry));
        else
            applyEntry(entry);
    }
    std::vector<std::string> missing;
    for (const auto &[key, item] : m_items) {
        if (!present.contains(key))
            missing.push_back(key);
    }
    for (const auto &key : missing)
        removeEntry(key, snapshot.revision, now);
    m_revision = snapshot.revision;
    return true;
}

void Registry::recordGap(Revision after, Revision before)
{
    if (before.value() - after.value() <= 1)
        return;
    m_gaps.push_back({after, before});
    if (m_gaps.size() > maxGaps) {
        const Gap oldest = m_gaps.front();
        m_gaps.pop_front();
        if (oldest.after >= m_removalsCompleteSince)
            m_gaps.front().after = oldest.after;
        else
            m_removalsCompleteSince = std::max(m_removalsCompleteSince, oldest.before);
    }
}

const Registry::Gap *Registry::findGap(Revision revision) const
{
    const auto found = std::find_if(m_gaps.begin(), m_gaps.end(), [revision](const Gap &gap) {
        return revision > gap.after && revision < gap.before;
    });
    return found == m_gaps.end() ? nullptr : &*found;
}

void Registry::applyChanges(const StoreChanges &changes, TimePoint now)
{
    enterEra(changes.revision, now);
    for (const auto &change : changes.changes) {
        if (change.modRevision <= m_revision)
            continue;
        if (change.value)
            applyEntry({change.key, *change.value, change.modRevision});
        else
            removeEntry(change.key, change.modRevision, now);
    }
    m_revision = std::max(m_revision, changes.revision);
}

bool Registry::removeExpiredEntries(TimePoint now)
{
    return std::erase_if(m_items, [this, now](const auto &element) {
               const auto &[key, item] = element;
               const bool isExpired = (item.retainedUntil && now >= *item.retainedUntil) ||
                                      (item.lostUntil && now >= *item.lostUntil);
               if (isExpired)
                   recordDeparture(key, item);
               return isExpired;
           }) > 0;
}

std::vector<RegisteredTarget> Registry::targetsOf(const ServiceId &service) const
{
    std::vector<RegisteredTarget> result;
    for (const auto &[key, item] : m_items) {
        const auto *target = std::get_if<RegisteredTarget>(&item.record);
        if (target && target->service == service)
            result.push_back(*target);
    }
    return result;
}

std::set<ServiceId> Registry::services() const
{
    std::set<ServiceId> result;
    if (m_table) {
        for (const auto &[id, rules] : m_table->services())
            result.insert(id);
        for (const auto &route : m_table->routes()) {
            for (const auto &part : route.weightedServices)
                result.insert(part.service);
        }
    }
    return result;
}

std::set<ZoneId> Registry::evacuatedZones() const
{
    std::set<ZoneId> result;
    for (const auto &[key, item] : m_items) {
        if (const auto *evacuation = std::get_if<ZoneEvacuationRecord>(&item.record))
            result.insert(evacuation->zone);
    }
    return result;
}

template <typename Record>
const Record *Registry::findRecord(const ServiceId &service) const
{
    for (const auto &[key, item] : m_items) {
        const auto *record = std::get_if<Record>(&item.record);
        if (record && record->service == service)
            return record;
    }
    return nullptr;
}

std::optional<RolloutOrder> Registry::rolloutOrder(const ServiceId &service) const
{
    const auto *record = findRecord<RolloutOrder>(service);
    return record ? std::optional(*record) : std::nullopt;
}

std::optional<RolloutStatus> Registry::rolloutStatus(const ServiceId &service) const
{
    const auto *record = findRecord<RolloutStatus>(service);
    return record ? std::optional(*record) : std::nullopt;
}

std::vector<RegisteredHost> Registry::hosts() const
{
    std::vector<RegisteredHost> result;
    for (const auto &[key, item] : m_items) {
        if (const auto *host = std::get_if<RegisteredHost>(&item.record))
            result.push_back(*host);
    }
    return result;
}

std::optional<StoredCrashRecords> Registry::crashRecords() const
{
    for (const auto &[key, item] : m_items) {
        if (const auto *records = std::get_if<StoredCrashRecords>(&item.record))
            return *records;
    }
    return std::nullopt;
}

void Registry::trimRemovals()
{
    while (m_removals.size() > maxRemovals) {
        const auto oldest = std::min_element(
                m_removals.begin(), m_removals.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; });
        m_removalsCompleteSince = std::max(m_removalsCompleteSince, oldest->second);
        m_removals.erase(oldest);
    }
}

bool Registry::applyDelta(const RegistryDelta &delta, TimePoint now)
{
    if (delta.revision <= m_revision)
        return true;
    if (delta.sinceStoreReconnect)
        recordStoreReconnect(std::max(m_storeReconnectedAt, now - *delta.sinceStoreReconnect));
    if (delta.from == Revision(0)) {
        StoreSnapshot snapshot;
        snapshot.revision = delta.revision;
        for (const auto &entry : delta.entries) {
            if (entry.value)
                snapshot.entries.push_back({entry.key, *entry.value, entry.modRevision});
        }
        return applySnapshot(snapshot, now);
    }
    if (delta.from > m_revision)
        return false;
    if (eraOf(delta.revision) > eraOf(m_revision) && delta.from < m_revision) {
        // Entries that this host saw change after `from` may have gone back to what they were.
        m_needsFullCopy = true;
        return false;
    }
    if (delta.from < m_revision)
        removeMissingEntries(delta, now);
    if (!delta.hasAllRemovals)
        recordGap(m_revision, delta.revision);
    StoreChanges changes;
    changes.revision = delta.revision;
    for (const auto &entry : delta.entries)
        changes.changes.push_back({entry.key, entry.value, entry.modRevision});
    applyChanges(changes, now);
    return true;
}

void Registry::removeMissingEntries(const RegistryDelta &delta, TimePoint now)
{
    std::set<std::string> listed;
    for (const auto &entry : delta.entries) {
        if (entry.value)
            listed.insert(entry.key);
    }
    std::vector<std::string> missing;
    for (const auto &[key, item] : m_items) {
        const Revision changedAt = item.entry.modRevision;
        if (!item.retainedUntil && changedAt > delta.from && changedAt <= delta.revision &&
            !listed.contains(key))
            missing.push_back(key);
    }
    for (const auto &key : missing)
        removeEntry(key, delta.revision, now);
}

RegistryDelta Registry::deltaSince(Revision knownRevision, TimePoint now) const
{
    RegistryDelta delta;
    const Gap *gap = findGap(knownRevision);
    const Revision from = gap != nullptr ? gap->after : knownRevision;
    const bool isIncremental = from > Revision(0) && from >= m_removalsCompleteSince;
    delta.from = isIncremental ? from : Revision(0);
    delta.revision = m_revision;
    delta.hasAllRemovals = std::none_of(m_gaps.begin(), m_gaps.end(),
                                        [from](const Gap &each) { return each.before > from; });
    for (const auto &[key, item] : m_items) {
        if (!item.retainedUntil && (!isIncremental || item.entry.modRevision > from))
            delta.entries.push_back({key, item.entry.value, item.entry.modRevision});
    }
    for (const auto &[key, removedAt] : m_removals) {
        if (isIncremental && removedAt > from)
            delta.entries.push_back({key, std::nullopt, removedAt});
    }
    if (now - m_storeReconnectedAt < expiredTargetRetention)
        delta.sinceStoreReconnect = toMilliseconds(now - m_storeReconnectedAt);
    return delta;
}

const StoreEntry *Registry::find(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? nullptr : &found->second.entry;
}

} // namespace endivedock
