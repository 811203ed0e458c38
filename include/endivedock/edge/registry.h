#pragma once

#include "endivedock/balancing.h"
#include "endivedock/core.h"
#include "endivedock/edge/registry_messages.h"
#include "endivedock/quarantine.h"
#include "endivedock/routes.h"
#include "endivedock/store/store_concept.h"
#include "endivedock/telemetry.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace endivedock {

/** A host as it registered itself in the store. */
struct RegisteredHost
{
    HostId id;
    Address peer;
    /** Processor share in cores, by which placing hosts and readers of the store are selected. */
    double capacity = 0;
    /** Empty for a host that has not stated it. */
    ZoneId zone{};
};

struct ConfigurationRecord
{
    std::shared_ptr<const RoutingTable> table;
};
struct ZoneEvacuationRecord
{
    ZoneId zone;
};
/** Records of requests that crash targets, as a host wrote them. */
struct StoredCrashRecords
{
    CrashRecords records;
    /** Unix time of the writing, at which the ages of the records hold. */
    Milliseconds writtenAt{0};
    Revision revision;
};
/** An entry whose key this host does not use, or whose value is malformed. */
struct UnknownRecord
{
};

/** Parsed value of one entry of the platform's store. */
using RegistryRecord =
        std::variant<UnknownRecord, ConfigurationRecord, RegisteredTarget, ZoneEvacuationRecord,
                     RolloutOrder, RolloutStatus, RegisteredHost, StoredCrashRecords>;

/** The value of an entry in the platform's store is malformed. */
class RegistryError : public Error
{
public:
    using Error::Error;
};

/**
 * Parses one entry.
 *
 * @throws RegistryError if the value of the entry is malformed
 */
using RecordParser = RegistryRecord (*)(const StoreEntry &);

/**
 * This host's copy of the entries in the platform's store. Its revision never decreases, whether an
 * update comes from the store or from another host.
 *
 * The store may come back from a copy that is some seconds old, with the next era. What it then
 * shows is followed, with these exceptions, since all of it is about to be written again:
 *  - a configuration is never replaced by one of a lower version;
 *  - a target's process that was draining or gone stays so until it writes a newer entry;
 *  - targets, evacuations and rollout orders that the copy lacks are kept for a while;
 *  - what hosts write is kept, and is returned by lostEntries() until the store contains it again.
 */
class Registry
{
public:
    explicit Registry(RecordParser parser)
        : m_parser(parser)
    {
    }

    /**
     * Replaces all entries by those of a snapshot. A snapshot older than this copy is ignored.
     *
     * @return whether the snapshot was applied
     */
    bool applySnapshot(const StoreSnapshot &snapshot, TimePoint now);
    void applyChanges(const StoreChanges &changes, TimePoint now);
    /**
     * Applies the changes that another host sent, except those that this copy already contains.
     *
     * @return false, without applying the delta, if changes between this copy and the delta are
     * missing
     */
    bool applyDelta(const RegistryDelta &delta, TimePoint now);
    /**
     * @return the changes after @p knownRevision, or after the gap that contains it, or all entries
     * if the removals since then are no longer recorded
     */
    RegistryDelta deltaSince(Revision knownRevision, TimePoint now) const;
    /**
     * Records that the store is reachable again. The leases of targets expire while the store is
     * unreachable, and the targets register again soon afterwards. Targets that the store removes
     * within expiredTargetRetention from @p now are therefore kept until that time ends, unless
     * they are draining.
     */
    void recordStoreReconnect(TimePoint now) { m_storeReconnectedAt = now; }
    /**
     * Removes expired targets and lost entries whose retention has ended.
     *
     * @return whether anything was removed
     */
    bool removeExpiredEntries(TimePoint now);
    /**
     * @return writes of entries that hosts had written and that the store has lost, at most
     *         @p maxCount
     */
    std::vector<ConditionalPut> lostEntries(std::size_t maxCount) const;

