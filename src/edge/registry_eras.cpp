#include "endivedock/edge/registry.h"

#include <algorithm>

// What a registry copy keeps when the store comes back from an older copy of its data.

namespace endivedock {

namespace {

bool isOfSameProcess(const RegisteredTarget &one, const RegisteredTarget &other)
{
    return one.address == other.address && one.startedAt == other.startedAt;
}

bool isFinal(const RolloutStatus &status)
{
    return status.state != RolloutState::Running;
}

/** @return whether hosts write entries of this kind */
bool isWrittenByHosts(const RegistryRecord &record)
{
    return std::holds_alternative<RolloutStatus>(record) ||
           std::holds_alternative<RegisteredHost>(record);
}

bool isWrittenByOperators(const RegistryRecord &record)
{
    return std::holds_alternative<ConfigurationRecord>(record) ||
           std::holds_alternative<RolloutOrder>(record) ||
           std::holds_alternative<ZoneEvacuationRecord>(record);
}

/** @return whether an entry of an earlier era is newer than what the store shows for its key */
bool isNewer(const RegistryRecord &known, const RegistryRecord &shown)
{
    if (const auto *configuration = std::get_if<ConfigurationRecord>(&known)) {
        const auto *other = std::get_if<ConfigurationRecord>(&shown);
        return other == nullptr || other->table->version() <= configuration->table->version();
    }
    if (const auto *target = std::get_if<RegisteredTarget>(&known)) {
        const auto *other = std::get_if<RegisteredTarget>(&shown);
        return other != nullptr && target->isDraining && !other->isDraining &&
               isOfSameProcess(*target, *other) && other->sequence <= target->sequence;
    }
    if (const auto *status = std::get_if<RolloutStatus>(&known)) {
        const auto *other = std::get_if<RolloutStatus>(&shown);
        return other != nullptr && isFinal(*status) && !isFinal(*other) && status->to == other->to;
    }
    return false;
}

} // namespace

void Registry::enterEra(Revision revision, TimePoint now)
{
    const StoreEra era = eraOf(revision);
    if (m_revision == Revision(0) || era <= eraOf(m_revision))
        return;
    m_log.warning("Store came back from an older copy",
                  {field("era", era), field("revision", numberOf(revision)),
                   field("followed", numberOf(m_revision))});
    m_eraStart = revision;
    recordStoreReconnect(now);
}

StoreEntry Registry::inEraOf(Revision revision, StoreEntry entry) const
{
    const StoreEntry *known = find(entry.key);
    if (known != nullptr && known->value != entry.value)
        entry.modRevision = makeRevision(eraOf(revision), numberOf(entry.modRevision));
    return entry;
}

bool Registry::applyRestored(Item &item, const StoreEntry &entry, const RegistryRecord &record)
{
    const bool isShownAtReturn = entry.modRevision <= m_eraStart;
    const bool isSameValue = item.entry.value == entry.value;
    if (!isShownAtReturn && !item.lostUntil && !item.retainedUntil)
        return false;
    if (!isSameValue && !(isShownAtReturn && isNewer(item.record, record)))
        return false;
    // The kept entry becomes part of the new era, so that copies of other hosts receive it.
    item.lostUntil.reset();
    item.retainedUntil.reset();
    if (!isSameValue && isWrittenByHosts(item.record)) {
        item.lostUntil = TimePoint::max();
        item.storedRevision = entry.modRevision;
    }
    if (!isSameValue)
        m_log.info("Store shows an older entry; the known one stays in use",
                   {field("key", entry.key), field("revision", numberOf(entry.modRevision))});
    // The same write, also if it was repeated: the key's revision stays, so that nothing that was
    // begun for it, such as a rollout, begins again.
    if (!isSameValue || numberOf(entry.modRevision) != numberOf(item.entry.modRevision))
        item.entry.modRevision = entry.modRevision;
    m_removals.erase(entry.key);
    return true;
}

bool Registry::retainLost(Item &item, TimePoint now)
{
    if (isWrittenByHosts(item.record)) {
        item.lostUntil = TimePoint::max();
        item.storedRevision = Revision(0);
        return true;
    }
    if (!isWrittenByOperators(item.record))
        return false;
    if (!item.lostUntil)
        item.lostUntil = now + lostEntryRetention;
    return true;
}

std::vector<ConditionalPut> Registry::lostEntries(std::size_t maxCount) const
{
    std::vector<ConditionalPut> result;
    if (m_eraStart == Revision(0))
        return result; // Nothing was lost, and no entry is looked at.
    for (const auto &[key, item] : m_items) {
        if (result.size() == maxCount)
            break;
        if (item.lostUntil && isWrittenByHosts(item.record))
            result.push_back({key, item.storedRevision, item.entry.value});
    }
    return result;
}

bool Registry::hasDeparted(const std::string &key, const RegistryRecord &record) const
{
    const auto *target = std::get_if<RegisteredTarget>(&record);
    const auto found = m_departures.find(key);
    return target != nullptr && found != m_departures.end() &&
           eraOf(found->second.at) < eraOf(target->revision) &&
           found->second.startedAt == target->startedAt &&
           target->sequence <= found->second.sequence;
}

void Registry::recordDeparture(const std::string &key, const Item &item)
{
    const auto *target = std::get_if<RegisteredTarget>(&item.record);
    if (target == nullptr)
        return;
    m_departures[key] = {target->startedAt, target->sequence, item.entry.modRevision};
    if (m_departures.size() <= maxRemovals)
        return;
    m_departures.erase(std::min_element(
            m_departures.begin(), m_departures.end(),
            [](const auto &left, const auto &right) { return left.second.at < right.second.at; }));
}

} // namespace endivedock
