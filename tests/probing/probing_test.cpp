#include "endivedock/probing.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class ProbingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProbingTest);
    CPPUNIT_TEST(probesAtItsRateAtMost);
    CPPUNIT_TEST(answersReplaceProbes);
    CPPUNIT_TEST(rateZeroMeansNone);
    CPPUNIT_TEST_SUITE_END();

public:
    void probesAtItsRateAtMost()
    {
        ProbeSchedule plan(PerSecond(2));
        int probes = 0;
        for (int i = 0; i < 10'000; ++i) {
            m_now += Milliseconds(1);
            probes += plan.tryStartProbe(m_target, m_now) ? 1 : 0;
        }
        CPPUNIT_ASSERT(probes >= 19 && probes <= 21);
    }

    void answersReplaceProbes()
    {
        ProbeSchedule plan(PerSecond(2));
        int probes = 0;
        plan.recordObservation(m_target, m_now);
        for (int i = 0; i < 1000; ++i) {
            m_now += Milliseconds(100);
            plan.recordObservation(m_target, m_now);
            probes += plan.tryStartProbe(m_target, m_now) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, probes);
    }

    void rateZeroMeansNone()
    {
        ProbeSchedule plan(PerSecond(0));
        CPPUNIT_ASSERT(!plan.tryStartProbe(m_target, m_now));
    }

private:
    TargetId m_target{"t1"};
    TimePoint m_now{Seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbingTest);
