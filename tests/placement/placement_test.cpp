#include "endivedock/placement.h"

#include "../support.h"

#include <algorithm>
#include <deque>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using namespace endivedock::testing;

namespace {

/** A placer with targets, a simulated clock, and the attempts in flight. */
class PlacerFixture
{
public:
    explicit PlacerFixture(int targets, Service service = makeService(), std::uint64_t seed = 1)
        : m_random(seed)
        , m_service(std::move(service))
        , m_placer(m_service, m_random)
    {
        for (int i = 0; i < targets; ++i)
            m_listed.push_back(makeTarget(i, i % 2 == 0 ? "a" : "b"));
        configure();
        m_placer.setTargets(m_listed, now);
    }

    void configure() { m_placer.configure(m_service, now, 0); }

    /** Requests a placement; a granted attempt stays in flight until finishOldest() ends it. */
    PlacementAnswers place(PlacementRequest request)
    {
        m_requests[request.attempt] = request;
        return recordGrants(m_placer.request(request, now));
    }
    PlacementAnswers place() { return place(makeRequest(++m_number, m_service.id)); }

    PlacementAnswers recordGrants(PlacementAnswers answers)
    {
        for (const auto &answer : answers) {
            if (const auto *placement = std::get_if<Placement>(&answer.outcome))
                m_inFlight.push_back({m_requests.at(answer.attempt), *placement});
        }
        return answers;
    }