    Revision revision() const { return m_revision; }
    /**
     * @return the revision after which changes are to be requested from another host: that of this
     *         copy, or 0 if this copy followed an era of the store further than others did
     */
    Revision requestRevision() const { return m_needsFullCopy ? Revision(0) : m_revision; }
    /** @return the routing table, or null if this copy has never contained a configuration */
    std::shared_ptr<const RoutingTable> table() const { return m_table; }
    /** @return the version of the routing table; 0 if there is none */
    ConfigurationVersion configurationVersion() const
    {
        return m_table ? m_table->version() : ConfigurationVersion(0);
    }
    std::vector<RegisteredTarget> targetsOf(const ServiceId &service) const;
    /** @return all services of the routing table, also those that only occur in its routes */
    std::set<ServiceId> services() const;
    std::set<ZoneId> evacuatedZones() const;
    std::optional<RolloutOrder> rolloutOrder(const ServiceId &service) const;
    std::optional<RolloutStatus> rolloutStatus(const ServiceId &service) const;
    std::vector<RegisteredHost> hosts() const;
    /** @return the crash records in the store, or nothing if there are none */
    std::optional<StoredCrashRecords> crashRecords() const;
    /** @return the entry as stored, or null; valid until the next change */
    const StoreEntry *find(const std::string &key) const;

    /** Expired targets are kept for this long after the store became reachable again. */
    static constexpr Milliseconds expiredTargetRetention{2100};
    /** What operators wrote and the store has lost is kept for this long, until they write it
     * again. */
    static constexpr Milliseconds lostEntryRetention{10'000};
    /** Number of removals that are recorded: those of about two releases of 900 targets. */
    static constexpr std::size_t maxRemovals = 2000;
    /** Number of gaps that are recorded; the two oldest ones are joined if there are more. */
    static constexpr std::size_t maxGaps = 32;

private:
    struct Item
    {
        StoreEntry entry;
        RegistryRecord record;
        /** Set if the entry was removed from the store but stays in use until this time. */
        std::optional<TimePoint> retainedUntil = std::nullopt;
        /** Set if the store has lost the entry; it stays in use until this time. */
        std::optional<TimePoint> lostUntil = std::nullopt;
        /** Revision of the older entry that the store has in place of the lost one; 0 if none. */
        Revision storedRevision = Revision(0);
    };

    /** A target's process that has left the registry, by the last entry that it wrote. */
    struct Departure
    {
        std::optional<std::int64_t> startedAt;
        std::int64_t sequence = 0;
        Revision at;
    };

    /**
     * Changes that were made after one revision and before another, and of which this copy knows
     * the result only: keys that were added and removed in between are not recorded.
     */
    struct Gap
    {
        Revision after;
        Revision before;
    };

    void applyEntry(const StoreEntry &entry);
    /**
     * @return an entry of a snapshot that enters an era. Another host, for which the entry has not
     *         changed, gives it with a revision of the earlier era, which may be lower than that of
     *         the change which this host saw and the store has lost.
     */
    StoreEntry inEraOf(Revision revision, StoreEntry entry) const;
    /** Applies an entry of a later era than that of @p item. @return false if it is a new entry */
    bool applyRestored(Item &item, const StoreEntry &entry, const RegistryRecord &record);
    /** Keeps an entry that is missing since the store came back. @return false if it is to go */
    bool retainLost(Item &item, TimePoint now);
    /** @return whether the record is that of a process that had left, before its next entry */
    bool hasDeparted(const std::string &key, const RegistryRecord &record) const;
    void recordDeparture(const std::string &key, const Item &item);
    /** Notices that a copy of a later era is about to be applied. */
    void enterEra(Revision revision, TimePoint now);
    void removeEntry(const std::string &key, Revision at, TimePoint now);
    /** Drops the oldest recorded removals while there are too many. */
    void trimRemovals();
    /** Records that the changes between two revisions are known by their result only. */
    void recordGap(Revision after, Revision before);
    /** @return the gap that @p revision lies in, or null */
    const Gap *findGap(Revision revision) const;
    /** Removes the entries that a newer delta, which begins before this copy's revision, lacks. */
    void removeMissingEntries(const RegistryDelta &delta, TimePoint now);
    template <typename Record>
    const Record *findRecord(const ServiceId &service) const;

    RecordParser m_parser;
    std::map<std::string, Item> m_items;
    std::shared_ptr<const RoutingTable> m_table;
    Revision m_revision;
    /**
     * The revision of the latest removal of recently removed keys, for hosts that request changes.
     * A key that was set again is not contained.
     */
    std::map<std::string, Revision> m_removals;
    /** All removals after this revision are in m_removals, except for those in m_gaps. */
    Revision m_removalsCompleteSince;
    std::deque<Gap> m_gaps;
    /** Targets that have left, at most maxRemovals. */
    std::map<std::string, Departure> m_departures;
    bool m_needsFullCopy = false;
    /** Revision at which this copy entered the present era; 0 in the first one that it knows. */
    Revision m_eraStart;
    TimePoint m_storeReconnectedAt{};
    Log m_log{"registry"};
};

} // namespace endivedock
