#include "endivedock/coldstart.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class ColdstartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdstartTest);
    CPPUNIT_TEST(warmsOnGoodAnswersOnly);
    CPPUNIT_TEST(newLifeIsCold);
    CPPUNIT_TEST(lateAnswersOfTheLifeBeforeSayNothing);
    CPPUNIT_TEST(latencyStepIsASign);
    CPPUNIT_TEST(stallOfTheHostIsNoSign);
    CPPUNIT_TEST(trustsOnlyTheSameLife);
    CPPUNIT_TEST_SUITE_END();

public:
    void warmsOnGoodAnswersOnly()
    {
        WarmupTracker warmup(2);
        answer(warmup, 1, false);
        answer(warmup, 1, true);
        CPPUNIT_ASSERT(warmup.isCold());
        answer(warmup, 1, true);
        CPPUNIT_ASSERT(!warmup.isCold());
    }

    void newLifeIsCold()
    {
        WarmupTracker warmup = warm();
        CPPUNIT_ASSERT(answer(warmup, 2, true) == ColdReason::NewIncarnation);
        CPPUNIT_ASSERT(warmup.isCold());
    }

    void lateAnswersOfTheLifeBeforeSayNothing()
    {
        WarmupTracker warmup = warm();
        const TimePoint before = m_now;
        m_now += Seconds(1);
        answer(warmup, 2, true);
        warmup.recordResponse(Incarnation(1), true, Microseconds(1000), before, m_now);
        warmup.recordResponse(Incarnation(2), true, Microseconds(1000), before, m_now);
        CPPUNIT_ASSERT(warmup.isCold());
        m_now += Seconds(1);
        answer(warmup, 2, true);
        CPPUNIT_ASSERT(warmup.isCold());
        answer(warmup, 2, true);
        CPPUNIT_ASSERT(!warmup.isCold());
    }

    void latencyStepIsASign()
    {
        WarmupTracker warmup = warm();
        for (int i = 0; i < 50; ++i)
            answer(warmup, 1, true);
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(!answer(warmup, 1, true, Microseconds(30'000)));
        CPPUNIT_ASSERT(answer(warmup, 1, true, Microseconds(30'000)) == ColdReason::LatencyStep);
    }

    /** Found with 4,000 calls a second of 1 ms: 114 false signs in 16 s. */
    void stallOfTheHostIsNoSign()
    {
        WarmupTracker warmup = warm();
        for (int i = 0; i < 50; ++i)
            answer(warmup, 1, true);
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(!answer(warmup, 1, true, Microseconds(15'000)));
    }

    void trustsOnlyTheSameLife()
    {
        WarmupTracker fresh(2);
        fresh.assumeWarm(Incarnation(5));
        CPPUNIT_ASSERT(!fresh.isCold());
        WarmupTracker restarted(2);
        answer(restarted, 6, false);
        restarted.assumeWarm(Incarnation(5));
        CPPUNIT_ASSERT(restarted.isCold());
    }

private:
    WarmupTracker warm()
    {
        WarmupTracker warmup(2);
        answer(warmup, 1, true);
        answer(warmup, 1, true);
        return warmup;
    }

    std::optional<ColdReason> answer(WarmupTracker &warmup, std::uint64_t life, bool good,
                                     Microseconds time = Microseconds(1000))
    {
        m_now += Milliseconds(1);
        return warmup.recordResponse(Incarnation(life), good, time, m_now, m_now);
    }

    TimePoint m_now{Seconds(10)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdstartTest);
