#include "endivedock/admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace endivedock;

namespace {

constexpr Bytes kilobytes(std::uint64_t count)
{
    return Bytes(count * 1024);
}

constexpr Bytes budget = kilobytes(64 * 1024);
constexpr Bytes largeBody = kilobytes(512);
constexpr Bytes ordinaryBody = kilobytes(60);
constexpr Milliseconds deadline{60'000};

/** A ledger with virtual time. */
struct Crowd
{
    HolderNumber addHolder(Bytes bytes)
    {
        const HolderNumber holder = ledger.add();
        CPPUNIT_ASSERT(ledger.tryHold(holder, bytes));
        ledger.awaitCaller(holder, clock.now(), clock.now() + deadline);
        ledger.recordProgress(holder, bytes, clock.now());
        return holder;
    }
    /** Adds callers whose bodies stop just short of their end, until no more of them fit. */
    std::vector<HolderNumber> fill()
    {
        std::vector<HolderNumber> result;
        while (true) {
            const HolderNumber holder = ledger.add();
            if (!ledger.tryHold(holder, largeBody)) {
                ledger.remove(holder);
                return result;
            }
            ledger.awaitCaller(holder, clock.now(), clock.now() + deadline);
            ledger.recordProgress(holder, largeBody, clock.now());
            result.push_back(holder);
        }
    }
    std::vector<HolderNumber> losersFor(Bytes bytes)
    {
        return ledger.chooseLosers(ledger.add(), bytes, clock.now());
    }

    ManualClock clock;
    MemoryLedger ledger{budget};
};

} // namespace

class AdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(aSingleLargestBodyFitsAnyMachineOfADeployment);
    CPPUNIT_TEST(partsOfTheMachine);
    CPPUNIT_TEST(socketBuffersOfACrowdFit);
    CPPUNIT_TEST(theBudgetIsNeverExceeded);
    CPPUNIT_TEST(smallBodiesFindRoomBesideACrowdOfLargeOnes);
    CPPUNIT_TEST(thoseThatStandStillLoseFirst);
    CPPUNIT_TEST(aFullCrowdThatStopsShortGivesWayToOrdinaryCallers);
    CPPUNIT_TEST(tricklingBytesDoNotKeepMemory);
    CPPUNIT_TEST(anOrdinaryCallerOnANarrowLinkKeepsItsMemory);
    CPPUNIT_TEST(aBodyBehindItsDeadlineLoses);
    CPPUNIT_TEST(runningRequestsDoNotLose);
    CPPUNIT_TEST(aConnectionWithoutRoomTakesThatOfTheLargest);
    CPPUNIT_TEST(noMoreLoseThanIsNeeded);
    CPPUNIT_TEST(messagesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void aSingleLargestBodyFitsAnyMachineOfADeployment()
    {
        constexpr Bytes smallestMachine = kilobytes(32 * 1024);
        Crowd crowd;
        crowd.ledger = MemoryLedger(admissionLimits({smallestMachine, 300}).budget);
        CPPUNIT_ASSERT_EQUAL(true, crowd.ledger.tryHold(crowd.ledger.add(), kilobytes(1088)));
    }

    void partsOfTheMachine()
    {
        const AdmissionLimits limits = admissionLimits({kilobytes(160 * 1024), 4100});
        CPPUNIT_ASSERT(limits.budget == kilobytes(64 * 1024));
        CPPUNIT_ASSERT(limits.callers == Connections(2560));
        CPPUNIT_ASSERT(limits.targets == Connections(907));
        // The platform reserves 200 descriptors for files.
        CPPUNIT_ASSERT(limits.callers.value() + limits.targets.value() < 4100 - 200);
        CPPUNIT_ASSERT(admissionLimits({kilobytes(1 << 20), 400}).callers == Connections(117));
        const AdmissionLimits unstated = admissionLimits({});
        CPPUNIT_ASSERT(unstated.budget.value() > 0 && unstated.callers.value() > 0);
        CPPUNIT_ASSERT(!socketBufferSize(unstated, 100'000));
    }

    void socketBuffersOfACrowdFit()
    {
        const AdmissionLimits limits = admissionLimits({kilobytes(160 * 1024), 4100});
        CPPUNIT_ASSERT(socketBufferSize(limits, 300) == kilobytes(64));
        CPPUNIT_ASSERT(socketBufferSize(limits, 400) == kilobytes(32));
        CPPUNIT_ASSERT(socketBufferSize(limits, 2500) == kilobytes(8));
        CPPUNIT_ASSERT(socketBufferSize(limits, 1'000'000) == kilobytes(4));
    }

    void theBudgetIsNeverExceeded()
    {
        Crowd crowd;
        const auto holders = crowd.fill();
        // A quarter is kept for small bodies.
        CPPUNIT_ASSERT_EQUAL(std::size_t(96), holders.size());
        while (crowd.ledger.tryHold(crowd.ledger.add(), ordinaryBody))
            CPPUNIT_ASSERT(crowd.ledger.held() <= budget);
        CPPUNIT_ASSERT(crowd.ledger.held() <= budget);
        for (const HolderNumber holder : holders)
            crowd.ledger.remove(holder);
        CPPUNIT_ASSERT(crowd.ledger.tryHold(crowd.ledger.add(), largeBody));
    }

    void smallBodiesFindRoomBesideACrowdOfLargeOnes()
    {
        Crowd crowd;
        crowd.fill();
        for (int body = 0; body < 200; ++body)
            CPPUNIT_ASSERT(crowd.ledger.tryHold(crowd.ledger.add(), ordinaryBody));
    }

    void thoseThatStandStillLoseFirst()
    {
        Crowd crowd;
        const HolderNumber longest = crowd.addHolder(kilobytes(200));
        crowd.clock.advance(Seconds(20));
        const HolderNumber large = crowd.addHolder(kilobytes(400));
        const HolderNumber small = crowd.addHolder(kilobytes(20));
        crowd.clock.advance(Seconds(40));
        const HolderNumber active = crowd.addHolder(largeBody);
        const auto losers = crowd.losersFor(budget + budget);
        // 200 KB for 59 s, 400 KB for 39 s, 20 KB for 39 s; the active caller keeps its part.
        CPPUNIT_ASSERT((losers == std::vector<HolderNumber>{large, longest, small}));
        CPPUNIT_ASSERT(crowd.ledger.overdueTime(active, crowd.clock.now()) == Duration::zero());
    }

    void aFullCrowdThatStopsShortGivesWayToOrdinaryCallers()
    {
        Crowd crowd;
        const auto holders = crowd.fill();
        CPPUNIT_ASSERT(crowd.losersFor(largeBody).empty()); // All of them have just sent something.
        crowd.clock.advance(Milliseconds(1500));
        const auto losers = crowd.losersFor(largeBody);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), losers.size());
        crowd.ledger.remove(losers.front());
        CPPUNIT_ASSERT(crowd.ledger.tryHold(crowd.ledger.add(), largeBody));
    }

    void tricklingBytesDoNotKeepMemory()
    {
        Crowd crowd;
        std::vector<HolderNumber> holders = crowd.fill();
        for (int tenth = 0; tenth < 350; ++tenth) {
            crowd.clock.advance(Milliseconds(100));
            for (const HolderNumber holder : holders)
                crowd.ledger.recordProgress(holder, Bytes(1), crowd.clock.now());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), crowd.losersFor(largeBody).size());
    }

