#include "endivedock/quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class QuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(twoCrashesQuarantine);
    CPPUNIT_TEST(repeatedReportsOfOneCrashCountOnce);
    CPPUNIT_TEST(responsesClearASuspect);
    CPPUNIT_TEST(quarantineExpires);
    CPPUNIT_TEST_SUITE_END();

public:
    void twoCrashesQuarantine()
    {
        m_suspects.recordCrash(m_request, TargetId("t1"), m_now);
        CPPUNIT_ASSERT(m_suspects.isSuspect(m_request, m_now));
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_request, m_now));
        m_suspects.recordCrash(m_request, TargetId("t2"), m_now);
        CPPUNIT_ASSERT(m_suspects.isQuarantined(m_request, m_now));
    }

    void repeatedReportsOfOneCrashCountOnce()
    {
        for (int i = 0; i < 5; ++i)
            m_suspects.recordCrash(m_request, TargetId("t1"), m_now + Milliseconds(i));
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_request, m_now));
    }

    void responsesClearASuspect()
    {
        m_suspects.recordCrash(m_request, TargetId("t1"), m_now);
        m_suspects.recordResponse(m_request, m_now);
        m_suspects.recordResponse(m_request, m_now);
        CPPUNIT_ASSERT(!m_suspects.isSuspect(m_request, m_now));
        m_suspects.recordCrash(m_request, TargetId("t2"), m_now);
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_request, m_now));
    }

    void quarantineExpires()
    {
        m_suspects.recordCrash(m_request, TargetId("t1"), m_now);
        m_suspects.recordCrash(m_request, TargetId("t2"), m_now);
        CPPUNIT_ASSERT(m_suspects.isQuarantined(m_request, m_now + Seconds(599)));
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_request, m_now + Seconds(601)));
    }

private:
    CrashSuspects m_suspects;
    Fingerprint m_request{666};
    TimePoint m_now{Seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
