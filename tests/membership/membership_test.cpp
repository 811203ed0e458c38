#include "endivedock/membership.h"

#include <algorithm>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

MemberState makeState(std::uint32_t id, std::uint32_t beat = 1, std::uint64_t life = 1)
{
    MemberState state;
    state.id = HostId(id);
    state.region = RegionId("north");
    state.zone = ZoneId("a");
    state.address = {"127.0.0.1", static_cast<std::uint16_t>(7000 + id)};
    state.incarnation = Incarnation(life);
    state.version = beat;
    state.beat = beat;
    return state;
}

/** Some hosts that tell each other what they know at each interval, with lost messages. */
class Gossip
{
public:
    Gossip(std::uint32_t hosts, double lost)
        : m_lost(lost)
    {
        for (std::uint32_t id = 1; id <= hosts; ++id) {
            m_tables.emplace(id, MemberTable(makeState(id), GossipSettings{}, m_now));
            m_tables.at(id).addSeed(HostId(1 + id % hosts), RegionId("north"), ZoneId("a"),
                                    {"127.0.0.1", 7001}, m_now);
        }
    }

    void interval()
    {
        m_now += GossipSettings{}.interval;
        for (auto &[id, table] : m_tables) {
            if (m_dead.contains(id))
                continue;
            table.beat(m_now);
            const Heartbeat heartbeat = table.makeHeartbeat(m_random);
            for (const auto &peer : table.gossipPeers(m_now, m_random)) {
                const bool arrives = drawUnit(m_random) >= m_lost && !m_dead.contains(peer.value());
                if (arrives && m_tables.contains(peer.value()))
                    m_tables.at(peer.value()).merge(heartbeat, m_now);
            }
        }
    }

    /** @return pairs of running hosts in which one does not take the other for live */
    int misjudged() const
    {
        int count = 0;
        for (const auto &[id, table] : m_tables) {
            for (const auto &[other, otherTable] : m_tables) {
                const bool both = !m_dead.contains(id) && !m_dead.contains(other);
                count += both && !table.live(HostId(other), m_now) ? 1 : 0;
            }
        }
        return count;
    }

    MemberTable &table(std::uint32_t id) { return m_tables.at(id); }
    void kill(std::uint32_t id) { m_dead[id] = true; }
    TimePoint now() const { return m_now; }

private:
    Random m_random{7};
    double m_lost;
    TimePoint m_now{Seconds(1000)};
    std::map<std::uint32_t, MemberTable> m_tables;
    std::map<std::uint32_t, bool> m_dead;
};

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(olderStatesChangeNothing);
    CPPUNIT_TEST(restartOutweighsBeats);
    CPPUNIT_TEST(seedsAreDeadUntilTheySpeak);
    CPPUNIT_TEST(allLearnOfAll);
    CPPUNIT_TEST(deadHostIsSeenByAll);
    CPPUNIT_TEST(heartbeatDoesNotGrow);
    CPPUNIT_TEST_SUITE_END();

public:
    void olderStatesChangeNothing()
    {
        MemberTable table(makeState(1), GossipSettings{}, m_now);
        MemberState newer = makeState(2, 9);
        newer.configuration = Revision(5);
        table.merge({{newer}, {}}, m_now);
        CPPUNIT_ASSERT(table.merge({{makeState(2, 8)}, {}}, m_now).empty());
        CPPUNIT_ASSERT(table.find(HostId(2))->configuration == Revision(5));
        CPPUNIT_ASSERT(table.merge({{makeState(1, 99)}, {}}, m_now).empty());
    }

    void restartOutweighsBeats()
    {
        MemberTable table(makeState(1), GossipSettings{}, m_now);
        table.merge({{makeState(2, 900, 1)}, {}}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.merge({{makeState(2, 1, 2)}, {}}, m_now).size());
        CPPUNIT_ASSERT(table.merge({{makeState(2, 901, 1)}, {}}, m_now).empty());
    }

    void seedsAreDeadUntilTheySpeak()
    {
        MemberTable table(makeState(1), GossipSettings{}, m_now);
        table.addSeed(HostId(2), RegionId("north"), ZoneId("a"), {"127.0.0.1", 7002}, m_now);
        CPPUNIT_ASSERT(table.liveness(HostId(2), m_now) == Liveness::Dead);
        table.merge({{makeState(2)}, {}}, m_now);
        CPPUNIT_ASSERT(table.live(HostId(2), m_now));
    }

    void allLearnOfAll()
    {
        for (const std::uint32_t hosts : {4u, 14u, 64u}) {
            Gossip gossip(hosts, 0.1);
            for (int i = 0; i < 40; ++i)
                gossip.interval();
            // One interval in a hundred may be unlucky for one of the pairs.
            CPPUNIT_ASSERT(gossip.misjudged() * 100 <= static_cast<int>(hosts * hosts));
        }
    }

    void deadHostIsSeenByAll()
    {
        Gossip gossip(14, 0.05);
        for (int i = 0; i < 30; ++i)
            gossip.interval();
        gossip.kill(5);
        for (int i = 0; i < 24; ++i)
            gossip.interval();
        for (std::uint32_t id = 1; id <= 14; ++id) {
            if (id != 5)
                CPPUNIT_ASSERT(gossip.table(id).liveness(HostId(5), gossip.now()) ==
                               Liveness::Dead);
        }
    }

    void heartbeatDoesNotGrow()
    {
        Random random(1);
        MemberTable table(makeState(1), GossipSettings{}, m_now);
        Heartbeat all;
        for (std::uint32_t id = 2; id <= 300; ++id)
            all.members.push_back(makeState(id));
        table.merge(all, m_now);
        CPPUNIT_ASSERT_EQUAL(GossipSettings{}.statesPerHeartbeat,
                             table.makeHeartbeat(random).members.size());
        CPPUNIT_ASSERT_EQUAL(GossipSettings{}.beatsPerHeartbeat,
                             table.makeHeartbeat(random).beats.size());
        CPPUNIT_ASSERT(table.gossipPeers(m_now, random).size() <= GossipSettings{}.fanout + 1);
    }

private:
    TimePoint m_now{Seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
