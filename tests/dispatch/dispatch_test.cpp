#include "endivedock/dispatch.h"
#include "endivedock/dispatch/placement_client-inl.h"

#include "../net_support.h"
#include "../support.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using namespace endivedock::testing;

namespace {

/** A way to one other host that can be told to lose everything. */
struct FakeLink
{
    std::optional<HostId> placingHostOf(const ServiceId &) const { return holder; }
    void send(HostId, const PlacementRequest &request)
    {
        ++requests;
        if (onRequest)
            onRequest(request);
    }
    void send(HostId, const AttemptReport &report)
    {
        ++reports;
        if (onReport)
            onReport(report);
    }
    void send(HostId, const PlacementCancel &) { ++cancels; }
    void markNotPlacing(const ServiceId &, HostId) { ++doubts; }
    std::size_t entryHostCount() const { return 10; }

    std::optional<HostId> holder = HostId(2);
    std::function<void(const PlacementRequest &)> onRequest;
    std::function<void(const AttemptReport &)> onReport;
    int requests = 0;
    int reports = 0;
    int cancels = 0;
    int doubts = 0;
};

} // namespace

class DispatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchTest);
    CPPUNIT_TEST(asksTheHolderUntilItAnswers);
    CPPUNIT_TEST(stopgapUsesWarmTargetsOnly);
    CPPUNIT_TEST(stopgapLastsWhileTargetsAnswer);
    CPPUNIT_TEST(reportsAreRepeatedUntilConfirmed);
    CPPUNIT_TEST(unwantedGrantIsGivenBack);
    CPPUNIT_TEST(deadlineEndsTheWait);
    CPPUNIT_TEST(stoppedHostSendsElsewhere);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        const std::string archive = R"({"template":"archive","slots":4,"connections":250})";
        const std::string team = R"({"tenant":"bergvik","zones":["a"],
            "services":[{"service":"quotes","template":"archive"}]})";
        m_configuration = {};
        m_configuration.applyIfNewer({Revision(1),
                                      {{templateKey(TemplateId("archive")), archive},
                                       {teamParametersKey(TeamId("bergvik")), team}}});
        m_link = {};
        m_client = std::make_unique<Client>(
                m_context.get_executor(),
                PlacementContext{HostId(1), m_configuration, m_metrics, m_random}, m_host, m_link);
        m_client->setTargets({makeTarget(0), makeTarget(1)});
    }

    void asksTheHolderUntilItAnswers()
    {
        m_link.onRequest = [this](const PlacementRequest &request) {
            if (m_link.requests == 1)
                return; // Lost.
            m_client->deliver(PlacementAnswer{request.attempt, request.service,
                                              request.transmissionNumber,
                                              Placement{GrantId(9), TargetId("t1"), true}});
        };
        const auto result = place(Seconds(10));
        const auto &placed = std::get<PlacedTarget>(result);
        CPPUNIT_ASSERT(placed.placement.grant == GrantId(9));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{9001}, placed.address.port);
        // The target's connections are shared by ten hosts.
        CPPUNIT_ASSERT_EQUAL(25, placed.connectionLimit.value());
        CPPUNIT_ASSERT_EQUAL(2, m_link.requests);
    }

    void stopgapUsesWarmTargetsOnly()
    {
        learnWarm();
        m_link.onRequest = nullptr;
        const auto result = place(Seconds(10));
        const auto &placed = std::get<PlacedTarget>(result);
        CPPUNIT_ASSERT(placed.placement.target == TargetId("t1"));
        CPPUNIT_ASSERT(m_link.doubts > 0);
        // One request of this host at a time; then it waits, and is refused as not run.
        const auto second = place(Milliseconds(600));
        const auto &refusal = std::get<Refusal>(second);
        CPPUNIT_ASSERT(refusal.certainty == RunCertainty::NotRun);
    }

    /** Found by test_half_of_the_hosts_are_killed: after ten seconds nothing was placed any more.
     */
    void stopgapLastsWhileTargetsAnswer()
    {
        const Service service = *m_configuration.declarations()->find(ServiceId("bergvik/quotes"));
        const std::vector<ListedTarget> listed{makeTarget(0)};
        FallbackPicker stopgap;
        stopgap.recordPlacement(TargetId("t0"), true, m_now);
        for (int i = 0; i < 12; ++i) {
            m_now += Seconds(5);
            CPPUNIT_ASSERT(stopgap.pick(service, listed, {}, m_now, m_random));
            stopgap.recordResponse(TargetId("t0"), Incarnation(1), m_now);
        }
        stopgap.recordResponse(TargetId("t0"), Incarnation(2), m_now);
        CPPUNIT_ASSERT(!stopgap.pick(service, listed, {}, m_now, m_random));
    }

    void reportsAreRepeatedUntilConfirmed()
    {
        learnWarm();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_client->unconfirmedReports());
        const int before = m_link.reports;
        runTask(m_context, [](Client &client) -> Task<> {
            for (int i = 0; i < 20; ++i) {
                co_await sleepFor(Milliseconds(10));
                client.resendReports();
            }
        }(*m_client));
        CPPUNIT_ASSERT(m_link.reports > before);
        m_client->deliver(AttemptReportAck{request().attempt, request().service});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_client->unconfirmedReports());
    }

    void unwantedGrantIsGivenBack()
    {
        std::optional<GrantId> returned;
        m_link.onReport = [&returned](const AttemptReport &report) { returned = report.grant; };
        m_client->deliver(PlacementAnswer{request().attempt, request().service, 1,
                                          Placement{GrantId(5), TargetId("t0"), true}});
        CPPUNIT_ASSERT(returned == GrantId(5));
    }

    void deadlineEndsTheWait()
    {
        m_link.onRequest = [this](const PlacementRequest &request) {
            m_client->deliver(PlacementAnswer{request.attempt, request.service,
                                              request.transmissionNumber, PlacementQueued{}});
        };
        const auto result = place(Milliseconds(300));
        CPPUNIT_ASSERT(std::get<Refusal>(result).reason == RefusalReason::DeadlineExceeded);
        CPPUNIT_ASSERT_EQUAL(1, m_link.cancels);
    }

    void stoppedHostSendsElsewhere()
    {
        std::vector<PlacementAnswer> answers;
        LocalPlacers host(m_random, [&answers](PlacementAnswer answer) {
            answers.push_back(std::move(answer));
        });
        host.configure(m_configuration.declarations(), m_now, 0);
        host.setTargets({makeTarget(0)}, m_now);
        host.start(request().service, m_now + Seconds(5), m_now, 0);
        host.request(request(), m_now);
        CPPUNIT_ASSERT(answers.empty());
        host.stop(request().service);
        CPPUNIT_ASSERT(std::holds_alternative<NotPlacingHost>(answers.at(0).outcome));
        host.request(request(), m_now);
        CPPUNIT_ASSERT(std::holds_alternative<NotPlacingHost>(answers.at(1).outcome));
    }

