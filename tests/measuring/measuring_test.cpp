#include "endivedock/measuring.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class MeasuringTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MeasuringTest);
    CPPUNIT_TEST(probesAtItsRateAtMost);
    CPPUNIT_TEST(answersReplaceProbes);
    CPPUNIT_TEST(rateZeroMeansNone);
    CPPUNIT_TEST_SUITE_END();

public:
    void probesAtItsRateAtMost()
    {
        ProbePlan plan(PerSecond(2));
        int probes = 0;
        for (int i = 0; i < 10'000; ++i) {
            m_now += Milliseconds(1);
            probes += plan.takeProbe(m_target, m_now) ? 1 : 0;
        }
        CPPUNIT_ASSERT(probes >= 19 && probes <= 21);
    }

    void answersReplaceProbes()
    {
        ProbePlan plan(PerSecond(2));
        int probes = 0;
        plan.observed(m_target, m_now);
        for (int i = 0; i < 1000; ++i) {
            m_now += Milliseconds(100);
            plan.observed(m_target, m_now);
            probes += plan.takeProbe(m_target, m_now) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, probes);
    }

    void rateZeroMeansNone()
    {
        ProbePlan plan(PerSecond(0));
        CPPUNIT_ASSERT(!plan.takeProbe(m_target, m_now));
    }

private:
    TargetId m_target{"t1"};
    TimePoint m_now{Seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeasuringTest);
