#include "endivedock/balancing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>

using namespace endivedock;

namespace {

const ServiceId service("maps");
const std::vector<ZoneId> zones{ZoneId("a"), ZoneId("b"), ZoneId("c"), ZoneId("d")};
constexpr int targetsPerZone = 20;
/** Slots that a placing host fills at the targets of one zone: four fifths of three, rounded. */
constexpr int roomPerZone = targetsPerZone * 2;
constexpr Milliseconds workTime{100};

/** One placing host in each zone, targets that take workTime, and messages without delay. */
class Fleet
{
public:
    Fleet()
    {
        std::vector<RegisteredTarget> targets;
        std::map<ZoneId, ZoneSize> sizes;
        for (std::size_t zone = 0; zone < zones.size(); ++zone) {
            sizes[zones[zone]] = {targetsPerZone, 4};
            for (int i = 0; i < targetsPerZone; ++i)
                targets.push_back(makeTarget(zone, i));
        }
        for (std::size_t zone = 0; zone < zones.size(); ++zone) {
            BalancingSettings settings;
            settings.zone = zones[zone];
            settings.extraRetries = 40;
            Host &host = *m_hosts.emplace_back(std::make_unique<Host>());
            host.balancer.emplace(service, HostId(static_cast<std::uint32_t>(zone + 1)), settings,
                                  m_random, host.suspects);
            host.balancer->setTargets(targets, m_now);
            host.balancer->setDivision(ZoneDivision(service, sizes));
        }
        stateRooms();
    }

    /** Requests a target for a request of the zone, as a host of that zone does. */
    void request(std::size_t zone, bool isRetry = false)
    {
        PlacementRequest request;
        request.attempt = {HostId(static_cast<std::uint32_t>(100 + zone)), RequestId(++m_number),
                           0};
        request.service = service;
        request.zone = zones[zone];
        request.isRetry = isRetry;
        request.remaining = Milliseconds(2000);
        request.latencyObjective = Milliseconds(600);
        ++arrived;
        ask(zone, request);
    }

    /** Lets time pass; requests end, and rooms are stated. */
    void run(Milliseconds time)
    {
        const TimePoint end = m_now + time;
        while (m_now < end) {
            m_now += Milliseconds(5);
            finishDue();
            for (std::size_t zone = 0; zone < zones.size(); ++zone) {
                for (const auto &decision : balancer(zone).dispatch(m_now))
                    apply(zone, decision.request, decision.outcome);
            }
            stateRooms();
        }
    }

    /** Sends requests at an even rate. */
    void load(std::size_t zone, int perSecond, Milliseconds time)
    {
        const auto count = perSecond * time.count() / 1000;
        for (std::int64_t i = 0; i < count; ++i) {
            request(zone);
            if (i % (perSecond / 200 + 1) == 0)
                run(Milliseconds(5));
        }
    }

    ServiceBalancer &balancer(std::size_t zone) { return *m_hosts[zone]->balancer; }
    TimePoint now() const { return m_now; }

    /** @return the grants to requests of one zone at targets of another */
    int grantedAt(std::size_t from, std::size_t zone) { return granted[{from, zones[zone]}]; }

    int arrived = 0;
    int refused = 0;
    /** Grants by zone of the request and zone of the target. */
    std::map<std::pair<std::size_t, ZoneId>, int> granted;
    int spilled = 0;
    /** Whether no statement of room arrives. */
    bool isCut = false;

private:
    struct Host
    {
        CrashSuspects suspects;
        std::optional<ServiceBalancer> balancer;
        RoomStatements statements;
    };
    struct Running
    {
        std::size_t zone;
        AttemptReport report;
    };

    static RegisteredTarget makeTarget(std::size_t zone, int number)
    {
        RegisteredTarget target;
        target.id = TargetId(zones[zone].value() + std::to_string(number));
        target.service = service;
        target.address = {"10." + std::to_string(zone) + ".0." + std::to_string(number), 80};
        target.zone = zones[zone];
        target.version = VersionId("v1");
        target.slots = Slots(3);
        return target;
    }

    void ask(std::size_t placingZone, const PlacementRequest &request)
    {
        if (const auto outcome = balancer(placingZone).place(request, m_now))
            apply(placingZone, request, *outcome);
    }

