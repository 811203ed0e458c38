#include "endivedock/membership.h"

#include <algorithm>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

MemberState makeState(std::uint32_t id, std::uint32_t heartbeatCounter = 1,
                      std::uint64_t incarnation = 1)
{
    MemberState state;
    state.id = HostId(id);
    state.region = RegionId("north");
    state.zone = ZoneId("a");
    state.address = {"127.0.0.1", static_cast<std::uint16_t>(7000 + id)};
    state.incarnation = Incarnation(incarnation);
    state.version = heartbeatCounter;
    state.heartbeatCounter = heartbeatCounter;
    return state;
}

/** Simulates hosts that exchange gossip messages in each interval, with message loss. */
class GossipSimulation
{
public:
    GossipSimulation(std::uint32_t hosts, double lossRate)
        : m_lossRate(lossRate)
    {
        for (std::uint32_t id = 1; id <= hosts; ++id) {
            m_tables.emplace(id, MemberTable(makeState(id), GossipSettings{}, m_now));
            m_tables.at(id).addSeed(HostId(1 + id % hosts), RegionId("north"), ZoneId("a"),
                                    {"127.0.0.1", 7001}, m_now);
        }
    }

    void runInterval()
    {
        m_now += GossipSettings{}.interval;
        for (auto &[id, table] : m_tables) {
            if (m_dead.contains(id))
                continue;
            table.advanceHeartbeat(m_now);
            const GossipMessage message = table.makeGossipMessage(m_random);
            for (const auto &peer : table.selectGossipPeers(m_now, m_random)) {
                const bool arrives =
                        drawUnitInterval(m_random) >= m_lossRate && !m_dead.contains(peer.value());
                if (arrives && m_tables.contains(peer.value()))
                    m_tables.at(peer.value()).merge(message, m_now);
            }
        }
    }

    /**
     * @return the number of pairs of running hosts in which the first does not consider the second
     * live
     */
    int countMisjudgedPairs() const
    {
        int count = 0;
        for (const auto &[id, table] : m_tables) {
            for (const auto &[other, otherTable] : m_tables) {
                const bool bothRunning = !m_dead.contains(id) && !m_dead.contains(other);
                count += bothRunning && !table.isLive(HostId(other), m_now) ? 1 : 0;
            }
        }
        return count;
    }

    MemberTable &table(std::uint32_t id) { return m_tables.at(id); }
    void kill(std::uint32_t id) { m_dead[id] = true; }
    TimePoint now() const { return m_now; }

private:
    Random m_random{7};
    double m_lossRate;
    TimePoint m_now{Seconds(1000)};
    std::map<std::uint32_t, MemberTable> m_tables;
    std::map<std::uint32_t, bool> m_dead;
};

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(olderStatesChangeNothing);
    CPPUNIT_TEST(newerIncarnationWinsOverHeartbeats);
    CPPUNIT_TEST(seedsAreDeadUntilFirstHeartbeat);
    CPPUNIT_TEST(allHostsLearnOfEachOther);
    CPPUNIT_TEST(allHostsDetectDeadHost);
    CPPUNIT_TEST(gossipMessageSizeIsBounded);
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

    void newerIncarnationWinsOverHeartbeats()
    {
        MemberTable table(makeState(1), GossipSettings{}, m_now);
        table.merge({{makeState(2, 900, 1)}, {}}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.merge({{makeState(2, 1, 2)}, {}}, m_now).size());
        CPPUNIT_ASSERT(table.merge({{makeState(2, 901, 1)}, {}}, m_now).empty());
    }

    void seedsAreDeadUntilFirstHeartbeat()
    {
        MemberTable table(makeState(1), GossipSettings{}, m_now);
        table.addSeed(HostId(2), RegionId("north"), ZoneId("a"), {"127.0.0.1", 7002}, m_now);
        CPPUNIT_ASSERT(table.liveness(HostId(2), m_now) == Liveness::Dead);
        table.merge({{makeState(2)}, {}}, m_now);
        CPPUNIT_ASSERT(table.isLive(HostId(2), m_now));
    }

    void allHostsLearnOfEachOther()
    {
        for (const std::uint32_t hosts : {4u, 14u, 64u}) {
            GossipSimulation gossip(hosts, 0.1);
            for (int i = 0; i < 40; ++i)
                gossip.runInterval();
            // Because of message loss, one pair in a hundred may be misjudged at any moment.
            CPPUNIT_ASSERT(gossip.countMisjudgedPairs() * 100 <= static_cast<int>(hosts * hosts));
        }
    }

    void allHostsDetectDeadHost()
    {
        GossipSimulation gossip(14, 0.05);
        for (int i = 0; i < 30; ++i)
            gossip.runInterval();
        gossip.kill(5);
        for (int i = 0; i < 24; ++i)
            gossip.runInterval();
        for (std::uint32_t id = 1; id <= 14; ++id) {
            if (id != 5)
                CPPUNIT_ASSERT(gossip.table(id).liveness(HostId(5), gossip.now()) ==
                               Liveness::Dead);
        }
    }

    void gossipMessageSizeIsBounded()
    {
        Random random(1);
        MemberTable table(makeState(1), GossipSettings{}, m_now);
        GossipMessage message;
        for (std::uint32_t id = 2; id <= 300; ++id)
            message.members.push_back(makeState(id));
        table.merge(message, m_now);
        CPPUNIT_ASSERT_EQUAL(GossipSettings{}.maxStatesPerMessage,
                             table.makeGossipMessage(random).members.size());
        CPPUNIT_ASSERT_EQUAL(GossipSettings{}.maxHeartbeatsPerMessage,
                             table.makeGossipMessage(random).heartbeats.size());
        CPPUNIT_ASSERT(table.selectGossipPeers(m_now, random).size() <=
                       GossipSettings{}.fanout + 1);
    }

private:
    TimePoint m_now{Seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
