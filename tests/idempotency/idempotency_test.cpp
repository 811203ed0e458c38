#include "endivedock/idempotency.h"

#include "../support.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::soakNumber;

namespace {

ViewMember makeMember(std::uint32_t id, std::uint64_t incarnation)
{
    return {HostId(id), RegionId("north"), ZoneId(std::string(1, static_cast<char>('a' + id % 4))),
            Address{"127.0.0.1", static_cast<std::uint16_t>(7000 + id)}, Incarnation(incarnation)};
}

constexpr Milliseconds recordRetention{60'000};

/**
 * Simulates hosts that claim keys, with real acceptors and tallies. Messages are lost, delayed,
 * duplicated and reordered. Hosts crash, restart without records, and are partitioned. The view
 * changes by the same rules as in the daemon. Counts the keys whose requests run twice.
 */
class ClaimSimulation
{
public:
    explicit ClaimSimulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::uint32_t id = 1; id <= hostCount; ++id)
            m_hosts.emplace(id, Host{});
        for (auto &[id, host] : m_hosts)
            restart(id);
        m_view.number = ViewNumber(1);
        for (std::uint32_t id = 1; id <= hostCount - 1; ++id)
            m_view.members.push_back(makeMember(id, m_hosts.at(id).incarnation));
        for (auto &[id, host] : m_hosts)
            host.acceptor->installView(m_view, m_now);
    }

    void step()
    {
        m_now += Milliseconds(static_cast<std::int64_t>(drawBelow(m_random, 40)));
        // Faults are rare enough for the replicas to recover in between; otherwise no claim would
        // win.
        const std::uint64_t event = drawBelow(m_random, 1000);
        if (event < 3)
            crash();
        else if (event < 6)
            partitionHost();
        else if (event < 12)
            healPartitions();
        else if (event < 16)
            changeView();
        else if (event < 80)
            syncRecords();
        else if (event < 140)
            claim();
        else
            deliver();
        finishOldestRun();
    }

    int won() const { return m_won; }
    int duplicateRuns() const { return m_duplicateRuns; }

private:
    static constexpr std::uint32_t hostCount = 6;
    static constexpr std::uint64_t keyCount = 40;

    struct Host
    {
        std::unique_ptr<RunAcceptor> acceptor;
        std::uint64_t incarnation = 0;
        bool isPartitioned = false;
        TimePoint partitionedAt{};
    };
    struct Claim
    {
        ClaimRequest request;
        ClaimTally tally;
        std::uint32_t host;
        TimePoint startedAt;
        bool hasEnded = false;
    };
    struct Message
    {
        std::uint32_t from;
        std::uint32_t to;
        std::variant<ClaimRequest, ClaimAnswer, ClaimOutcome> body;
    };

    void restart(std::uint32_t id)
    {
        Host &host = m_hosts.at(id);
        ++host.incarnation;
        host.acceptor = std::make_unique<RunAcceptor>(HostId(id), Incarnation(host.incarnation),
                                                      RunSettings{recordRetention});
    }

    void crash()
    {
        const auto id = static_cast<std::uint32_t>(1 + drawBelow(m_random, hostCount));
        restart(id);
        m_hosts.at(id).acceptor->installView(m_view, m_now);
        for (auto &[claimId, claim] : m_claims)
            claim.hasEnded = claim.hasEnded || claim.host == id;
    }

    void partitionHost()
    {
        Host &host = m_hosts.at(static_cast<std::uint32_t>(1 + drawBelow(m_random, hostCount)));
        if (!host.isPartitioned)
            host.partitionedAt = m_now;
        host.isPartitioned = true;
    }

    void healPartitions()
    {
        for (auto &[id, host] : m_hosts) {
            host.isPartitioned = false;
            host.acceptor->installView(m_view, m_now);
        }
    }

    /** A host detects its partition after 2.5 s, as the daemon does by missing heartbeats. */
    bool isConnected(const Host &host) const
    {
        return !host.isPartitioned || m_now - host.partitionedAt < Milliseconds(2500);
    }

