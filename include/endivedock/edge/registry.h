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

struct ConfigurationFact
{
    std::shared_ptr<const RoutingTable> table;
};
struct ZoneOutFact
{
    ZoneId zone;
};
/** A key that means nothing to this host. */
struct UnknownFact
{
};

/** What one key of the platform's store says. */
using RegistryFact = std::variant<UnknownFact, ConfigurationFact, RegisteredTarget, ZoneOutFact,
                                  MoveOrder, MoveVerdict, RegisteredHost>;

/** A value in the platform's store that cannot be read. */
class RegistryError : public Error
{
public:
    using Error::Error;
};

/** Reads one entry. Throws RegistryError if its value is malformed. */
using FactReader = RegistryFact (*)(const StoreEntry &);

/**
 * This host's copy of what the platform's store holds. Only ever moves to newer revisions, whether
 * they come from the store or from another host.
 */
class Registry
{
public:
    explicit Registry(FactReader reader)
        : m_reader(reader)
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
    RegistryDelta deltaFrom(Revision known, TimePoint now) const;
    /**
     * The store could be reached again. Entries of targets lapse while it is away and come back
     * soon after, so those that vanish now are kept for a while.
     */
    void storeReturned(TimePoint now) { m_returnedAt = now; }
    /** Lets lapsed entries go. @return whether any went */
    bool expireLapsed(TimePoint now);

    Revision revision() const { return m_revision; }
    std::shared_ptr<const RoutingTable> table() const { return m_table; }
    std::vector<RegisteredTarget> targetsOf(const ServiceId &service) const;
    std::set<ServiceId> services() const;
    std::set<ZoneId> zonesOut() const;
    std::optional<MoveOrder> order(const ServiceId &service) const;
    std::optional<MoveVerdict> verdict(const ServiceId &service) const;
    std::vector<RegisteredHost> hosts() const;
    /** @return the entry as stored, or null */
    const StoreEntry *find(const std::string &key) const;

    /** Lapsed entries are kept for this long after the store's return. */
    static constexpr Milliseconds lapsedGrace{2100};

private:
    struct Item
    {
        StoreEntry entry;
        RegistryFact fact;
        /** The entry is gone from the store; it holds until this time. */
        std::optional<TimePoint> lapsedUntil;
    };

    void put(const StoreEntry &entry);
    void drop(const std::string &key, Revision at, TimePoint now);
    /** Forgets the oldest removals. */
    void boundRemovals();
    template <typename Fact>
    const Fact *findFact(const ServiceId &service) const;

    FactReader m_reader;
    std::map<std::string, Item> m_items;
    std::shared_ptr<const RoutingTable> m_table;
    Revision m_revision;
    /** Keys removed lately, by the revision of their removal, for hosts that ask for changes. */
    std::map<Revision, std::string> m_removed;
    /** Removals after this revision are all known. */
    Revision m_removedSince;
    TimePoint m_returnedAt{};
    Log m_log{"registry"};
};

} // namespace endivedock
