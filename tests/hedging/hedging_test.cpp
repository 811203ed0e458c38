#include "endivedock/hedging.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

const RouteKey route(7);
constexpr Share share{0.05};
constexpr TimeLeft timeLeft{Milliseconds(600), Milliseconds(1500)};

/** Three in a hundred responses take seven times as long as the others. */
HedgingPolicy heavyTailed(Milliseconds usual = Milliseconds(190), int responses = 300)
{
    HedgingPolicy policy(share);
    for (int i = 0; i < responses; ++i) {
        const double variation = 0.7 + 0.6 * (i % 17) / 17.0;
        const double factor = i % 33 == 0 ? 7 : variation;
        policy.recordTime(route, Microseconds(static_cast<std::int64_t>(
                                         Microseconds(usual).count() * factor)));
    }
    return policy;
}

HedgeSituation quiet()
{
    HedgeSituation result;
    result.utilization = Share(0.3);
    result.expectedTime = Milliseconds(190);
    result.timeLeft = {Milliseconds(300), Milliseconds(1200)};
    return result;
}

} // namespace

class HedgingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HedgingTest);
    CPPUNIT_TEST(quantilesFollowTheRecentTimes);
    CPPUNIT_TEST(heavyTailStartsBeforeTheObjectiveIsLost);
    CPPUNIT_TEST(slowServiceStartsNone);
    CPPUNIT_TEST(unknownRoutesStartNone);
    CPPUNIT_TEST(overtakenAttemptsDoNotLowerTheStart);
    CPPUNIT_TEST(eachConditionRefuses);
    CPPUNIT_TEST(shareAndRetryBudgetLimitAllHosts);
    CPPUNIT_TEST_SUITE_END();

