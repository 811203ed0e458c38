#include "endivedock/fairness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <map>
#include <string>

using namespace endivedock;

namespace {

constexpr Microseconds oneMillisecond{1000};
constexpr std::size_t noLimit = 1'000'000;

FairQueueKey keyOf(int team, Microseconds work = oneMillisecond, int priority = 0)
{
    return {priority, TeamHash(static_cast<std::uint32_t>(team)), work};
}

} // namespace

class FairQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairQueueTest);
    CPPUNIT_TEST(oneTeamIsServedInTheOrderOfArrival);
    CPPUNIT_TEST(oneLoudTeamOf82TakesNoRoomOfTheOthers);
    CPPUNIT_TEST(manySmallTeamsGetEqualShares);
    CPPUNIT_TEST(aTeamWithLongRequestsGetsEqualWork);
    CPPUNIT_TEST(expiredRequestsCostTheirTeamNothing);
    CPPUNIT_TEST(aFullQueueEvictsFromTheTeamThatIsFurthestAhead);
    CPPUNIT_TEST(higherPrioritiesGoFirst);
    CPPUNIT_TEST(requestsThatNeverWaitedCount);
    CPPUNIT_TEST(countAheadIsThePlaceInTheOrder);
    CPPUNIT_TEST(theStateIsBounded);
    CPPUNIT_TEST(hashesOfTeams);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneTeamIsServedInTheOrderOfArrival()
    {
        FairQueue<int> queue;
        std::vector<FairQueue<int>::Ticket> tickets;
        for (int i = 0; i < 6; ++i)
            tickets.push_back(*queue.add(i, keyOf(0, oneMillisecond * (6 - i)), m_now, 6).ticket);
        CPPUNIT_ASSERT(!queue.add(6, keyOf(0, Microseconds(1)), m_now, 6).ticket);
        queue.remove(tickets[0]);
        queue.remove(tickets[2]);
        queue.add(7, keyOf(0, Microseconds(1)), m_now, 6);
        CPPUNIT_ASSERT(served(queue, 9) == (std::vector<int>{1, 3, 4, 5, 7}));
    }

    /**
     * One of 82 teams sends ten times its usual load, so that 100 requests arrive for each 82 that
     * can be served. The others send less than an equal share each, and lose none of it.
     */
    void oneLoudTeamOf82TakesNoRoomOfTheOthers()
    {
        constexpr int teams = 82;
        constexpr int loudRequests = 19;
        constexpr int rounds = 50;
        constexpr int servedEachRound = 82;
        FairQueue<int> queue;
        std::map<int, int> servedOf;
        for (int round = 0; round < rounds; ++round) {
            m_now += Milliseconds(100);
            for (int i = 0; i < loudRequests; ++i)
                queue.add(0, keyOf(1), m_now + Milliseconds(150), noLimit);
            for (int team = 2; team <= teams; ++team)
                queue.add(team - 1, keyOf(team), m_now + Milliseconds(150), noLimit);
            for (const int team : served(queue, servedEachRound))
                ++servedOf[team];
            while (queue.takeExpired(m_now))
                ;
        }
        for (int team = 1; team < teams; ++team)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(team), rounds, servedOf[team]);
        CPPUNIT_ASSERT_EQUAL(rounds, servedOf[0]);
    }

    void manySmallTeamsGetEqualShares()
    {
        constexpr int teams = 400;
        FairQueue<int> queue;
        for (int i = 0; i < 5; ++i) {
            for (int team = 1; team <= teams; ++team)
                queue.add(team, keyOf(team), m_now, noLimit);
        }
        std::map<int, int> servedOf;
        for (const int team : served(queue, 3 * teams))
            ++servedOf[team];
        CPPUNIT_ASSERT_EQUAL(std::size_t{teams}, servedOf.size());
        for (const auto &[team, count] : servedOf)
            CPPUNIT_ASSERT_EQUAL(3, count);
    }

    void aTeamWithLongRequestsGetsEqualWork()
    {
        FairQueue<int> queue;
        for (int i = 0; i < 1000; ++i) {
            queue.add(1, keyOf(1, 7 * oneMillisecond), m_now, noLimit);
            queue.add(2, keyOf(2), m_now, noLimit);
        }
        double longOnes = 0;
        double shortOnes = 0;
        for (const int team : served(queue, 400))
            ++(team == 1 ? longOnes : shortOnes);
        CPPUNIT_ASSERT(std::abs(longOnes * 7 - shortOnes) <= 14);
    }

    /** The requests of a team with a standing queue expire; those that remain keep their share. */
    void expiredRequestsCostTheirTeamNothing()
    {
        FairQueue<int> queue;
        std::map<int, int> servedOf;
        for (int step = 0; step < 400; ++step) {
            m_now += Milliseconds(1);
            for (int i = 0; i < 20; ++i)
                queue.add(1, keyOf(1), m_now + Milliseconds(10), noLimit);
            for (int i = 0; i < 2; ++i)
                queue.add(2, keyOf(2), m_now + Milliseconds(10), noLimit);
            while (queue.takeExpired(m_now))
                ;
            for (const int team : served(queue, 2))
                ++servedOf[team];
        }
        CPPUNIT_ASSERT(std::abs(servedOf[1] - servedOf[2]) <= 2);
    }

    void aFullQueueEvictsFromTheTeamThatIsFurthestAhead()
    {
        FairQueue<int> queue;
        for (int i = 0; i < 10; ++i)
            queue.add(i, keyOf(1), m_now, 10);
        const auto admission = queue.add(20, keyOf(2), m_now, 10);
        CPPUNIT_ASSERT(admission.ticket && admission.evicted == 9);
        CPPUNIT_ASSERT(!queue.add(10, keyOf(1), m_now, 10).ticket);
        CPPUNIT_ASSERT(queue.add(30, keyOf(3, oneMillisecond, 1), m_now, 10).evicted == 8);
        CPPUNIT_ASSERT(served(queue, 3) == (std::vector<int>{30, 0, 20}));
    }

    void higherPrioritiesGoFirst()
    {
        FairQueue<int> queue;
        queue.add(1, keyOf(1), m_now, noLimit);
        queue.add(2, keyOf(2, oneMillisecond, 5), m_now, noLimit);
        queue.add(3, keyOf(1, oneMillisecond, 5), m_now, noLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.countAhead(keyOf(3, oneMillisecond, 4)));
        CPPUNIT_ASSERT_EQUAL(2, queue.front()->item);
        CPPUNIT_ASSERT(served(queue, 3) == (std::vector<int>{2, 3, 1}));
    }

    /** A team that was just served without waiting comes after one that was not. */
    void requestsThatNeverWaitedCount()
    {
        FairQueue<int> queue;
        queue.charge(keyOf(1));
        queue.add(1, keyOf(1), m_now, noLimit);
        queue.add(2, keyOf(2), m_now, noLimit);
        CPPUNIT_ASSERT(served(queue, 2) == (std::vector<int>{2, 1}));
    }

    void countAheadIsThePlaceInTheOrder()
    {
        FairQueue<int> queue;
        for (int i = 0; i < 30; ++i)
            queue.add(i, keyOf(1 + i % 3, oneMillisecond * (1 + i % 4)), m_now, noLimit);
        for (int team = 1; team <= 4; ++team) {
            FairQueue<int> copy = queue;
            const std::size_t ahead = queue.countAhead(keyOf(team));
            copy.add(100, keyOf(team), m_now, noLimit);
            const std::vector<int> order = served(copy, 31);
            CPPUNIT_ASSERT_EQUAL(100, order[ahead]);
        }
    }

    void theStateIsBounded()
    {
        FairQueue<int> queue;
        for (int team = 1; team <= 100'000; ++team)
            queue.charge(keyOf(team));
        queue.add(1, keyOf(1), m_now, noLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.size());
        CPPUNIT_ASSERT(queue.idleTeamCount() <= FairQueue<int>::maxIdleTeams);
    }

    void hashesOfTeams()
    {
        CPPUNIT_ASSERT(hashTeam(TeamId()) == TeamHash(0));
        CPPUNIT_ASSERT(hashTeam(TeamId("a")) != hashTeam(TeamId("b")));
        CPPUNIT_ASSERT(hashTeam(TeamId("a")) != TeamHash(0));
    }

private:
    static std::vector<int> served(FairQueue<int> &queue, std::size_t count)
    {
        std::vector<int> result;
        queue.serve(1, [&result, count](int item) {
            if (result.size() == count)
                return false;
            result.push_back(item);
            return true;
        });
        return result;
    }

    TimePoint m_now{Seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);