    PlacementAnswers finishOldest(AttemptOutcome outcome = AttemptOutcome::Answered,
                                  Microseconds time = Microseconds(10'000))
    {
        const auto [request, placement] = m_inFlight.front();
        m_inFlight.pop_front();
        return recordGrants(m_placer.finish(makeReport(request, placement, outcome, time), now));
    }

    /** Ends the oldest attempt with a response of a target process that states that it drains. */
    void finishOldestDraining(Incarnation incarnation)
    {
        const auto [request, placement] = m_inFlight.front();
        m_inFlight.pop_front();
        AttemptReport report =
                makeReport(request, placement, AttemptOutcome::Answered, Microseconds(10'000));
        report.incarnation = incarnation;
        report.isTargetDraining = true;
        recordGrants(m_placer.finish(report, now));
    }

    /** Sends requests until all targets are warm. */
    void warmUp()
    {
        for (int i = 0; i < 400; ++i) {
            now += Milliseconds(20);
            place();
            while (!m_inFlight.empty())
                finishOldest();
        }
    }

    int inFlightAt(const TargetId &id)
    {
        return static_cast<int>(
                std::count_if(m_inFlight.begin(), m_inFlight.end(),
                              [&](const auto &attempt) { return attempt.second.target == id; }));
    }

    Placer &placer() { return m_placer; }
    Service &service() { return m_service; }
    std::vector<ListedTarget> &listed() { return m_listed; }
    auto &inFlight() { return m_inFlight; }

    TimePoint now{Seconds(1000)};

private:
    Random m_random;
    Service m_service;
    Placer m_placer;
    std::vector<ListedTarget> m_listed;
    std::map<AttemptId, PlacementRequest> m_requests;
    std::deque<std::pair<PlacementRequest, Placement>> m_inFlight;
    std::uint64_t m_number = 0;
};

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(coldTargetsStayWithinTheirLimit);
    CPPUNIT_TEST(warmTargetsUseAllSlots);
    CPPUNIT_TEST(newIncarnationIsLimitedAsCold);
    CPPUNIT_TEST(coldTargetsGetNothingDuringTakeover);
    CPPUNIT_TEST(takeoverRestoresAttemptsInFlight);
    CPPUNIT_TEST(evacuatedZoneGetsNoRequests);
    CPPUNIT_TEST(returnedZoneIsCold);
    CPPUNIT_TEST(newVersionGetsRequestsOnlyByRollout);
    CPPUNIT_TEST(coldStartDoesNotRollBackAVersion);
    CPPUNIT_TEST(leavingTargetGetsNoRequests);
    CPPUNIT_TEST(targetThatStatesThatItDrainsGetsNoRequests);
    CPPUNIT_TEST(drainingEndsWithTheProcess);
    CPPUNIT_TEST(requestsAvoidTheClosedTargetsOfTheirHost);
    CPPUNIT_TEST(pauseIsNoSignOfOverload);
    CPPUNIT_TEST(failFastTargetDoesNotAttractRequests);
    CPPUNIT_TEST(coldFailFastTargetIsEjected);
    CPPUNIT_TEST(slowTargetIsEjected);
    CPPUNIT_TEST(resentRequestGetsTheSameGrant);
    CPPUNIT_TEST(grantExpiresIfItsReportIsLost);
    CPPUNIT_TEST(higherPriorityEvictsQueuedRequest);
    CPPUNIT_TEST(expiredRequestsAreRefused);
    CPPUNIT_TEST(crashingRequestIsQuarantined);
    CPPUNIT_TEST(probesStayWithinTheirBudget);
    CPPUNIT_TEST(randomFaultsKeepTheInvariants);
    CPPUNIT_TEST(slowRequestsAreHedgedWithinTheDeclaredShare);
    CPPUNIT_TEST_SUITE_END();

public:
    /** One attempt in flight at one of six targets, and the others answer usual requests. */
    void slowRequestsAreHedgedWithinTheDeclaredShare()
    {
        Service service = makeService();
        service.settings.hedgingShare = Share(0.02);
        PlacerFixture fixture(6, service);
        fixture.warmUp();
        PlacementRequest request = makeRequest(9000, service.id);
        const Placement first = *findPlacement(fixture.place(request));
        CPPUNIT_ASSERT(first.hedgeAfter >= Milliseconds(10));
        CPPUNIT_ASSERT(findPlacement(fixture.place(request))->hedgeAfter == first.hedgeAfter);
        fixture.inFlight().clear();
        fixture.now += Milliseconds(40);
        request.attempt.number = 129;
        request.isRetry = true;
        request.firstAttemptAge = Milliseconds(40);
        request.excludedTargets = {first.target};
        CPPUNIT_ASSERT(findRefusal(fixture.place(request)) != nullptr); // The target is silent.
        fixture.placer().applyProbeResult(first.target, Incarnation(1), false, fixture.now);
        int hedges = 0;
        while (const auto *hedge = findPlacement(fixture.place(request))) {
            CPPUNIT_ASSERT(hedge->target != first.target && hedge->targetIsWarm);
            CPPUNIT_ASSERT(hedge->hedgeAfter == Milliseconds(0));
            fixture.finishOldest(AttemptOutcome::Overtaken);
            ++request.attempt.number;
            ++hedges;
        }
        // Two in a hundred of the 400 first attempts, which are all in the window.
        CPPUNIT_ASSERT_EQUAL(8, hedges);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), fixture.placer().counters().hedgesGranted);
        fixture.service().settings.hedgingShare = Share(0);
        fixture.configure();
        CPPUNIT_ASSERT(findPlacement(fixture.place(makeRequest(9001, service.id)))->hedgeAfter ==
                       Milliseconds(0));
    }

    void coldTargetsStayWithinTheirLimit()
    {
        PlacerFixture fixture(3);
        for (int i = 0; i < 20; ++i)
            fixture.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.inFlight().size());
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(1, fixture.inFlightAt(TargetId("t" + std::to_string(i))));
    }

    void warmTargetsUseAllSlots()
    {
        PlacerFixture fixture(3);
        fixture.warmUp();
        for (int i = 0; i < 20; ++i)
            fixture.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, fixture.inFlight().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, fixture.placer().waiting());
        CPPUNIT_ASSERT(findPlacement(fixture.finishOldest()) != nullptr);
    }

