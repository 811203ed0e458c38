#include "endivedock/gateway.h"
#include "endivedock/gateway/gateway_server-inl.h"

#include "../net_support.h"
#include "../support.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::anyLoopbackAddress;
using endivedock::testing::makeService;
using endivedock::testing::runTask;

namespace {

Declarations makeDeclarations()
{
    Declarations declarations;
    Service service = makeService();
    service.settings.deadline = Milliseconds(1000);
    service.settings.maxBodySize = Bytes(100);
    RouteRule acceptRoute;
    acceptRoute.method = "POST";
    acceptRoute.pathPrefix = "/accept";
    acceptRoute.isIdempotent = false;
    acceptRoute.requiresIdempotencyKey = true;
    service.settings.routes = {acceptRoute};
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

/** A placement source that places every request on the same target, after a number of refusals. */
struct SingleTargetSource
{
    Task<std::variant<PlacedTarget, Refusal>> place(const PlacementRequest &, TimePoint)
    {
        if (refusalCount > 0) {
            --refusalCount;
            co_return Refusal{RefusalReason::QueueFull, RunCertainty::NotRun};
        }
        co_return PlacedTarget{{GrantId(1), TargetId("t"), true}, target, Connections(5)};
    }
    void abandon(const AttemptId &) {}
    void recordDraining(const AttemptReport &report) { draining.push_back(report); }
    void report(AttemptReport report) { reports.push_back(std::move(report)); }

    Address target;
    std::vector<AttemptReport> reports;
    std::vector<AttemptReport> draining;
    int refusalCount = 0;
};

/** The project's own front end with another header timeout. */
class LimitedFrontEnd : public NativeFrontEnd
{
public:
    LimitedFrontEnd(const NewestConfiguration &configuration, Milliseconds headerTimeout)
        : NativeFrontEnd(configuration)
        , m_headerTimeout(headerTimeout)
    {
    }
    CallerLimits limits() const
    {
        CallerLimits result = NativeFrontEnd::limits();
        result.headerTimeout = m_headerTimeout;
        return result;
    }

private:
    Milliseconds m_headerTimeout;
};

/** A run guard that lets every request run. */
struct UnrestrictedRunGuard
{
    Task<std::optional<Refusal>> claim(RunClaim, TimePoint) { co_return std::nullopt; }
    void finish(RunClaim, RunOutcome) {}
};

std::string chunkedRequest(std::size_t bytes)
{
    char length[32];
    std::snprintf(length, sizeof(length), "%zx", bytes);
    return "PUT /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
           std::string(length) + "\r\n" + std::string(bytes, 'x') + "\r\n0\r\n\r\n";
}

std::string sizedRequest(std::size_t bytes)
{
    return "PUT /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) +
           "\r\n\r\n" + std::string(bytes, 'x');
}

/** A part of what a caller sends, and the time for which the caller waits before it. */
struct SentText
{
    Milliseconds delay{0};
    std::string text;
};

/**
 * Sends @p texts and reads until the server closes or has sent @p responseCount responses, each of
 * which contains one closing brace; for three seconds at most.
 */
Task<> exchangeTexts(asio::any_io_executor executor, Address server, std::vector<SentText> texts,
                     int responseCount, std::string &response)
{
    asio::ip::tcp::socket socket(executor);
    co_await socket.async_connect(tcpEndpoint(server), asio::use_awaitable);
    asio::steady_timer timeout(executor, Seconds(3));
    timeout.async_wait([&socket](const boost::system::error_code &waitError) {
        if (!waitError)
            socket.close();
    });
    boost::system::error_code error;
    for (const auto &[delay, text] : texts) {
        co_await sleepFor(delay);
        co_await asio::async_write(socket, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    std::array<char, 4096> piece{};
    while (!error && std::count(response.begin(), response.end(), '}') < responseCount) {
        const std::size_t count = co_await socket.async_read_some(
                asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        response.append(piece.data(), count);
    }
}

} // namespace

class GatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(refusalsCarryRetryDelays);
    CPPUNIT_TEST(plansByServiceAndRoute);
    CPPUNIT_TEST(refusesInvalidRequests);
    CPPUNIT_TEST(callersAreKnownByTheirKeys);
    CPPUNIT_TEST(teamCountersAreBounded);
    CPPUNIT_TEST(callerDeadlineIsApplied);
    CPPUNIT_TEST(copiesShareFingerprintAndKey);
    CPPUNIT_TEST(nonIdempotentIsRetriedOnlyIfNotRun);
    CPPUNIT_TEST(readsTargetReports);
    CPPUNIT_TEST(problemDetailsAreStable);
    CPPUNIT_TEST(longChunkedBodiesAreRefusedWithTheirRunState);
    CPPUNIT_TEST(ambiguousRequestsAreRefused);
    CPPUNIT_TEST(pipelinedResponsesKeepTheirOrder);
    CPPUNIT_TEST(drainingHostsCompletePipelines);
    CPPUNIT_TEST(connectionsToDrainingTargetsAreNotKept);
    CPPUNIT_TEST(drainingIsRecordedBeforeTheResponseEnds);
    CPPUNIT_TEST(stoppingHostsAnswerRunningRequests);
    CPPUNIT_TEST(partialHeadDoesNotEndRunningRequests);
    CPPUNIT_TEST(rejectedStreamedUploadsAreNotSentAgain);
    CPPUNIT_TEST(uploadsAreSentAgainIfNothingWasStreamed);
    CPPUNIT_TEST(bodyOfRefusedUploadIsNotParsedAsRequests);
    CPPUNIT_TEST(bodyIsNotParsedAsRequestsAfterEarlyResponse);
    CPPUNIT_TEST(callersReadTheRefusalOfAnUpload);
    CPPUNIT_TEST(connectionsToTargetsAreReused);
    CPPUNIT_TEST(targetTimeoutIsNotAFailure);
    CPPUNIT_TEST(pausesOfTargetsAreRead);
    CPPUNIT_TEST(refusalStatesWhenToComeBack);
    CPPUNIT_TEST_SUITE_END();

    /**
     * A refusal without a retry delay leaves the caller to guess when to retry. A host that had
     * just started refused 200 callers in this way.
     */
    void refusalsCarryRetryDelays()
    {
        for (int i = 0; i <= static_cast<int>(RefusalReason::Internal); ++i) {
            const auto reason = static_cast<RefusalReason>(i);
            CPPUNIT_ASSERT(retryAfterDelay(reason, 0) > Milliseconds(0));
            CPPUNIT_ASSERT(retryAfterDelay(reason, 1) > retryAfterDelay(reason, 0));
        }
        // A retry after this delay leaves time for the work within an objective of 500 ms.
        CPPUNIT_ASSERT(retryAfterDelay(RefusalReason::NoConfiguration, 1) <= Milliseconds(300));
    }

public:
    void plansByServiceAndRoute()
    {
        const auto planned = plan(makeHead("GET", "/bergvik/quotes/a/b?c=d"));
        const RequestPlan &result = std::get<RequestPlan>(planned);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d"), result.targetPath);
        CPPUNIT_ASSERT(result.isIdempotent);
        CPPUNIT_ASSERT(!result.idempotencyKeyHash);
        const auto root = plan(makeHead("GET", "/bergvik/quotes?x=1"));
        CPPUNIT_ASSERT_EQUAL(std::string("/?x=1"), std::get<RequestPlan>(root).targetPath);
    }

    void refusesInvalidRequests()
    {
        CPPUNIT_ASSERT(reasonOf(makeHead("GET", "/nobody/none/")) == RefusalReason::UnknownService);
        CPPUNIT_ASSERT(reasonOf(makeHead("GET", "x")) == RefusalReason::UnknownService);
        CPPUNIT_ASSERT(reasonOf(makeHead("POST", "/bergvik/quotes/accept")) ==
                       RefusalReason::KeyRequired);
        RequestHead large = makeHead("GET", "/bergvik/quotes/");
        large.framing.length = 101;
        CPPUNIT_ASSERT(reasonOf(large) == RefusalReason::BodyTooLarge);
        const auto withoutConfiguration = planRequest(large, nullptr, m_now);
        CPPUNIT_ASSERT(std::get<Refusal>(withoutConfiguration).reason ==
                       RefusalReason::NoConfiguration);
    }

    void callersAreKnownByTheirKeys()
    {
        const std::string path = "/bergvik/quotes/x";
        CPPUNIT_ASSERT(std::get<RequestPlan>(plan(makeHead("GET", path))).team == TeamId());
        m_declarations.callers =
                TeamDirectory({{{TeamId("ostra"), {}}, {digestOf("k1")}}}, KeyForm::Digest);
        const HeaderFields sent{{"Authorization", "Bearer k1"}, {"calling-team", "bergvik"}};
        const auto known = std::get<RequestPlan>(plan(makeHead("GET", path, sent)));
        CPPUNIT_ASSERT(known.team == TeamId("ostra"));
        HeaderFields fields = sent;
        const NewestConfiguration configuration;
        NativeFrontEnd(configuration).setRequestFields(fields, known, {}, RequestId(1));
        CPPUNIT_ASSERT(!findField(fields, "Authorization"));
        CPPUNIT_ASSERT(findField(fields, "Calling-Team") == "ostra");
        const std::vector<std::pair<HeaderFields, std::string>> unknown{
                {{}, "no key"},
                {{{"Authorization", "Basic k1"}}, "malformed key"},
                {{{"Authorization", "Bearer secret"}}, "unknown key "},
                {{{"Authorization", "Bearer " + digestOf("k1")}}, "unknown key "}};
        for (const auto &[unknownFields, detail] : unknown) {
            const auto planned = plan(makeHead("GET", path, unknownFields));
            const Refusal refusal = std::get<Refusal>(planned);
            CPPUNIT_ASSERT(refusal.reason == RefusalReason::Unauthenticated);
            CPPUNIT_ASSERT(refusal.detail.starts_with(detail));
            CPPUNIT_ASSERT(refusal.detail.find("secret") == std::string::npos);
        }
    }

    void teamCountersAreBounded()
    {
        Metrics metrics;
        TeamCounters counters;
        for (std::size_t i = 0; i < TeamCounters::maxTeams + 3; ++i)
            counters.count(metrics, TeamId(std::to_string(i)));
        counters.count(metrics, TeamId("0"));
        counters.count(metrics, TeamId());
        const std::string name = "endivedock_team_requests_total";
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, metrics.counter(name, {{"team", "0"}}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, metrics.counter(name, {{"team", "others"}}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, metrics.counter(name, {{"team", ""}}));
    }

    void callerDeadlineIsApplied()
    {
        const auto shorter =
                plan(makeHead("GET", "/bergvik/quotes/", {{"request-timeout-ms", "70"}}));
        CPPUNIT_ASSERT(std::get<RequestPlan>(shorter).deadline == m_now + Milliseconds(70));
        const auto longer =
                plan(makeHead("GET", "/bergvik/quotes/", {{"Request-Timeout-Ms", "9999"}}));
        CPPUNIT_ASSERT(std::get<RequestPlan>(longer).deadline == m_now + Milliseconds(1000));
    }

    void copiesShareFingerprintAndKey()
    {
        const HeaderFields key{{"Idempotency-Key", "k"}};
        const auto one =
                std::get<RequestPlan>(plan(makeHead("POST", "/bergvik/quotes/accept", key)));
        const auto two =
                std::get<RequestPlan>(plan(makeHead("POST", "/bergvik/quotes/accept", key)));
        CPPUNIT_ASSERT(!one.isIdempotent);
        CPPUNIT_ASSERT(*one.idempotencyKeyHash == *two.idempotencyKeyHash);
        CPPUNIT_ASSERT(fingerprintOf(one, "POST", "x") == fingerprintOf(two, "POST", "x"));
        CPPUNIT_ASSERT(fingerprintOf(one, "POST", "x") != fingerprintOf(two, "POST", "y"));
    }

    void nonIdempotentIsRetriedOnlyIfNotRun()
    {
        for (int i = 0; i <= static_cast<int>(AttemptOutcome::Overtaken); ++i) {
            const auto outcome = static_cast<AttemptOutcome>(i);
            FailedAttempt attempt{outcome, 1, 3, false, true, Seconds(1)};
            const bool isRetried = !refusalUnlessRetryable(attempt);
            CPPUNIT_ASSERT_EQUAL(runCertaintyOf(outcome) == RunCertainty::NotRun, isRetried);
        }
        FailedAttempt lost{AttemptOutcome::ConnectionLost, 1, 3, true, true, Seconds(1)};
        CPPUNIT_ASSERT(!refusalUnlessRetryable(lost));
        lost.attempts = 3;
        CPPUNIT_ASSERT(refusalUnlessRetryable(lost)->certainty == RunCertainty::MayHaveRun);
        lost.attempts = 1;
        lost.isReplayable = false;
        CPPUNIT_ASSERT(refusalUnlessRetryable(lost));
    }

    void readsTargetReports()
    {
        const TargetReport report = parseTargetReport(
                {{"Target-Incarnation", "12"},
                 {"Endpoint-Load-Metrics", "TEXT cpu_utilization=0.3, named_metrics.in_flight=3"},
                 {"Target-State", "draining"}});
        CPPUNIT_ASSERT(report.incarnation == Incarnation(12));
        CPPUNIT_ASSERT(report.inFlight == Slots(3));
        CPPUNIT_ASSERT(report.isDraining && !report.notRun);
        const TargetReport malformed = parseTargetReport(
                {{"Target-Incarnation", "x"}, {"endpoint-load-metrics", "JSON {}"}});
        CPPUNIT_ASSERT(!malformed.incarnation && !malformed.inFlight);
    }

    void problemDetailsAreStable()
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

    /**
     * The gateway sees that a chunked body is too long only while it reads the body. A body that is
     * still being buffered has not been sent to a target; one that is being streamed has been sent
     * in part, so its refusal must not claim that the request was not run.
     */
    void longChunkedBodiesAreRefusedWithTheirRunState()
    {
        const std::string rejectedInFirstPiece = sendThroughGateway(chunkedRequest(200), 100);
        CPPUNIT_ASSERT_MESSAGE(rejectedInFirstPiece,
                               rejectedInFirstPiece.find("413") != std::string::npos);
        CPPUNIT_ASSERT(rejectedInFirstPiece.find("\"not-run\"") != std::string::npos);
        const std::string rejectedWhileBuffering =
                sendThroughGateway(chunkedRequest(300'000), 100'000);
        CPPUNIT_ASSERT_MESSAGE(rejectedWhileBuffering,
                               rejectedWhileBuffering.find("body-too-large") != std::string::npos);
        CPPUNIT_ASSERT(rejectedWhileBuffering.find("\"not-run\"") != std::string::npos);
        const std::string rejectedWhileStreaming =
                sendThroughGateway(chunkedRequest(1'200'000), 700'000);
        CPPUNIT_ASSERT_MESSAGE(rejectedWhileStreaming,
                               rejectedWhileStreaming.find("body-too-large") != std::string::npos);
        CPPUNIT_ASSERT(rejectedWhileStreaming.find("\"may-have-run\"") != std::string::npos);
        const std::string accepted = sendThroughGateway(chunkedRequest(300'000), 400'000);
        CPPUNIT_ASSERT_MESSAGE(accepted, accepted.find("{300000}") != std::string::npos);
        const std::string acceptedWithLength =
                sendThroughGateway(sizedRequest(1'200'000), 2'000'000);
        CPPUNIT_ASSERT_MESSAGE(acceptedWithLength,
                               acceptedWithLength.find("{1200000}") != std::string::npos);
        const std::string acceptedWhileStreaming =
                sendThroughGateway(chunkedRequest(1'200'000), 2'000'000);
        CPPUNIT_ASSERT_MESSAGE(acceptedWhileStreaming,
                               acceptedWhileStreaming.find("{1200000}") != std::string::npos);
    }

    /**
     * RFC 9112 requires one Host field, allows no transfer coding but chunked, and forbids a
     * transfer coding together with Content-Length or in HTTP/1.0.
     */
    void ambiguousRequestsAreRefused()
    {
        const std::string path = "GET /bergvik/quotes/x HTTP/1.1\r\n";
        const std::vector<std::string> ambiguous{
                path + "\r\n", path + "Host: a\r\nHost: b\r\n\r\n",
                "PUT /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
                "PUT /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                "Content-Length: 3\r\n\r\n0\r\n\r\n",
                "PUT /bergvik/quotes/x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n"};
        for (const auto &text : ambiguous) {
            const std::string response = sendThroughGateway(text, 100);
            CPPUNIT_ASSERT_MESSAGE(text + response, response.find(" 400 ") != std::string::npos);
        }
    }

    /** Both requests run at the same time, and the first one takes longer than the second one. */
    void pipelinedResponsesKeepTheirOrder()
    {
        const std::string slow = "GET /bergvik/quotes/slow HTTP/1.1\r\nHost: h\r\n\r\n";
        const std::string fast = "GET /bergvik/quotes/fast HTTP/1.1\r\nHost: h\r\n"
                                 "Connection: close\r\n\r\n";
        const std::string response = sendThroughGateway(slow + fast, 100, 2);
        const std::size_t first = response.find("/slow");
        const std::size_t second = response.find("/fast");
        CPPUNIT_ASSERT_MESSAGE(response, first != std::string::npos && second != std::string::npos);
        CPPUNIT_ASSERT(first < second);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_maxConcurrent);
    }

    /**
     * A draining host closed a connection after a response although a later pipelined request was
     * still running.
     */
    void connectionsToDrainingTargetsAreNotKept()
    {
        for (const bool isDraining : {false, true}) {
            asio::io_context context;
            asio::ip::tcp::acceptor acceptor(context, tcpEndpoint(anyLoopbackAddress));
            int connections = 0;
            startTask(context.get_executor(), "target",
                      serveAndCount(acceptor, connections,
                                    isDraining ? "Target-State: draining\r\n" : ""));
            const auto endpoint = acceptor.local_endpoint();
            const std::vector<SentText> texts(
                    1, {Milliseconds(0), "GET /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\n\r\n"});
            sendTexts(context, {endpoint.address().to_string(), endpoint.port()},
                      {texts, texts, texts}, 100, 1);
            CPPUNIT_ASSERT_EQUAL(isDraining ? 3 : 1, connections);
            CPPUNIT_ASSERT_EQUAL(std::size_t(isDraining ? 3 : 0), m_drainingReports.size());
        }
    }

    /** A response that goes on for longer than the target drains must not delay the knowledge. */
    void drainingIsRecordedBeforeTheResponseEnds()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, tcpEndpoint(anyLoopbackAddress));
        startTask(context.get_executor(), "target", serveStartOfDrainingResponse(acceptor));
        const auto endpoint = acceptor.local_endpoint();
        const std::vector<SentText> texts(1, {Milliseconds(0),
                                              "GET /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\n"
                                              "Request-Timeout-Ms: 300\r\n\r\n"});
        sendTexts(context, {endpoint.address().to_string(), endpoint.port()}, {texts}, 100, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_drainingReports.size());
        CPPUNIT_ASSERT(m_drainingReports[0].outcome == AttemptOutcome::Abandoned);
    }

    void drainingHostsCompletePipelines()
    {
        m_isDraining = true;
        const std::string fast = "GET /bergvik/quotes/fast HTTP/1.1\r\nHost: h\r\n\r\n";
        const std::string slow = "GET /bergvik/quotes/slow HTTP/1.1\r\nHost: h\r\n\r\n";
        const std::string response = sendThroughGateway(fast + slow, 100, 2);
        const std::size_t second = response.find("/slow");
        CPPUNIT_ASSERT_MESSAGE(response, second != std::string::npos);
        const std::size_t closePosition = response.find("Connection: close");
        CPPUNIT_ASSERT_MESSAGE(response,
                               closePosition > response.find("/fast") && closePosition < second);
    }

    /**
     * When the next pipelined request arrived at a stopping host, the host closed the connection
     * and cancelled the requests that targets were running.
     */
    void stoppingHostsAnswerRunningRequests()
    {
        const std::string slow = "GET /bergvik/quotes/slow HTTP/1.1\r\nHost: h\r\n\r\n";
        m_stopsAcceptingAfter = Milliseconds(10);
        // The first request runs when the host stops, the second one is the last that it reads.
        const std::string response = sendThroughGateway(
                {{Milliseconds(0), slow}, {Milliseconds(20), slow}, {Milliseconds(10), slow}}, 100,
                3);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 2, countOf(response, "200 OK"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 1, countOf(response, "Connection: close"));
        CPPUNIT_ASSERT_EQUAL(2, m_runCount);
    }

    /** A caller that stalled in the middle of a header lost the responses to its earlier requests.
     */
    void partialHeadDoesNotEndRunningRequests()
    {
        m_slowTime = Milliseconds(400);
        m_headerTimeout = Milliseconds(50);
        const std::string slow = "GET /bergvik/quotes/slow HTTP/1.1\r\nHost: h\r\n\r\n";
        const std::string response = sendThroughGateway(
                {{Milliseconds(0), slow}, {Milliseconds(0), "GET /bergvik/quotes/fast HTTP/1.1"}},
                100);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 1, countOf(response, "200 OK"));
    }

    /**
     * An upload that its target rejected was sent again with the buffered start of its body only,
     * and the caller was told that it had succeeded.
     */
    void rejectedStreamedUploadsAreNotSentAgain()
    {
        for (const std::string &upload : {chunkedRequest(1'200'000), sizedRequest(1'200'000)}) {
            RejectingTarget target(1);
            const std::string response = target.exchange(*this, upload);
            CPPUNIT_ASSERT_MESSAGE(response, response.find(" 503 ") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(response, response.find("\"not-run\"") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), target.bodySizes.size());
            CPPUNIT_ASSERT(target.bodySizes.front() >= 1'200'000);
        }
    }

    /** A body that is still buffered as a whole can be sent to the next target. */
    void uploadsAreSentAgainIfNothingWasStreamed()
    {
        RejectingTarget target(1);
        const std::string response = target.exchange(*this, sizedRequest(300'000), 1);
        CPPUNIT_ASSERT_MESSAGE(response, response.find("200 OK") != std::string::npos);
        CPPUNIT_ASSERT((target.bodySizes == std::vector<std::size_t>{300'000, 300'000}));
    }

    /** The rest of a refused upload was parsed as requests, which targets ran. */
    void bodyOfRefusedUploadIsNotParsedAsRequests()
    {
        for (const bool isChunked : {false, true}) {
            m_refusalCount = 1;
            const std::string response = sendThroughGateway(
                    {{Milliseconds(0), uploadOfRequests(isChunked)}}, 4'000'000, 2);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 0, m_runCount);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 1, countOf(response, "HTTP/1.1"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 1,
                                         countOf(response, R"("reason":"queue-full")"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 1, countOf(response, "Connection: close"));
        }
    }

    /** The same, for a target that responds and closes before it has read the body. */
    void bodyIsNotParsedAsRequestsAfterEarlyResponse()
    {
        RejectingTarget target(0);
        target.respondsEarly = true;
        const std::string response = target.exchange(*this, uploadOfRequests(false));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 1, countOf(response, "HTTP/1.1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), target.bodySizes.size());
    }

    /**
     * Closing a connection with unread data resets it, which can take a refusal away from a caller
     * that is still sending.
     */
    void callersReadTheRefusalOfAnUpload()
    {
        m_refusalCount = 1;
        const std::string upload = sizedRequest(3'000'000);
        std::vector<SentText> texts;
        for (std::size_t start = 0; start < upload.size(); start += 600'000)
            texts.push_back({Milliseconds(20), upload.substr(start, 600'000)});
        const std::string response = sendThroughGateway(texts, 4'000'000);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 1, countOf(response, R"("reason":"queue-full")"));
    }

    void connectionsToTargetsAreReused()
    {
        const std::string request = "POST /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\n"
                                    "Content-Length: 2\r\n\r\nab";
        const std::string last = "GET /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\n"
                                 "Connection: close\r\n\r\n";
        asio::io_context context;
        asio::ip::tcp::acceptor target(context, tcpEndpoint(anyLoopbackAddress));
        int connections = 0;
        startTask(context.get_executor(), "target", serveAndCount(target, connections));
        const Address address{"127.0.0.1", target.local_endpoint().port()};
        const Milliseconds noDelay(0);
        const std::string response =
                sendTexts(context, address,
                          {{{noDelay, request}}, {{noDelay, request}}, {{noDelay, last}}}, 100, 1);
        CPPUNIT_ASSERT_MESSAGE(response, response.find("{3}") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, connections);
    }

    void targetTimeoutIsNotAFailure()
    {
        CPPUNIT_ASSERT(outcomeForStatus(504) == AttemptOutcome::TimedOut);
        CPPUNIT_ASSERT(outcomeForStatus(500) == AttemptOutcome::Failed);
        CPPUNIT_ASSERT(outcomeForStatus(404) == AttemptOutcome::Answered);
    }

    void pausesOfTargetsAreRead()
    {
        struct Case
        {
            std::string name;
            unsigned status;
            std::vector<std::string> values;
            std::optional<Milliseconds> pause;
            bool isMalformed;
        };
        const std::vector<Case> cases{
                {"absent", 503, {}, std::nullopt, false},
                {"seconds", 503, {"3"}, Milliseconds(3000), false},
                {"zero", 503, {"0"}, Milliseconds(0), false},
                {"another status", 500, {"3"}, std::nullopt, false},
                {"repeated", 503, {"1", "2"}, Milliseconds(2000), false},
                {"one of two malformed", 503, {"1", "x"}, Milliseconds(1000), true},
                {"negative", 503, {"-1"}, std::nullopt, true},
                {"fraction", 503, {"1.5"}, std::nullopt, true},
                {"huge", 503, {"99999999999999999999"}, Milliseconds(3'600'000), false},
                {"date", 503, {"Sun, 06 Nov 1994 08:49:40 GMT"}, Milliseconds(3000), false},
                {"past date", 503, {"Sun, 06 Nov 1994 08:49:30 GMT"}, Milliseconds(0), false},
                {"malformed date", 503, {"Sun, 06 Nov 1994 08:49:40"}, std::nullopt, true},
        };
        const NewestConfiguration configuration;
        const NativeFrontEnd frontEnd(configuration);
        for (const auto &each : cases) {
            ResponseHead head;
            head.status = each.status;
            head.fields = {{"Date", "Sun, 06 Nov 1994 08:49:37 GMT"}};
            for (const auto &value : each.values)
                head.fields.push_back({"Retry-After", value});
            const TargetReport report = frontEnd.extractTargetReport(head);
            CPPUNIT_ASSERT_MESSAGE(each.name, report.pause == each.pause);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.isMalformed, report.hasMalformedPause);
        }
    }

    void refusalStatesWhenToComeBack()
    {
        const NewestConfiguration configuration;
        const NativeFrontEnd frontEnd(configuration);
        const auto retryAfter = [&frontEnd](RefusalReason reason,
                                            std::optional<Milliseconds> time) {
            const Refusal refusal{reason, RunCertainty::NotRun, time};
            const auto response = frontEnd.formatRefusal(refusal, RequestHead{}, RequestId(1));
            return std::string(findField(response.head.fields, "Retry-After").value_or("-"));
        };
        CPPUNIT_ASSERT_EQUAL(std::string("1"), retryAfter(RefusalReason::NoTarget, std::nullopt));
        CPPUNIT_ASSERT_EQUAL(std::string("1"),
                             retryAfter(RefusalReason::NoTarget, Milliseconds(70)));
        CPPUNIT_ASSERT_EQUAL(std::string("3"),
                             retryAfter(RefusalReason::NoTarget, Milliseconds(2200)));
        CPPUNIT_ASSERT_EQUAL(std::string("-"),
                             retryAfter(RefusalReason::AlreadyRun, Milliseconds(70)));
    }

private:
    /**
     * A target that rejects the first requests as not run and then responds with the number of
     * bytes that it has received as the body, framing included.
     */
    struct RejectingTarget
    {
        explicit RejectingTarget(int rejections)
            : rejectionCount(rejections)
            , acceptor(context, tcpEndpoint(anyLoopbackAddress))
        {
            startTask(context.get_executor(), "target", accept());
        }

        /** @return what a caller receives for @p text over a gateway in front of this target */
        std::string exchange(GatewayTest &test, const std::string &text, int responseCount = 2)
        {
            const Address address{"127.0.0.1", acceptor.local_endpoint().port()};
            return test.sendTexts(context, address, {{{Milliseconds(0), text}}}, 4'000'000,
                                  responseCount);
        }

        Task<> accept()
        {
            while (true)
                startTask(context.get_executor(), "connection",
                          serve(co_await acceptor.async_accept(asio::use_awaitable)));
        }

        Task<> serve(asio::ip::tcp::socket socket)
        {
            std::string received;
            std::vector<char> piece(64 * 1024);
            boost::system::error_code error;
            while (!error) {
                const std::size_t count = co_await socket.async_read_some(
                        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
                received.append(piece.data(), count);
                const std::size_t headEnd = received.find("\r\n\r\n");
                if (headEnd == std::string::npos)
                    continue;
                const std::size_t bodySize = received.size() - headEnd - 4;
                const std::size_t lengthAt = received.find("Content-Length: ");
                const bool isComplete =
                        lengthAt < headEnd ? bodySize >= std::stoul(received.substr(lengthAt + 16))
                                           : received.ends_with("\r\n0\r\n\r\n");
                if (!isComplete && !respondsEarly)
                    continue;
                bodySizes.push_back(bodySize);
                received.clear();
                const bool isRejected = rejectionCount-- > 0;
                const std::string head = isRejected
                                                 ? "HTTP/1.1 503 Service Unavailable\r\n" +
                                                           std::string(notRunField) + ": true\r\n"
                                                 : std::string("HTTP/1.1 200 OK\r\n");
                co_await asio::async_write(socket,
                                           asio::buffer(head + "Content-Length: 2\r\n\r\n{}"),
                                           asio::redirect_error(asio::use_awaitable, error));
                if (respondsEarly)
                    co_return;
            }
        }

        asio::io_context context;
        int rejectionCount = 0;
        bool respondsEarly = false;
        std::vector<std::size_t> bodySizes;
        asio::ip::tcp::acceptor acceptor;
    };

    static int countOf(const std::string &text, const std::string &part)
    {
        int count = 0;
        for (std::size_t at = text.find(part); at != std::string::npos;
             at = text.find(part, at + 1))
            ++count;
        return count;
    }

    /** An upload whose content is a sequence of requests; longer than what the gateway buffers. */
    static std::string uploadOfRequests(bool isChunked)
    {
        constexpr std::size_t recordSize = 64;
        std::string content;
        while (content.size() < 2'000'000) {
            std::string record = "GET /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\nPad: ";
            record.resize(recordSize - 4, '-');
            content += record + "\r\n\r\n";
        }
        const std::string head = "PUT /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\n";
        if (!isChunked)
            return head + "Content-Length: " + std::to_string(content.size()) + "\r\n\r\n" +
                   content;
        std::string result = head + "Transfer-Encoding: chunked\r\n\r\n";
        constexpr std::size_t chunkSize = 0x10000;
        for (std::size_t start = 0; start + chunkSize <= content.size(); start += chunkSize)
            result += "10000\r\n" + content.substr(start, chunkSize) + "\r\n";
        return result + "0\r\n\r\n";
    }

    /** Responds to one request with the header of a long response, and to nothing else. */
    static Task<> serveStartOfDrainingResponse(asio::ip::tcp::acceptor &acceptor)
    {
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::array<char, 4096> piece{};
        co_await socket.async_read_some(asio::buffer(piece), asio::use_awaitable);
        const std::string response = "HTTP/1.1 200 OK\r\nTarget-State: draining\r\n"
                                     "Content-Length: 1000\r\n\r\n{}";
        co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
        co_await sleepFor(Seconds(2));
    }

    /** Counts the connections, and responds to each request with its number on the connection. */
    static Task<> serveAndCount(asio::ip::tcp::acceptor &acceptor, int &connections,
                                std::string fields = "")
    {
        while (true) {
            asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            ++connections;
            std::string received;
            std::array<char, 4096> piece{};
            int requests = 0;
            boost::system::error_code error;
            while (!error) {
                const std::size_t count = co_await socket.async_read_some(
                        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
                received.append(piece.data(), count);
                const bool isComplete =
                        received.ends_with(received.starts_with("POST") ? "ab" : "\r\n\r\n");
                if (error || !isComplete)
                    continue;
                received.clear();
                const std::string body = "{" + std::to_string(++requests) + "}";
                const std::string response =
                        "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 3\r\n\r\n" + body;
                co_await asio::async_write(socket, asio::buffer(response),
                                           asio::redirect_error(asio::use_awaitable, error));
            }
        }
    }

    /** @return what a caller receives for @p text if bodies may have up to @p maxBodySize bytes */
    std::string sendThroughGateway(std::string text, int maxBodySize, int responseCount = 1)
    {
        return sendThroughGateway({{Milliseconds(0), std::move(text)}}, maxBodySize, responseCount);
    }

    std::string sendThroughGateway(std::vector<SentText> texts, int maxBodySize,
                                   int responseCount = 1)
    {
        asio::io_context context;
        std::size_t concurrent = 0;
        HttpServer target(
                context.get_executor(), anyLoopbackAddress,
                [&concurrent, this](HttpServerRequest request) -> Task<HttpServerResponse> {
                    ++m_runCount;
                    m_maxConcurrent = std::max(m_maxConcurrent, ++concurrent);
                    if (request.path.find("slow") != std::string::npos)
                        co_await sleepFor(m_slowTime);
                    --concurrent;
                    co_return HttpServerResponse{200, "text/plain",
                                                 request.path + "{" +
                                                         std::to_string(request.body.size()) + "}"};
                });
        return sendTexts(context, target.localAddress(), {std::move(texts)}, maxBodySize,
                         responseCount);
    }

    /**
     * Opens one connection after the other, with the texts of one element each.
     *
     * @return what was received on the last connection
     */
    std::string sendTexts(asio::io_context &context, const Address &target,
                          const std::vector<std::vector<SentText>> &connections, int maxBodySize,
                          int responseCount)
    {
        configureLog(LogLevel::Error);
        NewestConfiguration configuration;
        configuration.applyIfNewer(
                {Revision(1),
                 {{templateKey(TemplateId("t")), R"({"template":"t","slots":4,"maxBodyBytes":)" +
                                                         std::to_string(maxBodySize) + "}"},
                  {teamParametersKey(TeamId("bergvik")),
                   R"({"tenant":"bergvik","zones":["a"],"services":[{"service":"quotes","template":"t"}]})"}}});
        Metrics metrics;
        Random random(1);
        SingleTargetSource placements{target, {}, {}, m_refusalCount};
        UnrestrictedRunGuard runGuard;
        GatewayServer<LimitedFrontEnd, SingleTargetSource, UnrestrictedRunGuard> gateway(
                context.get_executor(), anyLoopbackAddress, {HostId(1), metrics, random},
                LimitedFrontEnd(configuration, m_headerTimeout), placements, runGuard);
        if (m_isDraining)
            gateway.disableKeepAlive();
        asio::steady_timer stopTimer(context);
        if (m_stopsAcceptingAfter) {
            stopTimer.expires_after(*m_stopsAcceptingAfter);
            stopTimer.async_wait([&gateway](const boost::system::error_code &error) {
                if (!error)
                    gateway.stopAccepting();
            });
        }
        std::string response;
        for (const auto &texts : connections) {
            response.clear();
            runTask(context, exchangeTexts(context.get_executor(), gateway.localAddress(), texts,
                                           responseCount, response));
        }
        // The tasks of open connections refer to the gateway, so they have to end before it does.
        context.restart();
        const TimePoint endBy = SteadyClock().now() + Seconds(1);
        while (gateway.activity().openConnectionCount > 0 && SteadyClock().now() < endBy)
            context.run_one_until(endBy);
        context.run_for(Milliseconds(20));
        m_drainingReports = placements.draining;
        return response;
    }

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
    std::size_t m_maxConcurrent = 0;
    /** The gateway under test is draining. */
    bool m_isDraining = false;
    /** Time after which the gateway under test stops to accept connections. */
    std::optional<Milliseconds> m_stopsAcceptingAfter;
    /** Number of requests that the placement source refuses first. */
    int m_refusalCount = 0;
    Milliseconds m_headerTimeout{10'000};
    Milliseconds m_slowTime{60};
    /** What the placement source has learned of draining targets. */
    std::vector<AttemptReport> m_drainingReports;
    /** Number of requests that the target has run. */
    int m_runCount = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
