#pragma once

#include "endivedock/balancing.h"
#include "endivedock/core.h"
#include "endivedock/edge/registry_messages.h"
#include "endivedock/routes.h"
#include "endivedock/store/store_concept.h"
#include "endivedock/telemetry.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace endivedock {

/** An entry host as it registered itself. */
struct RegisteredHost
{
    HostId id;
    Address peer;
    /** Processor share, by which hosts that serve others are chosen. */
    double capacity = 0;
};

struct ConfigurationRecord
{
    std::shared_ptr<const RoutingTable> table;
};
struct ZoneEvacuationRecord
{
    ZoneId zone;
};
/** A key that means nothing to this host. */
struct UnknownRecord
{
};

/** What one key of the platform's store says. */
using RegistryRecord =
        std::variant<UnknownRecord, ConfigurationRecord, RegisteredTarget, ZoneEvacuationRecord,
                     RolloutOrder, RolloutVerdict, RegisteredHost>;

/** A value in the platform's store that cannot be read. */
class RegistryError : public Error
{
public:
    using Error::Error;
};

/** Reads one entry. Throws RegistryError if its value is malformed. */
using RecordParser = RegistryRecord (*)(const StoreEntry &);

/**
 * This host's copy of what the platform's store holds. Only ever moves to newer revisions, whether
 * they come from the store or from another host.
 */
class Registry
{
public:
    explicit Registry(RecordParser reader)
        : m_parser(reader)
    {
    }

    /** Replaces all by a newer snapshot; an older one is ignored. @return whether it was taken */
    bool applySnapshot(const StoreSnapshot &snapshot, TimePoint now);
    void applyChanges(const StoreChanges &changes, TimePoint now);
    /**
     * Takes over what another host sent.
     *
     * @return false if changes between this copy and the delta are missing
     */
    bool applyDelta(const RegistryDelta &delta, TimePoint now);
    /** @return what has changed after @p known, or all where that is not known any more */
    RegistryDelta deltaSince(Revision known, TimePoint now) const;
    /**
     * The store could be reached again. Entries of targets lapse while it is away and come back
     * soon after, so those that vanish now are kept for a while.
     */
    void recordStoreReconnect(TimePoint now) { m_storeReconnectedAt = now; }
    /** Lets lapsed entries go. @return whether any went */
    bool removeExpiredTargets(TimePoint now);

    Revision revision() const { return m_revision; }
    std::shared_ptr<const RoutingTable> table() const { return m_table; }
    std::vector<RegisteredTarget> targetsOf(const ServiceId &service) const;
    std::set<ServiceId> services() const;
    std::set<ZoneId> evacuatedZones() const;
    std::optional<RolloutOrder> order(const ServiceId &service) const;
    std::optional<RolloutVerdict> verdict(const ServiceId &service) const;
    std::vector<RegisteredHost> hosts() const;
    /** @return the entry as stored, or null */
    const StoreEntry *find(const std::string &key) const;

    /** Lapsed entries are kept for this long after the store's return. */
    static constexpr Milliseconds expiredTargetRetention{2100};

private:
    struct Item
    {
        StoreEntry entry;
        RegistryRecord record;
        /** The entry is gone from the store; it holds until this time. */
        std::optional<TimePoint> retainedUntil;
    };

    void put(const StoreEntry &entry);
    void drop(const std::string &key, Revision at, TimePoint now);
    /** Forgets the oldest removals. */
    void trimRemovals();
    template <typename Record>
    const Record *findRecord(const ServiceId &service) const;

    RecordParser m_parser;
    std::map<std::string, Item> m_items;
    std::shared_ptr<const RoutingTable> m_table;
    Revision m_revision;
    /** Keys removed lately, by the revision of their removal, for hosts that ask for changes. */
    std::map<Revision, std::string> m_removals;
    /** Removals after this revision are all known. */
    Revision m_removalsCompleteSince;
    TimePoint m_storeReconnectedAt{};
    Log m_log{"registry"};
};

} // namespace endivedock