    void newIncarnationIsLimitedAsCold()
    {
        PlacerFixture fixture(1);
        fixture.warmUp();
        const auto request = makeRequest(7777, fixture.service().id);
        const Placement placement = *findPlacement(fixture.place(request));
        fixture.inFlight().clear();
        AttemptReport report = makeReport(request, placement);
        report.incarnation = Incarnation(2);
        fixture.placer().finish(report, fixture.now);
        for (int i = 0; i < 4; ++i)
            fixture.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.inFlight().size());
    }

    void coldTargetsGetNothingDuringTakeover()
    {
        PlacerFixture fixture(2);
        fixture.placer().beginTakeover(fixture.now + Seconds(5));
        fixture.place();
        CPPUNIT_ASSERT(fixture.inFlight().empty());
        fixture.placer().endTakeover();
        CPPUNIT_ASSERT(findPlacement(fixture.recordGrants(fixture.placer().tick(fixture.now))) !=
                       nullptr);
    }

    void takeoverRestoresAttemptsInFlight()
    {
        PlacerFixture fixture(1);
        InFlightList list{HostId(9), fixture.service().id, {}};
        list.attempts.push_back({{HostId(9), RequestId(1), 1},
                                 GrantId(55),
                                 TargetId("t0"),
                                 Fingerprint(1),
                                 -1,
                                 Milliseconds(500)});
        // A repeated list has no further effect.
        fixture.placer().restoreInFlight(list, fixture.now);
        fixture.placer().restoreInFlight(list, fixture.now);
        CPPUNIT_ASSERT(findPlacement(fixture.place()) == nullptr);
        AttemptReport report;
        report.grant = GrantId(55);
        report.outcome = AttemptOutcome::Answered;
        CPPUNIT_ASSERT(findPlacement(fixture.placer().finish(report, fixture.now)) != nullptr);
    }

    void evacuatedZoneGetsNoRequests()
    {
        PlacerFixture fixture(4);
        fixture.warmUp();
        fixture.service().evacuatedZones.insert(ZoneId("a"));
        fixture.configure();
        for (int i = 0; i < 20; ++i)
            fixture.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, fixture.inFlight().size());
        CPPUNIT_ASSERT_EQUAL(0, fixture.inFlightAt(TargetId("t0")) +
                                        fixture.inFlightAt(TargetId("t2")));
    }

    void returnedZoneIsCold()
    {
        PlacerFixture fixture(2);
        fixture.warmUp();
        fixture.service().evacuatedZones.insert(ZoneId("a"));
        fixture.configure();
        fixture.service().evacuatedZones.clear();
        fixture.configure();
        for (int i = 0; i < 10; ++i)
            fixture.place();
        CPPUNIT_ASSERT_EQUAL(1, fixture.inFlightAt(TargetId("t0")));
        CPPUNIT_ASSERT_EQUAL(4, fixture.inFlightAt(TargetId("t1")));
    }

    void newVersionGetsRequestsOnlyByRollout()
    {
        PlacerFixture fixture(4);
        fixture.listed()[0].version = VersionId("v2");
        fixture.placer().setTargets(fixture.listed(), fixture.now);
        fixture.service().version = VersionId("v1");
        fixture.configure();
        for (int i = 0; i < 20; ++i)
            fixture.place();
        CPPUNIT_ASSERT_EQUAL(0, fixture.inFlightAt(TargetId("t0")));
        CPPUNIT_ASSERT_EQUAL(1, fixture.inFlightAt(TargetId("t1")));
        fixture.service().rollout = Rollout{fixture.service().id, 1, VersionId("v1"),
                                            VersionId("v2"),      0, Milliseconds(60'000),
                                            RolloutState::Done};
        fixture.configure();
        fixture.finishOldest();
        CPPUNIT_ASSERT_EQUAL(1, fixture.inFlightAt(TargetId("t0")));
    }

    /**
     * A new version starts on cold targets, whose service times are long. If these times counted
     * as evidence, a good version would be rolled back, as a process test has shown.
     */
    void coldStartDoesNotRollBackAVersion()
    {
        Service service = makeService();
        service.settings.responsesUntilWarm = 200;
        service.version = VersionId("v1");
        PlacerFixture fixture(4, service);
        for (int i = 0; i < 3000; ++i) {
            fixture.now += Milliseconds(5);
            fixture.place();
            fixture.finishOldest();
        }
        fixture.listed()[0].version = VersionId("v2");
        fixture.placer().setTargets(fixture.listed(), fixture.now);
        fixture.service().rollout = Rollout{service.id,
                                            1,
                                            VersionId("v1"),
                                            VersionId("v2"),
                                            0,
                                            Milliseconds(600'000),
                                            RolloutState::Running,
                                            ""};
        fixture.configure();
        for (int i = 0; i < 5000; ++i) {
            fixture.now += Milliseconds(5);
            fixture.place();
            const bool isOnNewVersion = fixture.inFlight().front().second.target == TargetId("t0");
            fixture.finishOldest(AttemptOutcome::Answered,
                                 Microseconds(isOnNewVersion ? 60'000 : 10'000));
        }
        CPPUNIT_ASSERT(fixture.placer().rolloutProgress()->phase == RolloutPhase::Canary);
    }

    void leavingTargetGetsNoRequests()
    {
        PlacerFixture fixture(2);
        fixture.warmUp();
        fixture.listed()[0].state = ListedState::Leaving;
        fixture.placer().setTargets(fixture.listed(), fixture.now);
        for (int i = 0; i < 10; ++i)
            fixture.place();
        CPPUNIT_ASSERT_EQUAL(0, fixture.inFlightAt(TargetId("t0")));
        fixture.finishOldest(AttemptOutcome::Draining);
        while (!fixture.inFlight().empty())
            fixture.finishOldest();
        CPPUNIT_ASSERT(findRefusal(fixture.place())->reason == RefusalReason::NoTarget);
    }

    void targetThatStatesThatItDrainsGetsNoRequests()
    {
        PlacerFixture fixture(1);
        const TargetId id("t0");
        fixture.place();
        fixture.finishOldestDraining(Incarnation(4));
        CPPUNIT_ASSERT(findRefusal(fixture.place())->reason == RefusalReason::NoTarget);
        // The statement holds until the process ends.
        fixture.placer().applyProbeResult(id, Incarnation(4), false, fixture.now);
        CPPUNIT_ASSERT(findRefusal(fixture.place())->reason == RefusalReason::NoTarget);
        fixture.placer().applyProbeResult(id, Incarnation(5), false, fixture.now);
        CPPUNIT_ASSERT(!findRefusal(fixture.place()));
        // A late response of the process before.
        fixture.finishOldestDraining(Incarnation(4));
        CPPUNIT_ASSERT(!findRefusal(fixture.place()));
    }

    /** The listing does not tell that a target has restarted, so that only a probe can. */
    void drainingEndsWithTheProcess()
    {
        PlacerFixture fixture(1);
        fixture.place();
        fixture.finishOldestDraining(Incarnation(4));
        fixture.now += Seconds(10);
        const auto probes = fixture.placer().dueProbes(fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, probes.size());
        fixture.placer().applyProbeResult(probes[0].target, Incarnation(5), false, fixture.now);
        CPPUNIT_ASSERT(!findRefusal(fixture.place()));
        // A late refusal by the process before.
        const auto [request, placement] = fixture.inFlight().front();
        AttemptReport late = makeReport(request, placement, AttemptOutcome::Draining);
        late.incarnation = Incarnation(4);
        late.isTargetDraining = true;
        fixture.placer().finish(late, fixture.now);
        CPPUNIT_ASSERT(!findRefusal(fixture.place()));
    }

    void requestsAvoidTheClosedTargetsOfTheirHost()
    {
        PlacerFixture fixture(2);
        fixture.warmUp();
        std::uint64_t number = 1'000'000;
        const auto place = [&](std::vector<TargetId> closedTargets) {
            PlacementRequest request = makeRequest(++number, fixture.service().id);
            request.closedTargets = std::move(closedTargets);
            return fixture.place(request);
        };
        const TargetId first("t0");
        const TargetId second("t1");
        for (int i = 0; i < 4; ++i) {
            const PlacementAnswers answers = place({first});
            CPPUNIT_ASSERT(findPlacement(answers)->target == second);
        }
        // The request waits for the other target, which is full, and only for that one.
        const PlacementAnswers waiting = place({first});
        CPPUNIT_ASSERT(waiting.empty());
        // Other hosts use the target.
        const PlacementAnswers ofAnotherHost = place({});
        CPPUNIT_ASSERT(findPlacement(ofAnotherHost)->target == first);
        // No request waits for a closed target.
        const PlacementAnswers answers = place({first, second});
        CPPUNIT_ASSERT(findRefusal(answers) != nullptr);
        CPPUNIT_ASSERT(findRefusal(answers)->reason == RefusalReason::NoTarget);
    }

    /** A target with room for the other hosts may turn away one host. */
    void pauseIsNoSignOfOverload()
    {
        PlacerFixture fixture(1);
        fixture.warmUp();
        const Slots before = fixture.placer().targets(fixture.now)[0].limit;
        for (int i = 0; i < 3; ++i) {
            fixture.place();
            const auto [request, placement] = fixture.inFlight().front();
            fixture.inFlight().pop_front();
            AttemptReport report = makeReport(request, placement, AttemptOutcome::Shed);
            report.pause = Milliseconds(3000);
            fixture.placer().finish(report, fixture.now);
        }
        CPPUNIT_ASSERT(fixture.placer().targets(fixture.now)[0].limit == before);
    }

    void failFastTargetDoesNotAttractRequests()
    {
        PlacerFixture fixture(5);
        fixture.warmUp();
        int atFailing = 0;
        for (int i = 0; i < 1000; ++i) {
            fixture.now += Milliseconds(2);
            fixture.place();
            const bool isAtFailing = fixture.inFlight().front().second.target == TargetId("t0");
            atFailing += isAtFailing ? 1 : 0;
            fixture.finishOldest(isAtFailing ? AttemptOutcome::Failed : AttemptOutcome::Answered,
                                 Microseconds(isAtFailing ? 100 : 10'000));
        }
        CPPUNIT_ASSERT_MESSAGE("requests at the target that fails fast: " +
                                       std::to_string(atFailing),
                               atFailing < 40);
    }

    /**
     * A target that fails fast stays cold, and the cold limit alone kept sending requests to it.
     * Seen in the policy benchmark with bimodal service times, in one of six seeds.
     */
    void coldFailFastTargetIsEjected()
    {
        PlacerFixture fixture(5);
        fixture.warmUp();
        fixture.placer().applyProbeResult(TargetId("t0"), std::nullopt, false, fixture.now);
        int failures = 0;
        for (int i = 0; i < 2000; ++i) {
            fixture.now += Milliseconds(1);
            fixture.place();
            const bool isAtFailing = fixture.inFlight().front().second.target == TargetId("t0");
            failures += isAtFailing ? 1 : 0;
            fixture.finishOldest(isAtFailing ? AttemptOutcome::Failed : AttemptOutcome::Answered,
                                 Microseconds(isAtFailing ? 200 : 10'000));
        }
        CPPUNIT_ASSERT_MESSAGE("failed attempts: " + std::to_string(failures), failures < 30);
    }

    void slowTargetIsEjected()
    {
        PlacerFixture fixture(5);
        fixture.warmUp();
        int atSlow = 0;
        for (int i = 0; i < 1000; ++i) {
            fixture.now += Milliseconds(2);
            fixture.place();
            const bool isAtSlow = fixture.inFlight().front().second.target == TargetId("t0");
            atSlow += isAtSlow ? 1 : 0;
            fixture.finishOldest(AttemptOutcome::Answered,
                                 Microseconds(isAtSlow ? 200'000 : 10'000));
        }
        CPPUNIT_ASSERT_MESSAGE("requests at the slow target: " + std::to_string(atSlow),
                               atSlow < 40);
    }

    void resentRequestGetsTheSameGrant()
    {
        PlacerFixture fixture(2);
        auto request = makeRequest(1, fixture.service().id);
        const Placement first = *findPlacement(fixture.placer().request(request, fixture.now));
        request.transmissionNumber = 1;
        const auto again = fixture.placer().request(request, fixture.now);
        CPPUNIT_ASSERT(findPlacement(again)->grant == first.grant);
        CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(again.front().transmissionNumber));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.placer().inFlight());
    }

    void grantExpiresIfItsReportIsLost()
    {
        PlacerFixture fixture(1);
        fixture.place();
        fixture.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.placer().inFlight());
        // The deadline of the request is after 1000 ms, and grantExpiryMargin is 500 ms.
        fixture.now += Milliseconds(1600);
        fixture.placer().tick(fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.placer().inFlight());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.placer().counters().expiredGrants);
    }

    void higherPriorityEvictsQueuedRequest()
    {
        Service service = makeService();
        service.settings.queueLimit = 1;
        PlacerFixture fixture(1, service);
        fixture.place();
        fixture.place();
        auto highPriority = makeRequest(100, service.id);
        highPriority.priority = 5;
        const auto answers = fixture.place(highPriority);
        CPPUNIT_ASSERT(findRefusal(answers)->reason == RefusalReason::QueueFull);
        CPPUNIT_ASSERT(findRefusal(answers)->certainty == RunCertainty::NotRun);
        CPPUNIT_ASSERT(answers.front().attempt != highPriority.attempt);
        CPPUNIT_ASSERT(findPlacement(fixture.finishOldest()) != nullptr);
        CPPUNIT_ASSERT(fixture.inFlight().front().first.attempt == highPriority.attempt);
    }

    void expiredRequestsAreRefused()
    {
        PlacerFixture fixture(1);
        fixture.place();
        fixture.place();
        fixture.now += Milliseconds(1000);
        const auto answers = fixture.placer().tick(fixture.now);
        CPPUNIT_ASSERT(findRefusal(answers)->reason == RefusalReason::DeadlineExceeded);
    }

    void crashingRequestIsQuarantined()
    {
        PlacerFixture fixture(4);
        fixture.warmUp();
        int runs = 0;
        for (std::uint64_t i = 0; i < 10; ++i) {
            fixture.now += Seconds(2);
            auto request = makeRequest(50'000 + i, fixture.service().id);
            request.fingerprint = Fingerprint(666);
            const auto answers = fixture.place(request);
            if (findRefusal(answers) != nullptr) {
                CPPUNIT_ASSERT(findRefusal(answers)->reason == RefusalReason::CrashSuspect);
                continue;
            }
            ++runs;
            fixture.finishOldest(AttemptOutcome::ConnectionLost);
        }
        CPPUNIT_ASSERT_EQUAL(2, runs);
    }

    void probesStayWithinTheirBudget()
    {
        PlacerFixture fixture(10);
        std::size_t probes = 0;
        for (int i = 0; i < 1000; ++i) {
            fixture.now += Milliseconds(100);
            probes += fixture.placer().dueProbes(fixture.now).size();
        }
        // The budget is 0.5 probes per second and target: 10 targets, 100 s.
        CPPUNIT_ASSERT(probes <= 500);
        CPPUNIT_ASSERT(probes >= 400);
    }

    /**
     * Random target states, zone evacuations and attempt outcomes. The placer checks its own
     * invariants; the test checks that each grant names a live target outside evacuated zones.
     */
    void randomFaultsKeepTheInvariants()
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed)
            runRandomFaults(seed);
    }

private:
    static void runRandomFaults(std::uint64_t seed)
    {
        PlacerFixture fixture(6, makeService(), seed);
        Random random(seed);
        for (int step = 0; step < 3000; ++step) {
            fixture.now += Microseconds(static_cast<std::int64_t>(drawBelow(random, 3000)));
            switch (drawBelow(random, 12)) {
            case 0:
                fixture.listed()[drawBelow(random, 6)].state = ListedState::Leaving;
                fixture.placer().setTargets(fixture.listed(), fixture.now);
                break;
            case 1:
                fixture.listed()[drawBelow(random, 6)].state = ListedState::Live;
                fixture.placer().setTargets(fixture.listed(), fixture.now);
                break;
            case 2:
                fixture.service().evacuatedZones = {ZoneId(drawBelow(random, 2) == 0 ? "a" : "x")};
                fixture.configure();
                break;
            case 3:
                fixture.recordGrants(fixture.placer().tick(fixture.now));
                break;
            case 4:
            case 5:
            case 6:
            case 7:
                if (!fixture.inFlight().empty())
                    fixture.finishOldest(static_cast<AttemptOutcome>(drawBelow(random, 8)));
                break;
            default:
                checkGrants(fixture, fixture.place());
            }
        }
    }

    static void checkGrants(PlacerFixture &fixture, const PlacementAnswers &answers)
    {
        const Placement *placement = findPlacement(answers);
        if (placement == nullptr)
            return;
        for (const auto &target : fixture.listed()) {
            if (target.id != placement->target)
                continue;
            CPPUNIT_ASSERT(target.state == ListedState::Live);
            CPPUNIT_ASSERT(!fixture.service().evacuatedZones.contains(target.zone));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