    void apply(std::size_t placingZone, PlacementRequest request,
               const ServiceBalancer::Outcome &outcome)
    {
        if (const auto *other = std::get_if<OtherZone>(&outcome)) {
            ++spilled;
            CPPUNIT_ASSERT(!request.isSpilled);
            CPPUNIT_ASSERT(other->zone != zones[placingZone]);
            request.isSpilled = true;
            ask(indexOf(other->zone), request);
        } else if (const auto *choice = std::get_if<TargetChoice>(&outcome)) {
            CPPUNIT_ASSERT(choice->target.zone == zones[placingZone]);
            ++granted[{indexOf(request.zone), choice->target.zone}];
            AttemptReport report;
            report.attempt = request.attempt;
            report.service = service;
            report.grant = choice->grant;
            report.target = choice->target.id;
            report.outcome = AttemptOutcome::Answered;
            report.time = workTime;
            m_running.emplace(m_now + workTime, Running{placingZone, report});
        } else {
            ++refused;
        }
    }

    void finishDue()
    {
        while (!m_running.empty() && m_running.begin()->first <= m_now) {
            const Running running = m_running.begin()->second;
            m_running.erase(m_running.begin());
            balancer(running.zone).finish(running.report, m_now);
        }
    }

    void stateRooms()
    {
        for (std::size_t from = 0; from < zones.size(); ++from) {
            const ZoneRoom room = balancer(from).zoneRoom(m_now);
            if (isCut ||
                !m_hosts[from]->statements.tryState(room, balancer(from).counters().takenIn, m_now))
                continue;
            for (std::size_t to = 0; to < zones.size(); ++to)
                balancer(to).applyZoneRoom(room, m_now);
        }
    }

    static std::size_t indexOf(const ZoneId &zone)
    {
        return static_cast<std::size_t>(std::find(zones.begin(), zones.end(), zone) -
                                        zones.begin());
    }