    bool isViewEstablished() const
    {
        return std::all_of(
                m_view.members.begin(), m_view.members.end(), [this](const auto &member) {
                    const Host &host = m_hosts.at(member.id.value());
                    return host.isPartitioned || (host.acceptor->view().number == m_view.number &&
                                                  host.acceptor->isActive());
                });
    }

    void changeView()
    {
        if (!isViewEstablished())
            return;
        const auto removedHost = static_cast<std::uint32_t>(1 + drawBelow(m_random, hostCount));
        View next;
        next.number = ViewNumber(m_view.number.value() + 1);
        next.previousNumber = m_view.number;
        next.previous = m_view.members;
        for (std::uint32_t id = 1; id <= hostCount; ++id) {
            if (id != removedHost)
                next.members.push_back(makeMember(id, m_hosts.at(id).incarnation));
        }
        m_view = next;
        for (auto &[id, host] : m_hosts) {
            if (!host.isPartitioned && drawBelow(m_random, 3) > 0)
                host.acceptor->installView(m_view, m_now);
        }
    }

    void syncRecords()
    {
        for (auto &[id, host] : m_hosts) {
            if (host.isPartitioned)
                continue;
            for (const auto &shard : host.acceptor->recoveringShards()) {
                for (const auto &source : host.acceptor->syncSources(shard)) {
                    Host &other = m_hosts.at(source.id.value());
                    if (other.isPartitioned || drawBelow(m_random, 2) == 0)
                        continue;
                    const RecordSyncRequest request{host.acceptor->view(), {shard}};
                    const ReplicaIncarnation requester{HostId(id), Incarnation(host.incarnation)};
                    host.acceptor->mergeRecords(
                            source.id, other.acceptor->handleSyncRequest(request, requester, m_now),
                            m_now);
                }
            }
        }
    }

    void claim()
    {
        const auto id = static_cast<std::uint32_t>(1 + drawBelow(m_random, hostCount));
        Host &host = m_hosts.at(id);
        const IdempotencyKeyHash key(drawBelow(m_random, keyCount));
        const ClaimId claimId{HostId(id), RequestId(++m_lastRequest)};
        const RunAcceptor &acceptor = *host.acceptor;
        const Claim claim{{acceptor.view().number, key, claimId},
                          ClaimTally(acceptor.map().replicas(shardOf(key))),
                          id,
                          m_now};
        send(claim);
        m_claims.emplace(claimId, claim);
    }

    void send(const Claim &claim)
    {
        for (const auto &replica : claim.tally.unansweredReplicas())
            push({claim.host, replica.value(), claim.request});
    }

    void push(Message message)
    {
        m_messages.push_back(message);
        if (drawBelow(m_random, 10) == 0)
            m_messages.push_back(std::move(message));
    }

