#include "endivedock/routes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace endivedock;

namespace {

Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.weightedServices = {{ServiceId(name), 1}};
    return route;
}

} // namespace

class RoutesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutesTest);
    CPPUNIT_TEST(longestPrefixOfTheHostWins);
    CPPUNIT_TEST(portAndCaseOfTheHostAreIgnored);
    CPPUNIT_TEST(queryIsIgnored);
    CPPUNIT_TEST(servicesGetTheirShare);
    CPPUNIT_TEST(changedWeightsApplyAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void longestPrefixOfTheHostWins()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("root"), find("a.example", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string("quotes"), find("a.example", "/quotes/7"));
        CPPUNIT_ASSERT_EQUAL(std::string("old"), find("a.example", "/quotes/old/7"));
        CPPUNIT_ASSERT_EQUAL(std::string("root"), find("a.example", "/quotes"));
        CPPUNIT_ASSERT_EQUAL(std::string(), find("b.example", "/quotes/7"));
        CPPUNIT_ASSERT_EQUAL(std::string(), find("a.example", ""));
    }

    void portAndCaseOfTheHostAreIgnored()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("quotes"), find("A.Example:8080", "/quotes/"));
    }

    void queryIsIgnored()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("quotes"), find("a.example", "/quotes/?q=/old/"));
    }

    void servicesGetTheirShare()
    {
        Route route = makeRoute("split", "h", "/");
        route.weightedServices = {{ServiceId("a"), 90}, {ServiceId("b"), 9}, {ServiceId("c"), 1}};
        WeightedRoundRobin roundRobin(0.4);
        std::map<ServiceId, int> counts;
        for (int i = 1; i <= 1000; ++i) {
            ++counts[roundRobin.next(route)];
            CPPUNIT_ASSERT(std::abs(counts[ServiceId("b")] - i * 0.09) <= 2);
        }
        CPPUNIT_ASSERT(std::abs(counts[ServiceId("a")] - 900) <= 2);
        CPPUNIT_ASSERT(std::abs(counts[ServiceId("c")] - 10) <= 2);
    }

    void changedWeightsApplyAtOnce()
    {
        Route route = makeRoute("split", "h", "/");
        route.weightedServices = {{ServiceId("a"), 1}, {ServiceId("b"), 1}};
        WeightedRoundRobin roundRobin;
        for (int i = 0; i < 7; ++i)
            roundRobin.next(route);
        route.weightedServices = {{ServiceId("b"), 1}};
        CPPUNIT_ASSERT(roundRobin.next(route) == ServiceId("b"));
        route.weightedServices = {{ServiceId("a"), 3}, {ServiceId("b"), 1}};
        int first = 0;
        for (int i = 0; i < 400; ++i)
            first += roundRobin.next(route) == ServiceId("a") ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(300, first);
    }

private:
    std::string find(const std::string &host, const std::string &path)
    {
        const auto index = m_table.find(host, path);
        return index ? m_table.routes()[*index].name : "";
    }

    RoutingTable m_table{ConfigurationVersion(1),
                         {makeRoute("root", "a.example", "/"),
                          makeRoute("quotes", "a.example", "/quotes/"),
                          makeRoute("old", "a.example", "/quotes/old/")},
                         {},
                         {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutesTest);
