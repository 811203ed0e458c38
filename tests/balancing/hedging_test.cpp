#include "mixed_load.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::test::MixedLoad;
using endivedock::test::simulate;

namespace {

const ServiceId service("quotes");
const HostId self(1);
const RequestClass requestClass{RouteKey(5), ProfileKey(5)};

RegisteredTarget makeTarget(int number, const std::string &zone)
{
    RegisteredTarget target;
    target.id = TargetId("t" + std::to_string(number));
    target.service = service;
    target.address = {"10.0.0." + std::to_string(number), 80};
    target.zone = ZoneId(zone);
    target.version = VersionId("v1");
    target.slots = Slots(4);
    return target;
}

BalancingSettings makeSettings()
{
    BalancingSettings settings;
    settings.hedgingShare = Share(0.05);
    return settings;
}

/** The placing host of a service with four targets, two in each of two zones. */
class Fixture
{
public:
    Fixture()
    {
        balancer.setTargets(targets, now);
        probe();
    }

    PlacementRequest makeRequest(HostId host = self)
    {
        PlacementRequest request;
        request.attempt = {host, RequestId(++m_requestCount), 1};
        request.service = service;
        request.requestClass = requestClass;
        request.remaining = Milliseconds(1500);
        request.latencyObjective = Milliseconds(600);
        request.fingerprint = Fingerprint(m_requestCount);
        request.zone = ZoneId("a");
        return request;
    }

    /** Sends requests that are answered within the usual time. */
    void answerRequests(int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto choice = *place(makeRequest());
            now += Milliseconds(100);
            finish(choice, AttemptOutcome::Answered, Milliseconds(100));
        }
    }

    std::optional<TargetChoice> place(const PlacementRequest &request)
    {
        const auto outcome = balancer.place(request, now);
        CPPUNIT_ASSERT(outcome.has_value() || !request.firstAttemptAge);
        if (!outcome || std::holds_alternative<Refusal>(*outcome))
            return std::nullopt;
        return std::get<TargetChoice>(*outcome);
    }

    PlacementRequest makeHedge(const PlacementRequest &first, const TargetChoice &choice,
                               Milliseconds age = Milliseconds(250))
    {
        PlacementRequest hedge = first;
        hedge.attempt.number = 129;
        hedge.isRetry = true;
        hedge.firstAttemptAge = age;
        hedge.remaining -= age;
        hedge.latencyObjective -= age;
        hedge.excludedTargets.push_back(choice.target.id);
        return hedge;
    }

    void finish(const TargetChoice &choice, AttemptOutcome outcome, Milliseconds time)
    {
        AttemptReport report;
        report.service = service;
        report.grant = choice.grant;
        report.target = choice.target.id;
        report.outcome = outcome;
        report.time = time;
        balancer.finish(report, now);
    }

    /** All targets respond to a probe, or only one of them. */
    void probe(const TargetId &only = TargetId())
    {
        for (const auto &target : targets) {
            if (only != TargetId() && target.id != only)
                continue;
            ProbeResult result;
            result.isHealthy = true;
            result.id = target.id;
            result.load = ReportedLoad{Slots(0), Slots(0), Slots(4), 1.0};
            balancer.applyProbeResult(target.id, result, now);
        }
    }

    /** @return the hedge of a request that has run for 250 ms */
    std::optional<TargetChoice> hedgeOneRequest(HostId host = self)
    {
        const PlacementRequest request = makeRequest(host);
        const auto first = place(request);
        now += Milliseconds(250);
        probe();
        return place(makeHedge(request, *first));
    }

    std::vector<RegisteredTarget> targets{makeTarget(1, "a"), makeTarget(2, "a"),
                                          makeTarget(3, "b"), makeTarget(4, "b")};
    TimePoint now{Seconds(1000)};
    Random random{1};
    CrashSuspects suspects;
    ServiceBalancer balancer{service, self, makeSettings(), random, suspects};

private:
    std::uint64_t m_requestCount = 0;
};

MixedLoad heavyTail()
{
    MixedLoad load;
    load.kinds = {{requestClass, 70, Milliseconds(190), Milliseconds(600), Milliseconds(1500)}};
    load.targets = 20;
    load.slots = Slots(3);
    load.slowShare = 0.1;
    load.slowFactor = 4;
    load.slowPeriod = Milliseconds(300);
    load.tailShare = 0.03;
    load.tailFactor = 7;
    load.countFrom = Milliseconds(5000);
    return load;
}

} // namespace

class BalancerHedgingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BalancerHedgingTest);
    CPPUNIT_TEST(hedgeGoesToAnotherTargetOfTheZone);
    CPPUNIT_TEST(hedgeIsNeverQueued);
    CPPUNIT_TEST(fullTargetsGetNoHedges);
    CPPUNIT_TEST(suspectsAndSilentTargetsGetNoHedges);
    CPPUNIT_TEST(coldTargetsGetNoHedges);
    CPPUNIT_TEST(manyHostsShareOneLimit);
    CPPUNIT_TEST(newPlacingHostStartsWithoutHedges);
    CPPUNIT_TEST(overtakenTargetIsSeenAsSlow);
    CPPUNIT_TEST(fallbackMakesNoHedges);
    CPPUNIT_TEST(heavyTailIsCut);
    CPPUNIT_TEST(overloadGetsNoHedges);
    CPPUNIT_TEST_SUITE_END();

public:
    void hedgeGoesToAnotherTargetOfTheZone()
    {
        Fixture fixture;
        fixture.answerRequests(100);
        const PlacementRequest request = fixture.makeRequest();
        const auto first = fixture.place(request);
        CPPUNIT_ASSERT(first->hedgeAfter > Milliseconds(0));
        fixture.now += Milliseconds(250);
        fixture.probe();
        const auto hedge = fixture.place(fixture.makeHedge(request, *first));
        CPPUNIT_ASSERT(hedge && hedge->target.id != first->target.id);
        CPPUNIT_ASSERT(hedge->target.zone == ZoneId("a"));
        CPPUNIT_ASSERT(hedge->hedgeAfter == Milliseconds(0));
    }

    void hedgeIsNeverQueued()
    {
        Fixture fixture;
        fixture.answerRequests(100);
        const PlacementRequest request = fixture.makeRequest();
        const auto first = fixture.place(request);
        while (fixture.place(fixture.makeRequest()))
            ;
        const std::size_t waiting = fixture.balancer.waitingCount();
        fixture.now += Milliseconds(250);
        fixture.probe();
        CPPUNIT_ASSERT(!fixture.place(fixture.makeHedge(request, *first)));
        CPPUNIT_ASSERT_EQUAL(waiting, fixture.balancer.waitingCount());
        CPPUNIT_ASSERT(fixture.balancer.takeHedgeRefusal() == HedgeRefusal::NoRoom);
    }

    void fullTargetsGetNoHedges()
    {
        Fixture fixture;
        fixture.answerRequests(100);
        const PlacementRequest request = fixture.makeRequest();
        const auto first = fixture.place(request);
        for (int i = 0; i < 9; ++i) // Of the twelve that four targets may be given.
            fixture.place(fixture.makeRequest());
        fixture.now += Milliseconds(250);
        fixture.probe();
        CPPUNIT_ASSERT(!fixture.place(fixture.makeHedge(request, *first)));
        CPPUNIT_ASSERT(fixture.balancer.takeHedgeRefusal() == HedgeRefusal::NoRoom);
    }

    void suspectsAndSilentTargetsGetNoHedges()
    {
        Fixture fixture;
        fixture.answerRequests(100);
        PlacementRequest request = fixture.makeRequest();
        fixture.suspects.recordCrash(request.fingerprint, TargetId("t9"), fixture.now);
        auto first = fixture.place(request);
        fixture.now += Milliseconds(250);
        fixture.probe();
        CPPUNIT_ASSERT(!fixture.place(fixture.makeHedge(request, *first)));
        CPPUNIT_ASSERT(fixture.balancer.takeHedgeRefusal() == HedgeRefusal::Suspect);
        request = fixture.makeRequest();
        first = fixture.place(request);
        fixture.now += Milliseconds(250);
        CPPUNIT_ASSERT(!fixture.place(fixture.makeHedge(request, *first)));
        CPPUNIT_ASSERT(fixture.balancer.takeHedgeRefusal() == HedgeRefusal::SilentTarget);
    }

    void coldTargetsGetNoHedges()
    {
        Fixture fixture;
        fixture.answerRequests(100);
        for (auto &target : fixture.targets)
            target.remainingWarmup = Milliseconds(60'000);
        const PlacementRequest request = fixture.makeRequest();
        const auto first = fixture.place(request);
        for (int i = 0; i < 4; ++i) {
            if (fixture.targets[std::size_t(i)].id == first->target.id)
                continue;
            fixture.targets[std::size_t(i)].startedAt = 77; // Restarted.
        }
        fixture.balancer.setTargets(fixture.targets, fixture.now);
        fixture.now += Milliseconds(250);
        fixture.probe(first->target.id); // The probes of the others would show that they are warm.
        CPPUNIT_ASSERT(!fixture.place(fixture.makeHedge(request, *first)));
        CPPUNIT_ASSERT(fixture.balancer.takeHedgeRefusal() == HedgeRefusal::NoTarget);
    }

    void manyHostsShareOneLimit()
    {
        Fixture fixture;
        fixture.answerRequests(90);
        int hedges = 0;
        for (int host = 2; host < 42; ++host) {
            const PlacementRequest request = fixture.makeRequest(HostId(std::uint32_t(host)));
            const auto first = fixture.place(request);
            if (!first)
                break;
            fixture.now += Milliseconds(1);
            fixture.probe();
            const auto hedge = fixture.place(fixture.makeHedge(request, *first, Milliseconds(1)));
            hedges += hedge ? 1 : 0;
            fixture.finish(*first, AttemptOutcome::Abandoned, Milliseconds(1));
            if (hedge)
                fixture.finish(*hedge, AttemptOutcome::Abandoned, Milliseconds(1));
        }
        // One in twenty of at most 130 first attempts in the window.
        CPPUNIT_ASSERT(hedges >= 4 && hedges <= 6);
        CPPUNIT_ASSERT(fixture.balancer.takeHedgeRefusal() == HedgeRefusal::ShareUsed);
    }

    /** The successor knows neither times nor what its predecessor allowed. */
    void newPlacingHostStartsWithoutHedges()
    {
        Fixture fixture;
        const PlacementRequest request = fixture.makeRequest(HostId(2));
        const auto first = fixture.place(request);
        CPPUNIT_ASSERT(first->hedgeAfter == Milliseconds(0));
        fixture.now += Milliseconds(250);
        fixture.probe();
        CPPUNIT_ASSERT(!fixture.place(fixture.makeHedge(request, *first)));
        CPPUNIT_ASSERT(fixture.balancer.takeHedgeRefusal() == HedgeRefusal::ShareUsed);
    }

    /** Its time is known to be long, while the times of the route keep their mean. */
    void overtakenTargetIsSeenAsSlow()
    {
        Fixture fixture;
        fixture.answerRequests(100);
        const auto usual = fixture.balancer.serviceTimes().expected(requestClass);
        TargetId slow;
        for (int i = 0; i < 40; ++i) {
            const auto choice = *fixture.place(fixture.makeRequest());
            if (slow == TargetId())
                slow = choice.target.id;
            fixture.now += Milliseconds(300);
            const bool isSlow = choice.target.id == slow;
            fixture.finish(choice, isSlow ? AttemptOutcome::Overtaken : AttemptOutcome::Answered,
                           Milliseconds(isSlow ? 900 : 100));
        }
        const auto after = fixture.balancer.serviceTimes().expected(requestClass);
        CPPUNIT_ASSERT(after <= usual * 11 / 10 && after >= usual * 9 / 10);
        int atSlow = 0;
        for (int i = 0; i < 20; ++i) {
            const auto choice = *fixture.place(fixture.makeRequest());
            atSlow += choice.target.id == slow ? 1 : 0;
            fixture.finish(choice, AttemptOutcome::Answered, Milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(0, atSlow);
    }

    void fallbackMakesNoHedges()
    {
        Fixture fixture;
        fixture.answerRequests(100);
        const auto outcome = fixture.balancer.placeAsFallback(fixture.makeRequest(), fixture.now);
        CPPUNIT_ASSERT(std::get<TargetChoice>(outcome).hedgeAfter == Milliseconds(0));
    }

    /** Three in a hundred requests take seven times as long, and a tenth of the targets is slow. */
    void heavyTailIsCut()
    {
        int lateWithout = 0;
        int lateWith = 0;
        int hedges = 0;
        int requested = 0;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            MixedLoad load = heavyTail();
            const auto without = simulate(load, seed)[0];
            CPPUNIT_ASSERT_EQUAL(0, without.hedges);
            load.hedgingShare = Share(0.05);
            const auto with = simulate(load, seed)[0];
            lateWithout += without.requested - without.withinObjective;
            lateWith += with.requested - with.withinObjective;
            hedges += with.hedges;
            requested += with.requested;
            CPPUNIT_ASSERT_MESSAGE(describe(without, with),
                                   with.quantile(0.99) * 4 < without.quantile(0.99) * 3);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(lateWithout) + " " + std::to_string(lateWith),
                               lateWith * 2 < lateWithout);
        CPPUNIT_ASSERT(hedges * 100 <= requested * 6);
    }

    /** What the targets cannot do once, they are not asked to do twice. */
    void overloadGetsNoHedges()
    {
        MixedLoad load = heavyTail();
        load.kinds[0].perSecond = 320;
        load.hedgingShare = Share(0.05);
        const auto with = simulate(load, 1)[0];
        CPPUNIT_ASSERT_MESSAGE(with.text(), with.refused > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(with.hedges), with.hedges * 500 <= with.requested);
    }

private:
    static std::string describe(const test::KindResult &without, const test::KindResult &with)
    {
        return "without: " + without.text() + ", p99 " + std::to_string(without.quantile(0.99)) +
               " ms; with: " + with.text() + ", p99 " + std::to_string(with.quantile(0.99)) +
               " ms, hedges " + std::to_string(with.hedges);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerHedgingTest);