    void deliver()
    {
        if (m_messages.empty())
            return;
        const std::size_t position = drawBelow(m_random, m_messages.size());
        const Message message = m_messages[position];
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(position));
        const bool isLost = drawBelow(m_random, 15) == 0;
        const bool isUnreachable =
                message.from != message.to &&
                (m_hosts.at(message.from).isPartitioned || m_hosts.at(message.to).isPartitioned);
        if (isLost || isUnreachable)
            return;
        std::visit([this, &message](const auto &body) { handle(message, body); }, message.body);
    }

    void handle(const Message &message, const ClaimRequest &request)
    {
        Host &host = m_hosts.at(message.to);
        push({message.to, message.from, host.acceptor->claim(request, isConnected(host), m_now)});
    }

    void handle(const Message &message, const ClaimAnswer &answer)
    {
        const auto found = m_claims.find(answer.claim);
        if (found == m_claims.end() || found->second.hasEnded)
            return;
        Claim &claim = found->second;
        if (m_now - claim.startedAt >= RunSettings{}.claimTimeout) {
            claim.hasEnded = true; // The daemon also abandons a claim after claimTimeout.
            sendFinish(claim, true, RunState::MayHaveRun);
            return;
        }
        if (answer.view != claim.request.view)
            return;
        claim.tally.addAnswer(HostId(message.from), answer);
        const auto decision = claim.tally.decide();
        if (!decision)
            return;
        claim.hasEnded = true;
        if (!decision->won) {
            sendFinish(claim, true, RunState::MayHaveRun);
            return;
        }
        ++m_won;
        const IdempotencyKeyHash key = claim.request.key;
        const auto previousRun = m_runs.find(key);
        // A request with the same key may run again only after recordRetention.
        if (previousRun != m_runs.end() && m_now - previousRun->second < recordRetention)
            ++m_duplicateRuns;
        m_runs[key] = m_now;
        m_running.push_back(claim);
    }

    void handle(const Message &message, const ClaimOutcome &outcome)
    {
        m_hosts.at(message.to).acceptor->finish(outcome, m_now);
    }

    void sendFinish(const Claim &claim, bool notRun, RunState state)
    {
        const Host &host = m_hosts.at(claim.host);
        for (const auto &replica : host.acceptor->map().replicas(shardOf(claim.request.key)))
            push({claim.host, replica.value(),
                  ClaimOutcome{claim.request.key, claim.request.claim, notRun, state}});
    }

    void finishOldestRun()
    {
        if (m_running.empty() || drawBelow(m_random, 20) > 0)
            return;
        const Claim claim = m_running.front();
        m_running.pop_front();
        const bool notRun = drawBelow(m_random, 4) == 0;
        if (notRun)
            m_runs.erase(claim.request.key);
        sendFinish(claim, notRun, RunState::Answered);
    }

    Random m_random;
    TimePoint m_now{Seconds(1000)};
    std::map<std::uint32_t, Host> m_hosts;
    View m_view;
    std::deque<Message> m_messages;
    std::map<ClaimId, Claim> m_claims;
    std::deque<Claim> m_running;
    std::map<IdempotencyKeyHash, TimePoint> m_runs;
    std::uint64_t m_lastRequest = 0;
    int m_won = 0;
    int m_duplicateRuns = 0;
};

} // namespace

class IdempotencyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdempotencyTest);
    CPPUNIT_TEST(secondClaimLoses);
    CPPUNIT_TEST(notRunReleasesTheKey);
    CPPUNIT_TEST(oneRejectionDoesNotLoseTheClaim);
    CPPUNIT_TEST(restartedReplicaVotesOnlyAfterSync);
    CPPUNIT_TEST(voteOfPastIncarnationDoesNotCount);
    CPPUNIT_TEST(syncedRecordIsNoVote);
    CPPUNIT_TEST(conflictingRecordsVoteForNoClaim);
    CPPUNIT_TEST(mergedRecordKeepsTheLatestExpiry);
    CPPUNIT_TEST(isolatedReplicaDoesNotVote);
    CPPUNIT_TEST(recordsExpire);
    CPPUNIT_TEST(atMostOnceUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void secondClaimLoses()
    {
        RunAcceptor acceptor = makeAcceptor(1);
        CPPUNIT_ASSERT(claim(acceptor, 1) == ClaimResult::Accepted);
        CPPUNIT_ASSERT(claim(acceptor, 1) == ClaimResult::Accepted);
        CPPUNIT_ASSERT(claim(acceptor, 2) == ClaimResult::Taken);
        acceptor.finish({m_key, {HostId(9), RequestId(1)}, false, RunState::Answered}, m_now);
        const ClaimAnswer answer = acceptor.claim(makeClaim(2), true, m_now);
        CPPUNIT_ASSERT(answer.state == RunState::Answered);
    }

    void notRunReleasesTheKey()
    {
        RunAcceptor acceptor = makeAcceptor(1);
        claim(acceptor, 1);
        acceptor.finish({m_key, {HostId(9), RequestId(2)}, true, RunState::MayHaveRun}, m_now);
        CPPUNIT_ASSERT(claim(acceptor, 2) == ClaimResult::Taken);
        acceptor.finish({m_key, {HostId(9), RequestId(1)}, true, RunState::MayHaveRun}, m_now);
        CPPUNIT_ASSERT(claim(acceptor, 2) == ClaimResult::Accepted);
    }

    void oneRejectionDoesNotLoseTheClaim()
    {
        ClaimTally tally({HostId(1), HostId(2), HostId(3)});
        ClaimAnswer answer;
        answer.key = m_key;
        answer.result = ClaimResult::Taken;
        tally.addAnswer(HostId(1), answer);
        CPPUNIT_ASSERT(!tally.decide());
        answer.result = ClaimResult::Accepted;
        tally.addAnswer(HostId(2), answer);
        CPPUNIT_ASSERT(!tally.decide());
        tally.addAnswer(HostId(3), answer);
        CPPUNIT_ASSERT(tally.decide()->won);
    }

    void restartedReplicaVotesOnlyAfterSync()
    {
        RunAcceptor first = makeAcceptor(1);
        RunAcceptor second = makeAcceptor(2);
        CPPUNIT_ASSERT(claim(first, 1) == ClaimResult::Accepted);
        RunAcceptor restarted = makeRestarted();
        CPPUNIT_ASSERT(claim(restarted, 2) == ClaimResult::NotReady);
        syncFrom(restarted, 2, second);
        CPPUNIT_ASSERT(!restarted.isActive());
        syncFrom(restarted, 1, first);
        CPPUNIT_ASSERT(restarted.isActive());
        CPPUNIT_ASSERT(claim(restarted, 2) == ClaimResult::Taken);
    }

    /**
     * Replica 3 votes for claim 1, restarts, synchronises before any other replica has claim 1, and
     * then votes for claim 2. Counting its lost vote would let both claims win. Found by
     * atMostOnceUnderRandomFaults with seed 162.
     */
    void voteOfPastIncarnationDoesNotCount()
    {
        RunAcceptor first = makeAcceptor(1);
        RunAcceptor second = makeAcceptor(2);
        RunAcceptor third = makeAcceptor(3);
        ClaimTally tally({HostId(1), HostId(2), HostId(3)});
        tally.addAnswer(HostId(3), third.claim(makeClaim(1), true, m_now));
        RunAcceptor restarted = makeRestarted();
        syncFrom(restarted, 1, first);
        syncFrom(restarted, 2, second);
        CPPUNIT_ASSERT(claim(restarted, 2) == ClaimResult::Accepted);
        CPPUNIT_ASSERT(claim(second, 2) == ClaimResult::Accepted);
        tally.addAnswer(HostId(1), first.claim(makeClaim(1), true, m_now));
        CPPUNIT_ASSERT(!tally.decide());
    }

    /**
     * A recovering replica has copied the record of claim 1 from replica 1. The copy must not count
     * as a second vote. Found by atMostOnceUnderRandomFaults with seed 152.
     */
    void syncedRecordIsNoVote()
    {
        RunAcceptor first = makeAcceptor(1);
        CPPUNIT_ASSERT(claim(first, 1) == ClaimResult::Accepted);
        RunAcceptor restarted = makeRestarted();
        syncFrom(restarted, 1, first);
        CPPUNIT_ASSERT(claim(restarted, 1) == ClaimResult::NotReady);
        CPPUNIT_ASSERT(claim(restarted, 2) == ClaimResult::Taken);
    }

    /**
     * Two replicas accepted different claims. A third replica that lost its own vote in a restart
     * must not decide between them. Found by atMostOnceUnderRandomFaults with seed 246.
     */
    void conflictingRecordsVoteForNoClaim()
    {
        RunAcceptor first = makeAcceptor(1);
        RunAcceptor second = makeAcceptor(2);
        claim(first, 1);
        claim(second, 2);
        RunAcceptor restarted = makeRestarted();
        syncFrom(restarted, 2, second);
        syncFrom(restarted, 1, first);
        CPPUNIT_ASSERT(restarted.isActive());
        CPPUNIT_ASSERT(claim(restarted, 1) == ClaimResult::Taken);
        CPPUNIT_ASSERT(claim(restarted, 2) == ClaimResult::Taken);
    }

    /**
     * The record of an older, losing claim must not shorten the retention of the newer record of
     * the same key. Found by atMostOnceUnderRandomFaults with seed 33.
     */
    void mergedRecordKeepsTheLatestExpiry()
    {
        RunAcceptor first = makeAcceptor(1);
        RunAcceptor second = makeAcceptor(2);
        claim(first, 1);
        m_now += Seconds(30);
        claim(second, 2);
        RunAcceptor restarted = makeRestarted();
        syncFrom(restarted, 1, first);
        syncFrom(restarted, 2, second);
        m_now += Seconds(40);
        CPPUNIT_ASSERT(claim(restarted, 3) == ClaimResult::Taken);
    }

    void isolatedReplicaDoesNotVote()
    {
        RunAcceptor acceptor = makeAcceptor(1);
        CPPUNIT_ASSERT(acceptor.claim(makeClaim(1), false, m_now).result == ClaimResult::NotReady);
    }

    void recordsExpire()
    {
        RunAcceptor acceptor = makeAcceptor(1);
        claim(acceptor, 1);
        m_now += recordRetention;
        acceptor.tick(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, acceptor.recordCount());
        m_now += RunSettings{}.claimTimeout;
        acceptor.tick(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, acceptor.recordCount());
    }

    void atMostOnceUnderRandomFaults()
    {
        int won = 0;
        const std::uint64_t first = soakNumber("SOAK_FIRST", 1);
        const std::uint64_t seeds = soakNumber("SOAK_SEEDS", 250);
        for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
            ClaimSimulation simulation(seed);
            for (int i = 0; i < 5000; ++i)
                simulation.step();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), 0,
                                         simulation.duplicateRuns());
            won += simulation.won();
        }
        // Without many runs, the check above would prove nothing.
        CPPUNIT_ASSERT_MESSAGE("runs " + std::to_string(won), won > static_cast<int>(seeds) * 10);
    }