    TimePoint m_now{Seconds(100)};
    Random m_random{1};
    std::uint64_t m_number = 0;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::multimap<TimePoint, Running> m_running;
};

class ZonesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ZonesTest);
    CPPUNIT_TEST(workStaysWhileTheZoneHasRoom);
    CPPUNIT_TEST(demandOfOneZoneSpillsAndComesBack);
    CPPUNIT_TEST(shiftingDemandIsServed);
    CPPUNIT_TEST(cutZoneKeepsItsRequests);
    CPPUNIT_TEST(zoneWithoutUsableTargetsPassesAllOn);
    CPPUNIT_TEST(zoneWithoutUsableTargetsDoesNotOverfillOthers);
    CPPUNIT_TEST(retriesOfAllZonesStayWithinTheBudget);
    CPPUNIT_TEST(coldTargetIsUsedByItsZoneOnly);
    CPPUNIT_TEST(loadIsReportedForTheOwnZoneOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void workStaysWhileTheZoneHasRoom()
    {
        Fleet fleet;
        // Three quarters of the room of the zone.
        fleet.load(0, roomPerZone * 10 * 3 / 4, Seconds(2));
        CPPUNIT_ASSERT_EQUAL(0, fleet.spilled);
        CPPUNIT_ASSERT_EQUAL(0, fleet.refused);
        CPPUNIT_ASSERT_EQUAL(fleet.arrived, fleet.grantedAt(0, 0));
    }

    void demandOfOneZoneSpillsAndComesBack()
    {
        Fleet fleet;
        // A burst of one and a half times the room of its zone; the other zones are idle.
        for (int i = 0; i < roomPerZone * 3 / 2; ++i)
            fleet.request(0);
        CPPUNIT_ASSERT_EQUAL(0, fleet.refused);
        CPPUNIT_ASSERT_EQUAL(roomPerZone, fleet.grantedAt(0, 0));
        CPPUNIT_ASSERT_EQUAL(roomPerZone / 2, fleet.spilled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.balancer(0).waitingCount());
        fleet.run(Milliseconds(500));
        const int spilled = fleet.spilled;
        fleet.load(0, roomPerZone * 10 * 3 / 4, Seconds(1));
        CPPUNIT_ASSERT_EQUAL(spilled, fleet.spilled);
    }

    void shiftingDemandIsServed()
    {
        Fleet fleet;
        // All demand, of half of all room, moves to the next zone each 500 ms.
        for (std::size_t turn = 0; turn < 8; ++turn)
            fleet.load(turn % zones.size(), roomPerZone * 10 * 2, Milliseconds(500));
        fleet.run(Seconds(1));
        CPPUNIT_ASSERT_EQUAL(0, fleet.refused);
    }

    void cutZoneKeepsItsRequests()
    {
        Fleet fleet;
        fleet.isCut = true;
        fleet.run(RoomOfZones::maxRoomAge + Milliseconds(100));
        for (int i = 0; i < roomPerZone * 3 / 2; ++i)
            fleet.request(0);
        CPPUNIT_ASSERT_EQUAL(0, fleet.spilled);
        CPPUNIT_ASSERT_EQUAL(roomPerZone, fleet.grantedAt(0, 0));
    }

    void zoneWithoutUsableTargetsPassesAllOn()
    {
        Fleet fleet;
        fleet.balancer(0).setEvacuatedZones({zones[0]}, fleet.now());
        for (int i = 0; i < roomPerZone / 2; ++i)
            fleet.request(0);
        CPPUNIT_ASSERT_EQUAL(roomPerZone / 2, fleet.spilled);
        CPPUNIT_ASSERT_EQUAL(0, fleet.refused);
    }

    /** They wait or are refused by the placing hosts of the full zones, which know the loads. */
    void zoneWithoutUsableTargetsDoesNotOverfillOthers()
    {
        Fleet fleet;
        fleet.balancer(0).setEvacuatedZones({zones[0]}, fleet.now());
        for (std::size_t zone = 1; zone < zones.size(); ++zone) {
            for (int i = 0; i < roomPerZone; ++i)
                fleet.request(zone);
        }
        for (int i = 0; i < roomPerZone * 4; ++i)
            fleet.request(0);
        // Fleet checks that each placing host grants targets of its own zone only.
        CPPUNIT_ASSERT_EQUAL(roomPerZone * 4, fleet.spilled);
        for (std::size_t zone = 1; zone < zones.size(); ++zone)
            CPPUNIT_ASSERT_EQUAL(0, fleet.grantedAt(0, zone));
    }

    void retriesOfAllZonesStayWithinTheBudget()
    {
        Fleet fleet;
        for (int i = 0; i < 30; ++i) {
            for (std::size_t zone = 0; zone < zones.size(); ++zone)
                fleet.request(zone, true);
        }
        // The settings of the fleet allow 40 retries in all zones together.
        CPPUNIT_ASSERT_EQUAL(120 - 40, fleet.refused);
    }

    void coldTargetIsUsedByItsZoneOnly()
    {
        Fleet fleet;
        // The other zones have no usable target of their own, and do not know of any room.
        fleet.isCut = true;
        fleet.run(RoomOfZones::maxRoomAge + Milliseconds(100));
        ServiceRules rules;
        rules.id = service;
        rules.warmup = Seconds(5);
        rules.warmupRate = PerSecond(4);
        fleet.balancer(0).setRules(rules);
        fleet.balancer(0).setEvacuatedZones({zones[0], zones[1], zones[2], zones[3]}, fleet.now());
        fleet.balancer(0).setEvacuatedZones({zones[0]}, fleet.now());
        fleet.run(Seconds(1));
        PlacementRequest request;
        request.attempt = {HostId(1), RequestId(1'000'000), 0};
        request.service = service;
        request.remaining = Milliseconds(2000);
        CPPUNIT_ASSERT(std::holds_alternative<Refusal>(
                fleet.balancer(0).placeAsFallback(request, fleet.now())));
    }

    void loadIsReportedForTheOwnZoneOnly()
    {
        Fleet fleet;
        for (int i = 0; i < roomPerZone * 3 / 2; ++i)
            fleet.request(0);
        const auto loads = fleet.balancer(0).grantedLoads(HostId(7), fleet.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(targetsPerZone), loads.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZonesTest);

} // namespace
