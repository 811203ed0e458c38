#include "endivedock/coldstart.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class ColdstartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdstartTest);
    CPPUNIT_TEST(warmsUpOnSuccessfulResponsesOnly);
    CPPUNIT_TEST(newIncarnationIsCold);
    CPPUNIT_TEST(lateResponsesOfPreviousIncarnationAreIgnored);
    CPPUNIT_TEST(latencyStepMarksCold);
    CPPUNIT_TEST(stallOfTheHostDoesNotMarkCold);
    CPPUNIT_TEST(assumesWarmOnlyTheSameIncarnation);
    CPPUNIT_TEST_SUITE_END();

public:
    void warmsUpOnSuccessfulResponsesOnly()
    {
        WarmupTracker warmup(2);
        respond(warmup, 1, false);
        respond(warmup, 1, true);
        CPPUNIT_ASSERT(warmup.isCold());
        respond(warmup, 1, true);
        CPPUNIT_ASSERT(!warmup.isCold());
    }

    void newIncarnationIsCold()
    {
        WarmupTracker warmup = makeWarm();
        CPPUNIT_ASSERT(respond(warmup, 2, true) == ColdReason::NewIncarnation);
        CPPUNIT_ASSERT(warmup.isCold());
    }

    void lateResponsesOfPreviousIncarnationAreIgnored()
    {
        WarmupTracker warmup = makeWarm();
        const TimePoint sentBeforeRestart = m_now;
        m_now += Seconds(1);
        respond(warmup, 2, true);
        warmup.recordResponse(Incarnation(1), true, Microseconds(1000), sentBeforeRestart, m_now);
        warmup.recordResponse(Incarnation(2), true, Microseconds(1000), sentBeforeRestart, m_now);
        CPPUNIT_ASSERT(warmup.isCold());
        m_now += Seconds(1);
        respond(warmup, 2, true);
        CPPUNIT_ASSERT(warmup.isCold());
        respond(warmup, 2, true);
        CPPUNIT_ASSERT(!warmup.isCold());
    }

    void latencyStepMarksCold()
    {
        WarmupTracker warmup = makeWarm();
        for (int i = 0; i < 50; ++i)
            respond(warmup, 1, true);
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(!respond(warmup, 1, true, Microseconds(30'000)));
        CPPUNIT_ASSERT(respond(warmup, 1, true, Microseconds(30'000)) == ColdReason::LatencyStep);
    }

    /**
     * Guards against false latency steps: at 4,000 requests per second with a response time of 1 ms
     * each, short stalls of the host caused warm targets to be marked cold 114 times in 16 s.
     */
    void stallOfTheHostDoesNotMarkCold()
    {
        WarmupTracker warmup = makeWarm();
        for (int i = 0; i < 50; ++i)
            respond(warmup, 1, true);
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(!respond(warmup, 1, true, Microseconds(15'000)));
    }

    void assumesWarmOnlyTheSameIncarnation()
    {
        WarmupTracker newTarget(2);
        newTarget.assumeWarm(Incarnation(5));
        CPPUNIT_ASSERT(!newTarget.isCold());
        WarmupTracker restarted(2);
        respond(restarted, 6, false);
        restarted.assumeWarm(Incarnation(5));
        CPPUNIT_ASSERT(restarted.isCold());
    }

private:
    WarmupTracker makeWarm()
    {
        WarmupTracker warmup(2);
        respond(warmup, 1, true);
        respond(warmup, 1, true);
        return warmup;
    }

    std::optional<ColdReason> respond(WarmupTracker &warmup, std::uint64_t incarnation,
                                      bool succeeded, Microseconds time = Microseconds(1000))
    {
        m_now += Milliseconds(1);
        return warmup.recordResponse(Incarnation(incarnation), succeeded, time, m_now, m_now);
    }

    TimePoint m_now{Seconds(10)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdstartTest);
