#include "endivedock/shards.h"

#include "../support.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::soakNumber;

namespace {

ViewMember makeMember(std::uint32_t id)
{
    return {HostId(id), RegionId("north"), ZoneId(std::string(1, static_cast<char>('a' + id % 4))),
            Address{"127.0.0.1", static_cast<std::uint16_t>(7000 + id)}, Incarnation(1)};
}

std::vector<ViewMember> makeMembers(std::uint32_t count)
{
    std::vector<ViewMember> members;
    for (std::uint32_t id = 1; id <= count; ++id)
        members.push_back(makeMember(id));
    return members;
}

/**
 * Hosts that ask each other for the leases of all shards, over messages that are lost and late.
 * Hosts restart, are paused, and are cut off. No shard may have two holders at any time.
 */
class World
{
public:
    explicit World(std::uint64_t seed)
        : m_random(seed)
        , m_map(makeMembers(hostCount))
    {
        for (std::uint32_t id = 1; id <= hostCount; ++id)
            start(id);
    }

    void step()
    {
        m_now += Milliseconds(20);
        const auto id = static_cast<std::uint32_t>(1 + drawBelow(m_random, hostCount));
        Host &host = *m_hosts.at(id);
        const std::uint64_t event = drawBelow(m_random, 600);
        if (event == 0)
            start(id);
        else if (event < 3)
            host.pausedUntil =
                    m_now + Milliseconds(static_cast<std::int64_t>(drawBelow(m_random, 5000)));
        else if (event < 4)
            host.cut = true;
        else if (event < 12)
            host.cut = false; // Cuts heal, or nobody would hold anything.
        for (auto &[hostId, each] : m_hosts)
            run(hostId, *each);
        deliver();
        checkHolders();
    }

    int doubled() const { return m_doubled; }
    int held() const { return m_held; }
    /** Shards and steps at which a majority of the replicas had been able to grant for long. */
    int holdable() const { return m_holdable; }
    int heldOfHoldable() const { return m_heldOfHoldable; }

private:
    static constexpr std::uint32_t hostCount = 5;
    /** A lease runs out, the last replica in the order waits its delay, and one message is slow. */
    static constexpr Milliseconds takeoverTime{1500 + 2 * 250 + 600 + 1000};

    struct Host
    {
        explicit Host(TimePoint now)
            : witness(LeaseSettings{}, now)
            , holder(LeaseSettings{})
            , startedAt(now)
        {
        }
        LeaseGrantor witness;
        LeaseHolder holder;
        Incarnation life;
        TimePoint startedAt;
        TimePoint pausedUntil{};
        TimePoint renewAt{};
        bool cut = false;
    };
    struct Message
    {
        std::uint32_t from;
        std::uint32_t to;
        Incarnation life;
        bool isAnswer;
        std::vector<ShardId> shards;
        TimePoint sentAt;
        TimePoint arrivesAt;
    };

    void start(std::uint32_t id)
    {
        m_hosts[id] = std::make_unique<Host>(m_now);
        Host &host = *m_hosts.at(id);
        host.life = Incarnation(++m_lives);
        host.witness.installView(m_map, HostId(id), ViewNumber(1), m_now);
        host.holder.installView(m_map, HostId(id));
    }

    void run(std::uint32_t id, Host &host)
    {
        if (m_now < host.pausedUntil || m_now < host.renewAt)
            return;
        host.renewAt = m_now + LeaseSettings{}.renewalInterval;
        std::map<std::uint32_t, std::vector<ShardId>> wanted;
        for (std::size_t i = 0; i < shardCount; ++i) {
            const ShardId shard(static_cast<std::uint16_t>(i));
            const std::size_t rank = m_map.rank(shard, HostId(id));
            const LeaseAction step = host.holder.nextAction(shard, host.witness, rank, m_now);
            if (step == LeaseAction::Withdraw) {
                host.holder.drop(shard);
                host.witness.release(shard, HostId(id), host.life, m_now);
            }
            if (step != LeaseAction::Request)
                continue;
            for (const auto &replica : m_map.replicas(shard))
                wanted[replica.value()].push_back(shard);
        }
        for (auto &[replica, shards] : wanted)
            send({id, replica, host.life, false, std::move(shards), m_now, {}});
    }

