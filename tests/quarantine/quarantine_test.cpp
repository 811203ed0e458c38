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
    CPPUNIT_TEST(lossesCountUntilTheTargetResponds);
    CPPUNIT_TEST(targetThatRestartsAfterALossHasCrashed);
    CPPUNIT_TEST(silenceCountsOnlyOnceTheTargetHasEnded);
    CPPUNIT_TEST(lossOfAZoneCountsAsOneCrash);
    CPPUNIT_TEST(contentThatIsAnsweredIsNoCause);
    CPPUNIT_TEST(quarantinedRequestIsTriedAtGrowingIntervals);
    CPPUNIT_TEST(unresponsiveTargetsAreProbedAgain);
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

    /**
     * The incident: sparse requests crashed target after target, since a crash was noticed only if
     * another request met the ended target.
     */
    void lossesCountUntilTheTargetResponds()
    {
        lose("t1", "a");
        m_now += Seconds(1);
        lose("t2", "a");
        CPPUNIT_ASSERT(m_suspects.isQuarantined(m_request, m_now));
        m_suspects.recordTargetAlive(TargetId("t1"), m_now);
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_request, m_now));
        m_suspects.recordTargetAlive(TargetId("t2"), m_now);
        CPPUNIT_ASSERT(!m_suspects.isSuspect(m_request, m_now));
    }

    /** A probe cannot tell a target from its successor with the same id; the registry can. */
    void targetThatRestartsAfterALossHasCrashed()
    {
        lose("t1", "a");
        m_suspects.recordTargetAlive(TargetId("t1"), m_now);
        CPPUNIT_ASSERT(!m_suspects.isSuspect(m_request, m_now));
        m_suspects.recordTargetEnded(TargetId("t1"), m_now + Seconds(4));
        CPPUNIT_ASSERT(m_suspects.isSuspect(m_request, m_now));
        lose("t2", "a");
        m_suspects.recordTargetAlive(TargetId("t2"), m_now);
        m_suspects.recordTargetEnded(TargetId("t2"), m_now + Seconds(20));
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_request, m_now));
    }

    void silenceCountsOnlyOnceTheTargetHasEnded()
    {
        for (const char *target : {"t1", "t2"}) {
            lose(target, "a", true);
            m_now += Seconds(1);
        }
        CPPUNIT_ASSERT(!m_suspects.isSuspect(m_request, m_now));
        m_suspects.recordTargetEnded(TargetId("t1"), m_now);
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_request, m_now));
        m_suspects.recordTargetEnded(TargetId("t2"), m_now);
        CPPUNIT_ASSERT(m_suspects.isQuarantined(m_request, m_now));
    }

    /** Copies of a popular request ran on several targets of a zone when the zone was lost. */
    void lossOfAZoneCountsAsOneCrash()
    {
        for (const char *target : {"t1", "t2", "t3", "t4"}) {
            lose(target, "a");
            m_suspects.recordTargetEnded(TargetId(target), m_now);
        }
        CPPUNIT_ASSERT(!m_suspects.isQuarantined(m_request, m_now));
        lose("t5", "b");
        CPPUNIT_ASSERT(m_suspects.isQuarantined(m_request, m_now));
    }

    void contentThatIsAnsweredIsNoCause()
    {
        m_suspects.recordResponse(m_request, m_now);
        for (const char *target : {"t1", "t2", "t3"}) {
            m_now += Seconds(9);
            lose(target, "a");
            m_suspects.recordTargetEnded(TargetId(target), m_now);
        }
        CPPUNIT_ASSERT(!m_suspects.isSuspect(m_request, m_now));
        m_now += Seconds(9);
        lose("t4", "a");
        CPPUNIT_ASSERT(m_suspects.isSuspect(m_request, m_now));
    }

    /** Wrongly refused requests are served again, while requests that crash targets stay rare. */
    void quarantinedRequestIsTriedAtGrowingIntervals()
    {
        int runs = 0;
        for (int i = 0; i < 300; ++i) {
            m_now += Seconds(1);
            if (!m_suspects.tryAdmit(m_request, m_now))
                continue;
            const std::string target = "t" + std::to_string(++runs);
            lose(target.c_str(), "a");
            m_suspects.recordTargetEnded(TargetId(target), m_now);
        }
        // Two until the quarantine, and trials after 2 s, 60 s and 120 s.
        CPPUNIT_ASSERT_EQUAL(5, runs);
        m_now += Seconds(240);
        CPPUNIT_ASSERT(m_suspects.tryAdmit(m_request, m_now));
        m_suspects.recordResponse(m_request, m_now);
        CPPUNIT_ASSERT(m_suspects.tryAdmit(m_request, m_now));
    }

    /** A target that is reset by its connection limit refuses single connections, not all. */
    void unresponsiveTargetsAreProbedAgain()
    {
        lose("t1", "a", true);
        int probes = 0;
        for (int i = 0; i < 100; ++i) {
            m_now += Milliseconds(25);
            if (!m_suspects.needsVerification(TargetId("t1"), m_now))
                continue;
            ++probes;
            CPPUNIT_ASSERT(!m_suspects.isSuspect(m_request, m_now));
            m_suspects.recordTargetUnresponsive(TargetId("t1"), false, m_now);
        }
        CPPUNIT_ASSERT_EQUAL(3, probes);
        CPPUNIT_ASSERT(m_suspects.isSuspect(m_request, m_now));
    }

private:
    void lose(const char *target, const char *zone, bool isSilent = false)
    {
        m_suspects.recordLoss({m_request, TargetId(target), ZoneId(zone), m_now - Milliseconds(20),
                               m_now, isSilent});
    }

    CrashSuspects m_suspects;
    Fingerprint m_request{666};
    TimePoint m_now{Seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