private:
    using Client = PlacementClient<FakeLink>;

    static PlacementRequest request() { return makeRequest(1, ServiceId("bergvik/quotes")); }

    std::variant<PlacedTarget, Refusal> place(Duration time)
    {
        std::variant<PlacedTarget, Refusal> result = Refusal{};
        runTask(m_context,
                [](Client &client, Duration limit,
                   std::variant<PlacedTarget, Refusal> &out) -> Task<> {
                    out = co_await client.place(request(), SteadyClock().now() + limit);
                }(*m_client, time, result));
        return result;
    }

    /** Has one placement that calls t1 warm, and reports its end. */
    void learnWarm()
    {
        m_link.onRequest = [this](const PlacementRequest &request) {
            m_client->deliver(PlacementAnswer{request.attempt, request.service,
                                              request.transmissionNumber,
                                              Placement{GrantId(9), TargetId("t1"), true}});
        };
        const auto placed = std::get<PlacedTarget>(place(Seconds(10)));
        m_client->report(makeReport(request(), placed.placement));
    }

    asio::io_context m_context;
    NewestConfiguration m_configuration;
    Metrics m_metrics;
    Random m_random{1};
    FakeLink m_link;
    LocalPlacers m_host{m_random, [](const PlacementAnswer &) {}};
    std::unique_ptr<Client> m_client;
    TimePoint m_now{Seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchTest);