private:
    /** @return replica 3 after a restart, without records */
    RunAcceptor makeRestarted()
    {
        RunAcceptor restarted(HostId(3), Incarnation(2), RunSettings{recordRetention});
        restarted.installView(m_view, m_now);
        return restarted;
    }

    /** Synchronises the restarted replica with replica @p id. */
    void syncFrom(RunAcceptor &restarted, std::uint32_t id, RunAcceptor &source)
    {
        const RecordSyncRequest request{m_view, restarted.recoveringShards()};
        const ReplicaIncarnation requester{HostId(3), Incarnation(2)};
        restarted.mergeRecords(HostId(id), source.handleSyncRequest(request, requester, m_now),
                               m_now);
    }

    RunAcceptor makeAcceptor(std::uint32_t id)
    {
        if (m_view.members.empty()) {
            m_view.number = ViewNumber(7);
            for (std::uint32_t i = 1; i <= 3; ++i)
                m_view.members.push_back(makeMember(i, 1));
        }
        RunAcceptor acceptor(HostId(id), Incarnation(1), RunSettings{recordRetention});
        acceptor.installView(m_view, m_now);
        return acceptor;
    }

    ClaimRequest makeClaim(std::uint64_t request) const
    {
        return {m_view.number, m_key, {HostId(9), RequestId(request)}};
    }

    ClaimResult claim(RunAcceptor &acceptor, std::uint64_t request)
    {
        return acceptor.claim(makeClaim(request), true, m_now).result;
    }

    View m_view;
    IdempotencyKeyHash m_key{77};
    TimePoint m_now{Seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdempotencyTest);
