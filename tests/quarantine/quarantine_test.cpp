#include "endivedock/quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class QuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(twoCrashesConvict);
    CPPUNIT_TEST(oneCrashReportedOftenIsOne);
    CPPUNIT_TEST(successClearsABystander);
    CPPUNIT_TEST(convictionIsForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void twoCrashesConvict()
    {
        m_suspects.recordCrash(m_poison, TargetId("t1"), m_now);
        CPPUNIT_ASSERT(m_suspects.isSuspect(m_poison, m_now));
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_poison, m_now));
        m_suspects.recordCrash(m_poison, TargetId("t2"), m_now);
        CPPUNIT_ASSERT(m_suspects.isQuarantined(m_poison, m_now));
    }

    void oneCrashReportedOftenIsOne()
    {
        for (int i = 0; i < 5; ++i)
            m_suspects.recordCrash(m_poison, TargetId("t1"), m_now + Milliseconds(i));
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_poison, m_now));
    }

    void successClearsABystander()
    {
        m_suspects.recordCrash(m_poison, TargetId("t1"), m_now);
        m_suspects.recordResponse(m_poison, m_now);
        m_suspects.recordResponse(m_poison, m_now);
        CPPUNIT_ASSERT(!m_suspects.isSuspect(m_poison, m_now));
        m_suspects.recordCrash(m_poison, TargetId("t2"), m_now);
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_poison, m_now));
    }

    void convictionIsForgotten()
    {
        m_suspects.recordCrash(m_poison, TargetId("t1"), m_now);
        m_suspects.recordCrash(m_poison, TargetId("t2"), m_now);
        CPPUNIT_ASSERT(m_suspects.isQuarantined(m_poison, m_now + Seconds(599)));
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_poison, m_now + Seconds(601)));
    }

private:
    CrashSuspects m_suspects;
    Fingerprint m_poison{666};
    TimePoint m_now{Seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
