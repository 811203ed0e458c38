#include "endivedock/servicetime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

RequestClass makeClass(std::uint32_t route, std::uint32_t profile)
{
    return {RouteKey(route), ProfileKey(profile)};
}

} // namespace

class ServiceTimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceTimeTest);
    CPPUNIT_TEST(routesAreLearnedApart);
    CPPUNIT_TEST(newRouteStartsFromItsProfile);
    CPPUNIT_TEST(firstResponsesWeighNoMoreThanTheAssumption);
    CPPUNIT_TEST(estimateFollowsAChange);
    CPPUNIT_TEST(anotherHostStartsFromWhatWasLearned);
    CPPUNIT_TEST(adoptingKeepsWhatIsKnownBetter);
    CPPUNIT_TEST(numberOfRoutesIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Load pattern: reads of 220 ms and of 36 ms at one service. */
    void routesAreLearnedApart()
    {
        learn(m_times, 300);
        CPPUNIT_ASSERT(isNear(m_times.expected(m_long), Milliseconds(220)));
        CPPUNIT_ASSERT(isNear(m_times.expected(m_short), Milliseconds(36)));
        CPPUNIT_ASSERT(m_times.mean() > Milliseconds(100));
        CPPUNIT_ASSERT(m_times.mean() < Milliseconds(160));
    }

    /** Load pattern: a configuration adds hundreds of routes that do known work. */
    void newRouteStartsFromItsProfile()
    {
        learn(m_times, 300);
        CPPUNIT_ASSERT(isNear(m_times.expected(makeClass(77, 2)), Milliseconds(36)));
        CPPUNIT_ASSERT_EQUAL(m_times.mean().count(), m_times.expected(makeClass(78, 9)).count());
    }

    void firstResponsesWeighNoMoreThanTheAssumption()
    {
        const Microseconds assumed = m_times.expected(m_short);
        m_times.record(m_short, Milliseconds(900));
        CPPUNIT_ASSERT(m_times.expected(m_short) < assumed + Milliseconds(900) / 2);
    }

    void estimateFollowsAChange()
    {
        learn(m_times, 300);
        for (int i = 0; i < 200; ++i)
            m_times.record(m_short, Milliseconds(80));
        CPPUNIT_ASSERT(isNear(m_times.expected(m_short), Milliseconds(80)));
        CPPUNIT_ASSERT(isNear(m_times.expected(m_long), Milliseconds(220)));
    }

    /** A host that takes over the placing of a service must not judge its requests anew. */
    void anotherHostStartsFromWhatWasLearned()
    {
        learn(m_times, 300);
        ServiceTimes other;
        other.adopt(m_times.shared());
        CPPUNIT_ASSERT(isNear(other.expected(m_short), Milliseconds(36)));
        CPPUNIT_ASSERT(isNear(other.expected(m_long), Milliseconds(220)));
        CPPUNIT_ASSERT_EQUAL(m_times.mean().count(), other.mean().count());
    }

    void adoptingKeepsWhatIsKnownBetter()
    {
        learn(m_times, 300);
        ServiceTimes newcomer;
        newcomer.record(m_short, Milliseconds(500));
        m_times.adopt(newcomer.shared());
        m_times.adopt(SharedServiceTimes{});
        CPPUNIT_ASSERT(isNear(m_times.expected(m_short), Milliseconds(36)));
    }

    void numberOfRoutesIsBounded()
    {
        for (std::uint32_t i = 0; i < 5000; ++i)
            m_times.record(makeClass(i, i), Milliseconds(36));
        CPPUNIT_ASSERT_EQUAL(ServiceTimes::maxSharedProfiles, m_times.shared().profiles.size());
        CPPUNIT_ASSERT(isNear(m_times.expected(makeClass(4999, 4999)), Milliseconds(36)));
    }

private:
    void learn(ServiceTimes &times, int count) const
    {
        for (int i = 0; i < count; ++i) {
            times.record(m_long, Milliseconds(220));
            times.record(m_short, Milliseconds(36));
        }
    }

    static bool isNear(Microseconds value, Milliseconds expected)
    {
        const Microseconds tolerance = Microseconds(expected) / 10;
        return value > expected - tolerance && value < expected + tolerance;
    }

    ServiceTimes m_times;
    RequestClass m_long = makeClass(1, 1);
    RequestClass m_short = makeClass(2, 2);
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceTimeTest);
