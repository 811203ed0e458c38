#include "registry_entries.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <variant>

using namespace endivedock;
using endivedock::testing::parseEntry;

namespace {

/** A store that keeps the state of each revision, and drops its history on request. */
class StoreModel
{
public:
    using State = std::map<std::string, Revision>;

    void change(const std::string &key, bool isPut)
    {
        State next = m_states.back();
        const Revision revision(static_cast<std::int64_t>(m_states.size()));
        if (isPut)
            next[key] = revision;
        else if (next.erase(key) == 0)
            return;
        m_states.push_back(std::move(next));
        m_history.push_back(
                {key, isPut ? std::optional<std::string>("quotes") : std::nullopt, revision});
    }
    void compact() { m_compactedUpTo = revision(); }

    Revision revision() const { return Revision(static_cast<std::int64_t>(m_states.size()) - 1); }
    bool isCompacted(Revision after) const { return after < m_compactedUpTo; }
    const State &stateAt(Revision revision) const
    {
        return m_states.at(static_cast<std::size_t>(revision.value()));
    }
    StoreSnapshot listing() const
    {
        StoreSnapshot snapshot{revision(), {}};
        for (const auto &[key, changedAt] : m_states.back())
            snapshot.entries.push_back({key, "quotes", changedAt});
        return snapshot;
    }
    StoreChanges changesAfter(Revision after) const
    {
        StoreChanges changes{revision(), {}};
        for (const auto &change : m_history) {
            if (change.modRevision > after)
                changes.changes.push_back(change);
        }
        return changes;
    }

private:
    std::vector<State> m_states{{}};
    std::vector<StoreChange> m_history;
    Revision m_compactedUpTo;
};

} // namespace

/**
 * Copies of several hosts that read a store with a compacted history, exchange changes that arrive
 * late or not at all, and restart. A copy must be equal to the store's state of its revision.
 */
class RegistryConvergenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegistryConvergenceTest);
    CPPUNIT_TEST(copiesEqualTheStoreAtEachRevision);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { configureLog(LogLevel::Error); }

    /** The variable REGISTRY_SEEDS sets the number of seeds. */
    void copiesEqualTheStoreAtEachRevision()
    {
        const char *seeds = std::getenv("REGISTRY_SEEDS");
        const std::uint64_t lastSeed = seeds ? std::stoull(seeds) : 300;
        for (std::uint64_t seed = 1; seed <= lastSeed; ++seed)
            play(seed);
    }

private:
    using Message = std::variant<StoreSnapshot, StoreChanges, RegistryDelta>;
    struct Delivery
    {
        std::size_t host = 0;
        std::uint64_t incarnation = 0;
        int at = 0;
        Message message;
    };
    struct Host
    {
        Registry registry{&parseEntry};
        std::uint64_t incarnation = 0;
    };

    static void play(std::uint64_t seed)
    {
        Random random(seed);
        const auto draw = [&random](int limit) {
            return static_cast<int>(drawBelow(random, static_cast<std::uint64_t>(limit)));
        };
        const int hostCount = 2 + draw(6);
        const int keyCount = 2 + draw(12);
        const int maxDelay = 1 + draw(40);
        const int changeShare = 1 + draw(8);
        const int compactionInterval = 5 + draw(100);
        const bool hasOutages = draw(3) == 0;
        StoreModel store;
        std::vector<Host> hosts(static_cast<std::size_t>(hostCount));
        std::deque<Delivery> deliveries;
        for (int step = 0; step < 600; ++step) {
            const TimePoint now = TimePoint(Seconds(1000)) + Milliseconds(step * 20);
            if (draw(8) < changeShare)
                store.change("target:" + std::to_string(draw(keyCount)), draw(2) == 0);
            if (draw(compactionInterval) == 0)
                store.compact();
            const auto index = static_cast<std::size_t>(draw(hostCount));
            Host &host = hosts[index];
            const Revision known = host.registry.revision();
            const auto deliver = [&](std::size_t to, Message message) {
                deliveries.push_back(
                        {to, hosts[to].incarnation, step + draw(maxDelay), std::move(message)});
            };
            const int action = draw(100);
            if (action < 1) {
                ++host.incarnation;
                host.registry = Registry(&parseEntry);
            } else if (action < 3 && hasOutages) {
                host.registry.recordStoreReconnect(now);
            } else if (action < 30) {
                if (known == Revision(0) || store.isCompacted(known))
                    deliver(index, store.listing());
                else
                    deliver(index, store.changesAfter(known));
            } else if (action < 35) {
                deliver(index, store.listing());
            } else if (action < 80) {
                const auto &source = hosts[static_cast<std::size_t>(draw(hostCount))].registry;
                if (source.revision() > known)
                    deliver(index, source.deltaSince(known, now));
            } else if (action < 90 && known > Revision(1)) {
                // A broadcast of the latest changes, which some hosts do not receive.
                const Revision from(known.value() - 1 - draw(3));
                const RegistryDelta delta =
                        host.registry.deltaSince(std::max(from, Revision(1)), now);
                for (std::size_t to = 0; to < hosts.size(); ++to) {
                    if (to != index && draw(2) == 0)
                        deliver(to, delta);
                }
            }
            for (std::size_t i = 0; i < deliveries.size();) {
                if (deliveries[i].at > step) {
                    ++i;
                    continue;
                }
                const Delivery due = std::move(deliveries[i]);
                deliveries.erase(deliveries.begin() + static_cast<std::ptrdiff_t>(i));
                Host &receiver = hosts[due.host];
                if (receiver.incarnation != due.incarnation)
                    continue;
                apply(receiver.registry, due.message, now);
                assertEqual(store, receiver.registry, now,
                            "seed " + std::to_string(seed) + ", step " + std::to_string(step));
            }
        }
    }

    static void apply(Registry &registry, const Message &message, TimePoint now)
    {
        if (const auto *snapshot = std::get_if<StoreSnapshot>(&message))
            registry.applySnapshot(*snapshot, now);
        else if (const auto *changes = std::get_if<StoreChanges>(&message))
            registry.applyChanges(*changes, now);
        else
            registry.applyDelta(std::get<RegistryDelta>(message), now);
    }

    static void assertEqual(const StoreModel &store, Registry registry, TimePoint now,
                            const std::string &message)
    {
        registry.removeExpiredEntries(now + Registry::expiredTargetRetention * 2);
        const StoreModel::State &state = store.stateAt(registry.revision());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, state.size(),
                                     registry.targetsOf(ServiceId("quotes")).size());
        for (const auto &[key, changedAt] : state) {
            const StoreEntry *entry = registry.find(key);
            CPPUNIT_ASSERT_MESSAGE(message + ", " + key, entry != nullptr);
            CPPUNIT_ASSERT_MESSAGE(message + ", " + key, entry->modRevision == changedAt);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryConvergenceTest);
