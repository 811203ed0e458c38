#include "endivedock/zones.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

const ServiceId service("maps");

class ZonesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ZonesTest);
    CPPUNIT_TEST(smallServiceIsNotDivided);
    CPPUNIT_TEST(eachLargeZonePlacesForItself);
    CPPUNIT_TEST(smallZoneBelongsToOneLargeZone);
    CPPUNIT_TEST(evacuatedZoneBelongsToAnother);
    CPPUNIT_TEST(oneLargeZoneIsNotEnough);
    CPPUNIT_TEST(roomIsSharedAmongZones);
    CPPUNIT_TEST(mostRoomIsTakenFirst);
    CPPUNIT_TEST(oldAndSlowRoomIsNotUsed);
    CPPUNIT_TEST_SUITE_END();

public:
    void smallServiceIsNotDivided()
    {
        const ZoneDivision division(service, {{a, {3, 10}}, {b, {3, 10}}, {c, {2, 10}}});
        CPPUNIT_ASSERT(!division.isDivided());
        CPPUNIT_ASSERT(division.placingZone(a) == ZoneId());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), division.placingZoneCount());
    }

    void eachLargeZonePlacesForItself()
    {
        const ZoneDivision division(service, {{a, {40, 10}}, {b, {40, 10}}, {c, {40, 10}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), division.placingZoneCount());
        for (const auto &zone : {a, b, c})
            CPPUNIT_ASSERT(division.placingZone(zone) == zone);
    }

    void smallZoneBelongsToOneLargeZone()
    {
        const ZoneDivision few(service, {{a, {40, 10}}, {b, {40, 10}}, {c, {2, 10}}});
        const ZoneId owner = few.placingZone(c);
        CPPUNIT_ASSERT(owner == a || owner == b);
        CPPUNIT_ASSERT_EQUAL(42, few.placingZones().at(owner).targets);
        const ZoneDivision noHosts(service, {{a, {40, 10}}, {b, {40, 10}}, {c, {40, 1}}});
        CPPUNIT_ASSERT(noHosts.placingZone(c) == owner);
        // A zone of which only its name is known has a placing zone as well.
        CPPUNIT_ASSERT(few.placingZones().contains(few.placingZone(ZoneId("unknown"))));
    }

    void evacuatedZoneBelongsToAnother()
    {
        const ZoneDivision division(service, {{a, {40, 10}}, {b, {40, 10}}, {c, {0, 10}}});
        CPPUNIT_ASSERT(division.placingZone(c) != c);
        CPPUNIT_ASSERT(division.leadingZone() != c);
    }

    void oneLargeZoneIsNotEnough()
    {
        const ZoneDivision division(service, {{a, {40, 10}}, {b, {8, 10}}});
        CPPUNIT_ASSERT(!division.isDivided());
    }

    void roomIsSharedAmongZones()
    {
        RoomOfZones rooms;
        // Three zones may take from the zone b: this one, a and c.
        rooms.apply({service, b, Slots(8), 100}, 3, now);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(rooms.takeSlot(10, now) == b);
        CPPUNIT_ASSERT(!rooms.takeSlot(10, now));
        rooms.apply({service, b, Slots(2), 100}, 3, now);
        CPPUNIT_ASSERT(rooms.takeSlot(10, now) == b);
        CPPUNIT_ASSERT(!rooms.takeSlot(10, now));
    }

    void mostRoomIsTakenFirst()
    {
        RoomOfZones rooms;
        rooms.apply({service, a, Slots(4), 100}, 3, now);
        rooms.apply({service, b, Slots(8), 100}, 3, now);
        CPPUNIT_ASSERT(rooms.takeSlot(10, now) == b);
        CPPUNIT_ASSERT(rooms.takeSlot(10, now) == b);
        int fromA = 0;
        for (int i = 0; i < 4; ++i)
            fromA += rooms.takeSlot(10, now) == a ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(2, fromA);
        CPPUNIT_ASSERT(!rooms.takeSlot(10, now));
    }

    void oldAndSlowRoomIsNotUsed()
    {
        RoomOfZones rooms;
        rooms.apply({service, a, Slots(9), 400}, 3, now);
        CPPUNIT_ASSERT(!rooms.takeSlot(3, now));
        CPPUNIT_ASSERT(rooms.takeSlot(5, now) == a);
        CPPUNIT_ASSERT(!rooms.takeSlot(5, now + RoomOfZones::maxRoomAge + Milliseconds(1)));
    }

private:
    const ZoneId a{"a"};
    const ZoneId b{"b"};
    const ZoneId c{"c"};
    const TimePoint now{Seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZonesTest);

} // namespace
