#include "endivedock/gateway.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

/** What the gateway counts as a request of a team that a target began to run. */
class RunCountTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunCountTest);
    CPPUNIT_TEST(aSentRequestCounts);
    CPPUNIT_TEST(aRequestThatTheTargetDidNotRunDoesNotCount);
    CPPUNIT_TEST(allAttemptsOfARequestCountOnce);
    CPPUNIT_TEST(requestsWithoutATeamDoNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_request = {};
        m_request.plan.team = TeamId("alder");
    }

    void aSentRequestCounts()
    {
        {
            RunCount count(&m_usage, m_request);
            CPPUNIT_ASSERT_EQUAL(0u, counted());
            count.setSent();
        }
        CPPUNIT_ASSERT_EQUAL(1u, counted());
    }

    void aRequestThatTheTargetDidNotRunDoesNotCount()
    {
        {
            const RunCount notSent(&m_usage, m_request);
            RunCount refused(&m_usage, m_request);
            refused.setSent();
            refused.setNotRun();
        }
        CPPUNIT_ASSERT_EQUAL(0u, counted());
    }

    void allAttemptsOfARequestCountOnce()
    {
        for (int attempt = 0; attempt < 3; ++attempt) {
            RunCount count(&m_usage, m_request);
            count.setSent();
            if (attempt == 0)
                count.setNotRun();
        }
        CPPUNIT_ASSERT_EQUAL(1u, counted());
    }

    void requestsWithoutATeamDoNotCount()
    {
        m_request.plan.team = TeamId();
        {
            RunCount count(&m_usage, m_request);
            count.setSent();
            RunCount uncounted(nullptr, m_request);
            uncounted.setSent();
        }
        CPPUNIT_ASSERT_EQUAL(0u, counted());
    }

private:
    std::uint32_t counted()
    {
        std::uint32_t result = 0;
        for (const auto &message : m_usage.takeDue(Milliseconds(unixTimeMilliseconds()))) {
            for (const auto &team : message.teams)
                result += team.count;
        }
        return result;
    }

    GatewayRequest m_request;
    OwnUsage m_usage{HostId(1), Incarnation(1), UsageSettings{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunCountTest);