    void anOrdinaryCallerOnANarrowLinkKeepsItsMemory()
    {
        Crowd crowd;
        crowd.fill();
        const HolderNumber holder = crowd.ledger.add();
        crowd.ledger.awaitCaller(holder, crowd.clock.now(), crowd.clock.now() + deadline);
        for (int piece = 1; piece <= 40; ++piece) { // 360 KB in 10 s, a piece each 250 ms
            crowd.clock.advance(Milliseconds(250));
            CPPUNIT_ASSERT(crowd.ledger.tryHold(holder, kilobytes(piece)));
            crowd.ledger.recordProgress(holder, kilobytes(9), crowd.clock.now());
            const auto losers = crowd.losersFor(largeBody);
            CPPUNIT_ASSERT(std::find(losers.begin(), losers.end(), holder) == losers.end());
        }
    }

    void aBodyBehindItsDeadlineLoses()
    {
        Crowd crowd;
        const HolderNumber late = crowd.ledger.add();
        CPPUNIT_ASSERT(crowd.ledger.tryHold(late, largeBody));
        crowd.ledger.awaitCaller(late, crowd.clock.now(), crowd.clock.now() + Seconds(1));
        crowd.clock.advance(Milliseconds(1100));
        crowd.ledger.recordProgress(late, largeBody, crowd.clock.now());
        CPPUNIT_ASSERT((crowd.losersFor(budget) == std::vector<HolderNumber>{late}));
    }

    void runningRequestsDoNotLose()
    {
        Crowd crowd;
        const auto holders = crowd.fill();
        for (const HolderNumber holder : holders)
            crowd.ledger.stopAwaiting(holder);
        crowd.clock.advance(Seconds(30));
        CPPUNIT_ASSERT(crowd.losersFor(budget).empty());
    }

    void aConnectionWithoutRoomTakesThatOfTheLargest()
    {
        Crowd crowd;
        const HolderNumber ordinary = crowd.addHolder(ordinaryBody);
        const HolderNumber large = crowd.addHolder(largeBody);
        crowd.ledger.stopAwaiting(ordinary);
        crowd.ledger.stopAwaiting(large);
        const auto choose = [&crowd](LoserChoice choice) {
            return crowd.ledger.chooseFirstLoser(crowd.clock.now(), choice);
        };
        CPPUNIT_ASSERT(!choose(LoserChoice::Overdue));
        CPPUNIT_ASSERT(choose(LoserChoice::OverdueOrLargest) == large);
        CPPUNIT_ASSERT(!choose(LoserChoice::OverdueOrLargest)); // The other one is small.
        crowd.ledger.awaitCaller(ordinary, crowd.clock.now(), crowd.clock.now() + deadline);
        crowd.clock.advance(Seconds(20));
        CPPUNIT_ASSERT(choose(LoserChoice::Overdue) == ordinary);
    }

    void noMoreLoseThanIsNeeded()
    {
        Crowd crowd;
        crowd.fill();
        crowd.clock.advance(Seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), crowd.losersFor(largeBody).size());
        // The one that was chosen has not given its memory back yet.
        CPPUNIT_ASSERT(crowd.losersFor(largeBody).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), crowd.losersFor(kilobytes(4 * 512)).size());
    }

    void messagesAreBounded()
    {
        ManualClock clock;
        clock.advance(Seconds(1));
        MessageRate rate(Milliseconds(1000));
        std::uint64_t lines = 0, events = 0;
        for (int event = 0; event < 10'000; ++event) {
            const std::uint64_t due = rate.record(clock.now());
            lines += due > 0 ? 1 : 0;
            events += due;
            clock.advance(Milliseconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), lines);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9001), events); // The rest follow with the next line.
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);
