#include "endivedock/probing.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class ProbingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProbingTest);
    CPPUNIT_TEST(probesStayWithinTheRate);
    CPPUNIT_TEST(responsesReplaceProbes);
    CPPUNIT_TEST(zeroRateDisablesProbes);
    CPPUNIT_TEST_SUITE_END();

public:
    void probesStayWithinTheRate()
    {
        ProbeSchedule schedule(PerSecond(2));
        int probes = 0;
        for (int i = 0; i < 10'000; ++i) {
            m_now += Milliseconds(1);
            probes += schedule.tryStartProbe(m_target, m_now) ? 1 : 0;
        }
        CPPUNIT_ASSERT(probes >= 19 && probes <= 21);
    }

    void responsesReplaceProbes()
    {
        ProbeSchedule schedule(PerSecond(2));
        int probes = 0;
        schedule.recordObservation(m_target, m_now);
        for (int i = 0; i < 1000; ++i) {
            m_now += Milliseconds(100);
            schedule.recordObservation(m_target, m_now);
            probes += schedule.tryStartProbe(m_target, m_now) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, probes);
    }

    void zeroRateDisablesProbes()
    {
        ProbeSchedule schedule(PerSecond(0));
        CPPUNIT_ASSERT(!schedule.tryStartProbe(m_target, m_now));
    }

private:
    TargetId m_target{"t1"};
    TimePoint m_now{Seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbingTest);