public:
    void quantilesFollowTheRecentTimes()
    {
        ResponseTimes times;
        CPPUNIT_ASSERT(times.quantile(Share(0.5)) == Microseconds(0));
        for (int i = 1; i <= 100; ++i)
            times.record(Milliseconds(i));
        checkNear(50, times.quantile(Share(0.5)));
        checkNear(95, times.quantile(Share(0.95)));
        for (int i = 0; i < 5000; ++i)
            times.record(Milliseconds(700));
        checkNear(700, times.quantile(Share(0.1)));
        CPPUNIT_ASSERT(times.weight() <= 400);
        times.record(Microseconds(0));
        times.record(Seconds(4000));
        CPPUNIT_ASSERT(times.quantile(Share(1)) >= Seconds(50));
    }

    void heavyTailStartsBeforeTheObjectiveIsLost()
    {
        const auto start = heavyTailed().startAfter(route, timeLeft);
        CPPUNIT_ASSERT(start && *start >= Milliseconds(200) && *start <= Milliseconds(400));
        const auto longer =
                heavyTailed().startAfter(route, {Milliseconds(5000), Milliseconds(9000)});
        CPPUNIT_ASSERT(longer && *longer >= *start);
        // Too late for the objective, but not for the deadline.
        const auto late = heavyTailed().startAfter(route, {Milliseconds(300), Milliseconds(1500)});
        CPPUNIT_ASSERT(late && *late > Milliseconds(200));
    }

    void slowServiceStartsNone()
    {
        const auto policy = heavyTailed(Milliseconds(900));
        CPPUNIT_ASSERT(!policy.startAfter(route, timeLeft));
    }

    void unknownRoutesStartNone()
    {
        CPPUNIT_ASSERT(!heavyTailed().startAfter(RouteKey(8), timeLeft));
        CPPUNIT_ASSERT(!heavyTailed(Milliseconds(190), 30).startAfter(route, timeLeft));
        HedgingPolicy off(Share(0));
        for (int i = 0; i < 200; ++i)
            off.recordTime(route, Milliseconds(190));
        CPPUNIT_ASSERT(!off.startAfter(route, timeLeft));
    }

    /** Attempts that end at the start of their hedge would pull the start down, again and again. */
    void overtakenAttemptsDoNotLowerTheStart()
    {
        auto policy = heavyTailed();
        const auto before = policy.startAfter(route, timeLeft);
        for (int i = 0; i < 2000; ++i) {
            const auto start = policy.startAfter(route, timeLeft);
            policy.recordTime(route, i % 33 == 0 ? *start + Milliseconds(150)
                                                 : Milliseconds(140 + i % 100));
        }
        CPPUNIT_ASSERT(*policy.startAfter(route, timeLeft) * 5 >= *before * 4);
    }

    void eachConditionRefuses()
    {
        const auto refusalOf = [](auto change) {
            HedgingPolicy policy(share);
            RetryBudget retries(Share(0.14));
            retries.setExtraRetries(10);
            for (int i = 0; i < 100; ++i)
                policy.recordFirstAttempt(TimePoint(Seconds(100)));
            HedgeSituation situation = quiet();
            change(situation);
            return policy.refusalOrCount(situation, retries, TimePoint(Seconds(100)));
        };
        CPPUNIT_ASSERT(!refusalOf([](HedgeSituation &) {}));
        CPPUNIT_ASSERT(refusalOf([](HedgeSituation &s) { s.isRollingOut = true; }) ==
                       HedgeRefusal::Rollout);
        CPPUNIT_ASSERT(refusalOf([](HedgeSituation &s) { s.isSuspect = true; }) ==
                       HedgeRefusal::Suspect);
        CPPUNIT_ASSERT(refusalOf([](HedgeSituation &s) { s.isFirstTargetSilent = true; }) ==
                       HedgeRefusal::SilentTarget);
        CPPUNIT_ASSERT(refusalOf([](HedgeSituation &s) { s.hasWaitingRequests = true; }) ==
                       HedgeRefusal::NoRoom);
        CPPUNIT_ASSERT(refusalOf([](HedgeSituation &s) { s.utilization = Share(0.9); }) ==
                       HedgeRefusal::NoRoom);
        CPPUNIT_ASSERT(refusalOf([](HedgeSituation &s) { s.expectedTime.reset(); }) ==
                       HedgeRefusal::NoTarget);
        CPPUNIT_ASSERT(refusalOf([](HedgeSituation &s) { s.expectedTime = Seconds(2); }) ==
                       HedgeRefusal::TooLate);
        HedgingPolicy off(Share(0));
        RetryBudget retries(Share(0.14));
        CPPUNIT_ASSERT(off.refusalOrCount(quiet(), retries, TimePoint(Seconds(100))) ==
                       HedgeRefusal::Off);
    }

    void shareAndRetryBudgetLimitAllHosts()
    {
        const TimePoint now(Seconds(100));
        HedgingPolicy policy(share);
        RetryBudget retries(Share(0.14));
        retries.setExtraRetries(0);
        for (int i = 0; i < 1000; ++i) {
            policy.recordFirstAttempt(now);
            retries.recordFirstAttempt(now);
        }
        int allowed = 0;
        std::optional<HedgeRefusal> last;
        for (int i = 0; i < 200; ++i) {
            last = policy.refusalOrCount(quiet(), retries, now);
            allowed += last ? 0 : 1;
        }
        CPPUNIT_ASSERT_EQUAL(50, allowed);
        CPPUNIT_ASSERT(last == HedgeRefusal::ShareUsed);
        CPPUNIT_ASSERT(retries.usedShare(now) > Share(0.35));
        for (int i = 0; i < 40; ++i)
            CPPUNIT_ASSERT(retries.tryRetry(now));
        policy.setShare(Share(1));
        CPPUNIT_ASSERT(policy.refusalOrCount(quiet(), retries, now) == HedgeRefusal::RetryBudget);
        // The window passes, and with it the first attempts.
        CPPUNIT_ASSERT(policy.refusalOrCount(quiet(), retries, now + Seconds(20)));
    }

private:
    static void checkNear(int expectedMs, Microseconds time)
    {
        const double ms = static_cast<double>(time.count()) / 1000;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(expectedMs, ms, expectedMs * 0.12);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgingTest);
