#include "endivedock/gateway.h"
#include "endivedock/gateway/gateway_server-inl.h"

#include "../support.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::makeService;

namespace {

Declarations makeDeclarations()
{
    Declarations declarations;
    Service service = makeService();
    service.settings.deadline = Milliseconds(1000);
    service.settings.maxBody = Bytes(100);
    RouteRule accept;
    accept.method = "POST";
    accept.pathPrefix = "/accept";
    accept.idempotent = false;
    accept.keyRequired = true;
    service.settings.routes = {accept};
    declarations.services[service.id] = service;
    return declarations;
}

RequestHead makeHead(const std::string &method, const std::string &path, HeaderFields fields = {})
{
    RequestHead head;
    head.method = method;
    head.path = path;
    head.fields = std::move(fields);
    return head;
}

} // namespace

class GatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(plansByServiceAndRoute);
    CPPUNIT_TEST(refusesWhatItMustNotRun);
    CPPUNIT_TEST(deadlineOfTheCallerCounts);
    CPPUNIT_TEST(copiesHaveOneFingerprintAndKey);
    CPPUNIT_TEST(nonIdempotentIsTriedAgainOnlyIfNotRun);
    CPPUNIT_TEST(readsTargetReports);
    CPPUNIT_TEST(problemsAreStable);
    CPPUNIT_TEST_SUITE_END();

public:
    void plansByServiceAndRoute()
    {
        const auto planned = plan(makeHead("GET", "/bergvik/quotes/a/b?c=d"));
        const RequestPlan &result = std::get<RequestPlan>(planned);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d"), result.targetPath);
        CPPUNIT_ASSERT(result.idempotent);
        CPPUNIT_ASSERT(!result.runKey);
        const auto root = plan(makeHead("GET", "/bergvik/quotes?x=1"));
        CPPUNIT_ASSERT_EQUAL(std::string("/?x=1"), std::get<RequestPlan>(root).targetPath);
    }

    void refusesWhatItMustNotRun()
    {
        CPPUNIT_ASSERT(reasonOf(makeHead("GET", "/nobody/none/")) == RefusalReason::UnknownService);
        CPPUNIT_ASSERT(reasonOf(makeHead("GET", "x")) == RefusalReason::UnknownService);
        CPPUNIT_ASSERT(reasonOf(makeHead("POST", "/bergvik/quotes/accept")) ==
                       RefusalReason::KeyRequired);
        RequestHead large = makeHead("GET", "/bergvik/quotes/");
        large.framing.length = 101;
        CPPUNIT_ASSERT(reasonOf(large) == RefusalReason::BodyTooLarge);
        const auto none = planRequest(large, nullptr, m_now);
        CPPUNIT_ASSERT(std::get<Refusal>(none).reason == RefusalReason::NoConfiguration);
    }

    void deadlineOfTheCallerCounts()
    {
        const auto shorter =
                plan(makeHead("GET", "/bergvik/quotes/", {{"request-timeout-ms", "70"}}));
        CPPUNIT_ASSERT(std::get<RequestPlan>(shorter).deadline == m_now + Milliseconds(70));
        const auto longer =
                plan(makeHead("GET", "/bergvik/quotes/", {{"Request-Timeout-Ms", "9999"}}));
        CPPUNIT_ASSERT(std::get<RequestPlan>(longer).deadline == m_now + Milliseconds(1000));
    }

    void copiesHaveOneFingerprintAndKey()
    {
        const HeaderFields key{{"Idempotency-Key", "k"}};
        const auto one =
                std::get<RequestPlan>(plan(makeHead("POST", "/bergvik/quotes/accept", key)));
        const auto two =
                std::get<RequestPlan>(plan(makeHead("POST", "/bergvik/quotes/accept", key)));
        CPPUNIT_ASSERT(!one.idempotent);
        CPPUNIT_ASSERT(*one.runKey == *two.runKey);
        CPPUNIT_ASSERT(fingerprintOf(one, "POST", "x") == fingerprintOf(two, "POST", "x"));
        CPPUNIT_ASSERT(fingerprintOf(one, "POST", "x") != fingerprintOf(two, "POST", "y"));
    }

    void nonIdempotentIsTriedAgainOnlyIfNotRun()
    {
        for (int i = 0; i <= static_cast<int>(AttemptOutcome::Abandoned); ++i) {
            const auto outcome = static_cast<AttemptOutcome>(i);
            AttemptEnd end{outcome, 1, 3, false, true, Seconds(1)};
            const bool again = !decideAfterAttempt(end);
            CPPUNIT_ASSERT_EQUAL(certaintyOf(outcome) == RunCertainty::NotRun, again);
        }
        AttemptEnd lost{AttemptOutcome::ConnectionLost, 1, 3, true, true, Seconds(1)};
        CPPUNIT_ASSERT(!decideAfterAttempt(lost));
        lost.attempts = 3;
        CPPUNIT_ASSERT(decideAfterAttempt(lost)->certainty == RunCertainty::MayHaveRun);
        lost.attempts = 1;
        lost.replayable = false;
        CPPUNIT_ASSERT(decideAfterAttempt(lost));
    }

    void readsTargetReports()
    {
        const TargetReport report = parseTargetReport(
                {{"Target-Incarnation", "12"},
                 {"Endpoint-Load-Metrics", "TEXT cpu_utilization=0.3, named_metrics.in_flight=3"},
                 {"Target-State", "draining"}});
        CPPUNIT_ASSERT(report.incarnation == Incarnation(12));
        CPPUNIT_ASSERT(report.inFlight == Slots(3));
        CPPUNIT_ASSERT(report.draining && !report.notRun);
        const TargetReport bad = parseTargetReport(
                {{"Target-Incarnation", "x"}, {"endpoint-load-metrics", "JSON {}"}});
        CPPUNIT_ASSERT(!bad.incarnation && !bad.inFlight);
    }

    void problemsAreStable()
    {
        const std::string text =
                formatProblem({RefusalReason::QueueFull, RunCertainty::NotRun}, RequestId(255));
        CPPUNIT_ASSERT_EQUAL(
                std::string(
                        R"({"type":"urn:endivedock:refusal:queue-full","title":"All targets are )"
                        R"(busy and the queue is full","status":503,"reason":"queue-full",)"
                        R"("run":"not-run","requestId":"00000000000000ff"})"
                        "\n"),
                text);
    }

private:
    std::variant<RequestPlan, Refusal> plan(const RequestHead &head)
    {
        return planRequest(head, &m_declarations, m_now);
    }

    RefusalReason reasonOf(const RequestHead &head)
    {
        const auto planned = plan(head);
        const auto *refusal = std::get_if<Refusal>(&planned);
        CPPUNIT_ASSERT(refusal != nullptr);
        CPPUNIT_ASSERT(refusal->certainty == RunCertainty::NotRun);
        return refusal->reason;
    }

    Declarations m_declarations = makeDeclarations();
    TimePoint m_now{Seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