    void send(Message message)
    {
        if (drawBelow(m_random, 20) == 0)
            return;
        const auto delay = drawBelow(m_random, 10) == 0 ? 1000 : 30;
        message.arrivesAt =
                m_now + Milliseconds(static_cast<std::int64_t>(drawBelow(m_random, delay)));
        m_messages.push_back(std::move(message));
    }

    void deliver()
    {
        std::deque<Message> later;
        std::deque<Message> due;
        for (auto &message : m_messages)
            (message.arrivesAt > m_now ? later : due).push_back(std::move(message));
        m_messages = std::move(later);
        for (auto &message : due)
            take(std::move(message));
    }

    void take(Message message)
    {
        Host &host = *m_hosts.at(message.to);
        if (m_now < host.pausedUntil) {
            message.arrivesAt = host.pausedUntil; // It waits in the socket.
            m_messages.push_back(std::move(message));
            return;
        }
        if (message.from != message.to && (host.cut || m_hosts.at(message.from)->cut))
            return;
        if (message.isAnswer) {
            // A host's own grant counts at once, see below.
            if (message.life != host.life || message.from == message.to)
                return;
            for (const auto &shard : message.shards)
                host.holder.recordGrant(shard, HostId(message.from), message.sentAt);
            return;
        }
        std::vector<ShardId> granted;
        for (const auto &shard : message.shards) {
            if (host.witness.grant(shard, ViewNumber(1), HostId(message.from), message.life, true,
                                   m_now))
                granted.push_back(shard);
        }
        if (message.from == message.to) {
            for (const auto &shard : granted)
                host.holder.recordGrant(shard, HostId(message.from), message.sentAt);
        }
        send({message.to,
              message.from,
              message.life,
              true,
              std::move(granted),
              message.sentAt,
              {}});
    }

    bool able(std::uint32_t id) const
    {
        const Host &host = *m_hosts.at(id);
        return !host.cut && m_now >= host.pausedUntil &&
               m_now >= host.startedAt + LeaseSettings{}.leaseDuration;
    }

    /** Whether a majority of the shard's replicas has been able to grant for long enough. */
    bool holdableNow(ShardId shard)
    {
        const Replicas &replicas = m_map.replicas(shard);
        const auto count = std::count_if(replicas.begin(), replicas.end(),
                                         [this](HostId id) { return able(id.value()); });
        TimePoint &since = m_ableSince[shard];
        if (static_cast<std::size_t>(count) < majorityOf(replicas))
            since = m_now;
        return m_now - since > takeoverTime;
    }

    /** A paused host does nothing with a lease, but it may still believe in it. */
    void checkHolders()
    {
        for (std::size_t i = 0; i < shardCount; ++i) {
            int holders = 0;
            for (const auto &[id, host] : m_hosts)
                holders +=
                        host->holder.holds(ShardId(static_cast<std::uint16_t>(i)), m_now) ? 1 : 0;
            m_doubled += holders > 1 ? 1 : 0;
            m_held += holders > 0 ? 1 : 0;
            if (!holdableNow(ShardId(static_cast<std::uint16_t>(i))))
                continue;
            ++m_holdable;
            m_heldOfHoldable += holders > 0 ? 1 : 0;
        }
    }

    Random m_random;
    ShardMap m_map;
    TimePoint m_now{Seconds(1000)};
    std::map<std::uint32_t, std::unique_ptr<Host>> m_hosts;
    std::deque<Message> m_messages;
    std::uint64_t m_lives = 0;
    int m_doubled = 0;
    int m_held = 0;
    int m_holdable = 0;
    int m_heldOfHoldable = 0;
    std::map<ShardId, TimePoint> m_ableSince;
};

} // namespace

class ShardsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShardsTest);
    CPPUNIT_TEST(replicasLieInDifferentZones);
    CPPUNIT_TEST(memberThatGoesMovesOnlyItsShards);
    CPPUNIT_TEST(viewsReadBack);
    CPPUNIT_TEST(restartedWitnessWaits);
    CPPUNIT_TEST(splitBidsEnd);
    CPPUNIT_TEST(minorityChangesNoView);
    CPPUNIT_TEST(viewWaitsForItsMembers);
    CPPUNIT_TEST(neverTwoHolders);
    CPPUNIT_TEST(seedsThatFailed);
    CPPUNIT_TEST_SUITE_END();

public:
    void replicasLieInDifferentZones()
    {
        const auto members = makeMembers(14);
        const ShardMap map(members);
        for (std::size_t i = 0; i < shardCount; ++i) {
            const Replicas &replicas = map.replicas(ShardId(static_cast<std::uint16_t>(i)));
            CPPUNIT_ASSERT_EQUAL(replicaCount, replicas.size());
            std::set<ZoneId> zones;
            for (const auto &id : replicas)
                zones.insert(findMember(members, id)->zone);
            CPPUNIT_ASSERT_EQUAL(replicaCount, zones.size());
        }
    }

    void memberThatGoesMovesOnlyItsShards()
    {
        auto members = makeMembers(14);
        const ShardMap before(members);
        members.erase(members.begin() + 4);
        const ShardMap after(members);
        for (std::size_t i = 0; i < shardCount; ++i) {
            const ShardId shard(static_cast<std::uint16_t>(i));
            if (!before.isReplica(shard, HostId(5)))
                CPPUNIT_ASSERT(before.replicas(shard) == after.replicas(shard));
        }
    }

    void viewsReadBack()
    {
        View view{ViewNumber(9), makeMembers(3), ViewNumber(4), makeMembers(2)};
        const View read = parseView(formatView(view), ViewNumber(9));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read.members.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.previous.size());
        CPPUNIT_ASSERT(read.previousNumber == ViewNumber(4));
        CPPUNIT_ASSERT(read.members[1].address == view.members[1].address);
    }

    void restartedWitnessWaits()
    {
        const TimePoint now{Seconds(10)};
        const ShardMap map(makeMembers(3));
        LeaseGrantor witness(LeaseSettings{}, now);
        witness.installView(map, HostId(1), ViewNumber(1), now);
        const ShardId shard(0);
        CPPUNIT_ASSERT(!witness.grant(shard, ViewNumber(1), HostId(2), Incarnation(1), true, now));
        const TimePoint later = now + LeaseSettings{}.leaseDuration;
        CPPUNIT_ASSERT(
                !witness.grant(shard, ViewNumber(1), HostId(2), Incarnation(1), false, later));
        CPPUNIT_ASSERT(witness.grant(shard, ViewNumber(1), HostId(2), Incarnation(1), true, later));
        CPPUNIT_ASSERT(
                !witness.grant(shard, ViewNumber(1), HostId(3), Incarnation(1), true, later));
        CPPUNIT_ASSERT(
                !witness.grant(shard, ViewNumber(1), HostId(2), Incarnation(2), true, later));
        witness.release(shard, HostId(2), Incarnation(1), later);
        CPPUNIT_ASSERT(witness.grant(shard, ViewNumber(1), HostId(3), Incarnation(1), true, later));
    }

    /** With the third replica gone, two that each grant themselves had no majority for good. */
    void splitBidsEnd()
    {
        const ShardMap map(makeMembers(3));
        const ShardId shard(0);
        const Replicas &replicas = map.replicas(shard);
        TimePoint now{Seconds(10)};
        std::vector<LeaseGrantor> witnesses;
        std::vector<LeaseHolder> holders;
        for (std::size_t i = 0; i < 2; ++i) {
            witnesses.emplace_back(LeaseSettings{}, now - Seconds(5));
            holders.emplace_back(LeaseSettings{});
            witnesses[i].installView(map, replicas[i], ViewNumber(1), now);
            holders[i].installView(map, replicas[i]);
            const Incarnation life(i + 1);
            CPPUNIT_ASSERT(witnesses[i].grant(shard, ViewNumber(1), replicas[i], life, true, now));
            holders[i].recordGrant(shard, replicas[i], now);
        }
        bool held = false;
        for (int round = 0; round < 10 && !held; ++round, now += LeaseSettings{}.renewalInterval) {
            for (std::size_t i = 0; i < 2; ++i) {
                const LeaseAction step = holders[i].nextAction(shard, witnesses[i], i, now);
                const Incarnation life(i + 1);
                if (step == LeaseAction::Withdraw) {
                    holders[i].drop(shard);
                    witnesses[i].release(shard, replicas[i], life, now);
                }
                for (std::size_t to = 0; step == LeaseAction::Request && to < 2; ++to) {
                    if (witnesses[to].grant(shard, ViewNumber(1), replicas[i], life, true, now))
                        holders[i].recordGrant(shard, replicas[to], now);
                }
                held = held || holders[i].holds(shard, now);
            }
        }
        CPPUNIT_ASSERT(held);
    }

    void minorityChangesNoView()
    {
        const View current{ViewNumber(3), makeMembers(5), ViewNumber(2), makeMembers(4)};
        auto candidates = makeCandidates(current, 2);
        CPPUNIT_ASSERT(!proposeView(current, candidates, false));
        for (auto &candidate : candidates)
            candidate.listed = candidate.isLive;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             proposeView(current, candidates, false)->members.size());
        candidates = makeCandidates(current, 3);
        const auto next = proposeView(current, candidates, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, next->members.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, next->previous.size());
    }

    void viewWaitsForItsMembers()
    {
        const View current{ViewNumber(3), makeMembers(5), ViewNumber(2), makeMembers(4)};
        auto candidates = makeCandidates(current, 4);
        candidates[0].activeView = ViewNumber(2);
        CPPUNIT_ASSERT(!proposeView(current, candidates, false));
        CPPUNIT_ASSERT(proposeView(current, candidates, true));
    }

    void neverTwoHolders()
    {
        const std::uint64_t first = soakNumber("SOAK_FIRST", 1);
        const std::uint64_t seeds = soakNumber("SOAK_SEEDS", 40);
        for (std::uint64_t seed = first; seed < first + seeds; ++seed)
            checkWorld(seed);
    }

    /** Split bids kept most shards without a holder in these. */
    void seedsThatFailed()
    {
        for (const std::uint64_t seed : {123, 232, 440, 838})
            checkWorld(seed);
    }

private:
    static void checkWorld(std::uint64_t seed)
    {
        World world(seed);
        constexpr int steps = 1500;
        for (int i = 0; i < steps; ++i)
            world.step();
        const std::string about = "seed " + std::to_string(seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(about, 0, world.doubled());
        // Most shards must have a holder most of the time, lest the check be idle.
        CPPUNIT_ASSERT_MESSAGE(about + " held " + std::to_string(world.held()),
                               world.held() > steps * static_cast<int>(shardCount) / 3);
        CPPUNIT_ASSERT_MESSAGE(about + " held " + std::to_string(world.heldOfHoldable()) + " of " +
                                       std::to_string(world.holdable()),
                               world.heldOfHoldable() * 2 > world.holdable());
    }

    static std::vector<MemberCandidate> makeCandidates(const View &view, std::size_t live)
    {
        std::vector<MemberCandidate> candidates;
        for (const auto &member : view.members) {
            const bool alive = candidates.size() < live;
            candidates.push_back({member, alive, !alive, false, true, view.number});
        }
        return candidates;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardsTest);
