#include "endivedock/core.h"

#include <set>

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class CoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CoreTest);
    CPPUNIT_TEST(addressesRoundTrip);
    CPPUNIT_TEST(hostNamesAreNotAddresses);
    CPPUNIT_TEST(refusalNamesDiffer);
    CPPUNIT_TEST(boundedMapEvictsTheOldest);
    CPPUNIT_TEST_SUITE_END();

public:
    void addressesRoundTrip()
    {
        for (const std::string text : {"127.0.0.1:80", "[::1]:65535"})
            CPPUNIT_ASSERT_EQUAL(text, formatAddress(parseAddress(text)));
    }

    void hostNamesAreNotAddresses()
    {
        for (const std::string text :
             {"localhost:80", "127.0.0.1", "127.0.0.1:70000", "1.2.3:4", ":1"})
            CPPUNIT_ASSERT_THROW_MESSAGE(text, parseAddress(text), AddressError);
    }

    void refusalNamesDiffer()
    {
        std::set<std::string_view> names;
        for (std::size_t i = 0; i < refusalReasonCount; ++i)
            names.insert(describe(static_cast<RefusalReason>(i)).name);
        CPPUNIT_ASSERT_EQUAL(refusalReasonCount, names.size());
    }

    void boundedMapEvictsTheOldest()
    {
        BoundedMap<int, int> map(2);
        map[1] = 10;
        map[2] = 20;
        map[3] = 30;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, map.size());
        CPPUNIT_ASSERT(map.find(1) == nullptr);
        CPPUNIT_ASSERT_EQUAL(30, *map.find(3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreTest);
