#include "endivedock/gateway.h"
#include "endivedock/gateway/gateway_server-inl.h"

#include "../net_support.h"
#include "../support.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::anyPort;
using endivedock::testing::makeService;
using endivedock::testing::runTask;

namespace {

Declarations makeDeclarations()
{
    Declarations declarations;
    Service service = makeService();
    service.settings.deadline = Milliseconds(1000);
    service.settings.maxBodySize = Bytes(100);
    RouteRule accept;
    accept.method = "POST";
    accept.pathPrefix = "/accept";
    accept.idempotent = false;
    accept.requiresIdempotencyKey = true;
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

/** Places everything on one target. */
struct OneTarget
{
    Task<std::variant<PlacedTarget, Refusal>> place(const PlacementRequest &, TimePoint)
    {
        co_return PlacedTarget{{GrantId(1), TargetId("t"), true}, target, Connections(5)};
    }
    void abandon(const AttemptId &) {}
    void report(AttemptReport report) { reports.push_back(std::move(report)); }

    Address target;
    std::vector<AttemptReport> reports;
};

struct AnyRun
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

/** Sends @p text and reads until the server closes or has sent so many answers. */
Task<> exchangeText(asio::any_io_executor executor, Address server, std::string text, int answers,
                    std::string &answer)
{
    asio::ip::tcp::socket socket(executor);
    co_await socket.async_connect(tcpEndpoint(server), asio::use_awaitable);
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, error));
    std::array<char, 4096> piece{};
    while (!error && std::count(answer.begin(), answer.end(), '}') < answers) {
        const std::size_t count = co_await socket.async_read_some(
                asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        answer.append(piece.data(), count);
    }
}

} // namespace

class GatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(refusedCallersAreToldWhenToReturn);
    CPPUNIT_TEST(plansByServiceAndRoute);
    CPPUNIT_TEST(refusesWhatItMustNotRun);
    CPPUNIT_TEST(deadlineOfTheCallerCounts);
    CPPUNIT_TEST(copiesHaveOneFingerprintAndKey);
    CPPUNIT_TEST(nonIdempotentIsTriedAgainOnlyIfNotRun);
    CPPUNIT_TEST(readsTargetReports);
    CPPUNIT_TEST(problemsAreStable);
    CPPUNIT_TEST(longChunkedBodiesAreRefusedTruthfully);
    CPPUNIT_TEST(ambiguousRequestsAreRefused);
    CPPUNIT_TEST(pipelinedAnswersKeepTheirOrder);
    CPPUNIT_TEST(stoppingHostsAnswerWholePipelines);
    CPPUNIT_TEST(connectionsToTargetsAreUsedAgain);
    CPPUNIT_TEST(targetsOwnTimeoutIsNoFault);
    CPPUNIT_TEST_SUITE_END();

    /** A host that had just started refused 200 callers without saying when to come back. */
    void refusedCallersAreToldWhenToReturn()
    {
        for (int i = 0; i <= static_cast<int>(RefusalReason::Internal); ++i) {
            const auto reason = static_cast<RefusalReason>(i);
            CPPUNIT_ASSERT(retryAfterDelay(reason, 0) > Milliseconds(0));
            CPPUNIT_ASSERT(retryAfterDelay(reason, 1) > retryAfterDelay(reason, 0));
        }
        // Within an objective of half a second there is time for the work after the return.
        CPPUNIT_ASSERT(retryAfterDelay(RefusalReason::NoConfiguration, 1) <= Milliseconds(300));
    }

public:
    void plansByServiceAndRoute()
    {
        const auto planned = plan(makeHead("GET", "/bergvik/quotes/a/b?c=d"));
        const RequestPlan &result = std::get<RequestPlan>(planned);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d"), result.targetPath);
        CPPUNIT_ASSERT(result.idempotent);
        CPPUNIT_ASSERT(!result.idempotencyKeyHash);
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
        CPPUNIT_ASSERT(*one.idempotencyKeyHash == *two.idempotencyKeyHash);
        CPPUNIT_ASSERT(fingerprintOf(one, "POST", "x") == fingerprintOf(two, "POST", "x"));
        CPPUNIT_ASSERT(fingerprintOf(one, "POST", "x") != fingerprintOf(two, "POST", "y"));
    }

    void nonIdempotentIsTriedAgainOnlyIfNotRun()
    {
        for (int i = 0; i <= static_cast<int>(AttemptOutcome::Abandoned); ++i) {
            const auto outcome = static_cast<AttemptOutcome>(i);
            FailedAttempt end{outcome, 1, 3, false, true, Seconds(1)};
            const bool again = !refusalUnlessRetryable(end);
            CPPUNIT_ASSERT_EQUAL(runCertaintyOf(outcome) == RunCertainty::NotRun, again);
        }
        FailedAttempt lost{AttemptOutcome::ConnectionLost, 1, 3, true, true, Seconds(1)};
        CPPUNIT_ASSERT(!refusalUnlessRetryable(lost));
        lost.attempts = 3;
        CPPUNIT_ASSERT(refusalUnlessRetryable(lost)->certainty == RunCertainty::MayHaveRun);
        lost.attempts = 1;
        lost.replayable = false;
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

    /**
     * A body without a length is known to be too long only after some of it has been sent on,
     * unless it is kept whole before.
     */
    void longChunkedBodiesAreRefusedTruthfully()
    {
        const std::string buffered = throughGateway(chunkedRequest(200), 100);
        CPPUNIT_ASSERT_MESSAGE(buffered, buffered.find("413") != std::string::npos);
        CPPUNIT_ASSERT(buffered.find("\"not-run\"") != std::string::npos);
        const std::string kept = throughGateway(chunkedRequest(300'000), 100'000);
        CPPUNIT_ASSERT_MESSAGE(kept, kept.find("body-too-large") != std::string::npos);
        CPPUNIT_ASSERT(kept.find("\"not-run\"") != std::string::npos);
        const std::string streamed = throughGateway(chunkedRequest(1'200'000), 700'000);
        CPPUNIT_ASSERT_MESSAGE(streamed, streamed.find("body-too-large") != std::string::npos);
        CPPUNIT_ASSERT(streamed.find("\"may-have-run\"") != std::string::npos);
        const std::string fine = throughGateway(chunkedRequest(300'000), 400'000);
        CPPUNIT_ASSERT_MESSAGE(fine, fine.find("{300000}") != std::string::npos);
        const std::string sized = throughGateway(sizedRequest(1'200'000), 2'000'000);
        CPPUNIT_ASSERT_MESSAGE(sized, sized.find("{1200000}") != std::string::npos);
        const std::string large = throughGateway(chunkedRequest(1'200'000), 2'000'000);
        CPPUNIT_ASSERT_MESSAGE(large, large.find("{1200000}") != std::string::npos);
    }

    /** RFC 9112: one Host, no coding but chunked, and no coding with a length or in HTTP/1.0. */
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
            const std::string answer = throughGateway(text, 100);
            CPPUNIT_ASSERT_MESSAGE(text + answer, answer.find(" 400 ") != std::string::npos);
        }
    }

    /** The first request takes longer than the second one, which runs beside it. */
    void pipelinedAnswersKeepTheirOrder()
    {
        const std::string slow = "GET /bergvik/quotes/slow HTTP/1.1\r\nHost: h\r\n\r\n";
        const std::string fast = "GET /bergvik/quotes/fast HTTP/1.1\r\nHost: h\r\n"
                                 "Connection: close\r\n\r\n";
        const std::string answer = throughGateway(slow + fast, 100, 2);
        const std::size_t first = answer.find("/slow");
        const std::size_t second = answer.find("/fast");
        CPPUNIT_ASSERT_MESSAGE(answer, first != std::string::npos && second != std::string::npos);
        CPPUNIT_ASSERT(first < second);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_mostAtOnce);
    }

    /** A host that stops closed a connection behind an answer, under a later request of it. */
    void stoppingHostsAnswerWholePipelines()
    {
        m_discouraged = true;
        const std::string fast = "GET /bergvik/quotes/fast HTTP/1.1\r\nHost: h\r\n\r\n";
        const std::string slow = "GET /bergvik/quotes/slow HTTP/1.1\r\nHost: h\r\n\r\n";
        const std::string answer = throughGateway(fast + slow, 100, 2);
        const std::size_t second = answer.find("/slow");
        CPPUNIT_ASSERT_MESSAGE(answer, second != std::string::npos);
        const std::size_t close = answer.find("Connection: close");
        CPPUNIT_ASSERT_MESSAGE(answer, close > answer.find("/fast") && close < second);
    }

    void connectionsToTargetsAreUsedAgain()
    {
        const std::string request = "POST /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\n"
                                    "Content-Length: 2\r\n\r\nab";
        const std::string last = "GET /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\n"
                                 "Connection: close\r\n\r\n";
        asio::io_context context;
        asio::ip::tcp::acceptor target(context, tcpEndpoint(anyPort));
        int connections = 0;
        startTask(context.get_executor(), "target", countConnections(target, connections));
        const Address address{"127.0.0.1", target.local_endpoint().port()};
        const std::string answer = exchangeWith(context, address, {request, request, last}, 100, 1);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("{3}") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, connections);
    }

    void targetsOwnTimeoutIsNoFault()
    {
        CPPUNIT_ASSERT(outcomeForStatus(504) == AttemptOutcome::TimedOut);
        CPPUNIT_ASSERT(outcomeForStatus(500) == AttemptOutcome::Failed);
        CPPUNIT_ASSERT(outcomeForStatus(404) == AttemptOutcome::Answered);
    }

private:
    /** Answers each request with its number on the connection. */
    static Task<> countConnections(asio::ip::tcp::acceptor &acceptor, int &connections)
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
                const bool whole =
                        received.ends_with(received.starts_with("POST") ? "ab" : "\r\n\r\n");
                if (error || !whole)
                    continue;
                received.clear();
                const std::string body = "{" + std::to_string(++requests) + "}";
                const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + body;
                co_await asio::async_write(socket, asio::buffer(answer),
                                           asio::redirect_error(asio::use_awaitable, error));
            }
        }
    }

    /** @return what a caller gets for @p text where bodies may have @p maxBodySize bytes */
    std::string throughGateway(std::string text, int maxBodySize, int answers = 1)
    {
        asio::io_context context;
        std::size_t atOnce = 0;
        HttpServer target(context.get_executor(), anyPort,
                          [&atOnce, this](HttpServerRequest call) -> Task<HttpServerResponse> {
                              m_mostAtOnce = std::max(m_mostAtOnce, ++atOnce);
                              if (call.path.find("slow") != std::string::npos)
                                  co_await sleepFor(Milliseconds(60));
                              --atOnce;
                              co_return HttpServerResponse{
                                      200, "text/plain",
                                      call.path + "{" + std::to_string(call.body.size()) + "}"};
                          });
        return exchangeWith(context, target.localAddress(), {std::move(text)}, maxBodySize,
                            answers);
    }

    /** Sends one text after the other, each on a connection of its own. @return the last answer */
    std::string exchangeWith(asio::io_context &context, const Address &target,
                             const std::vector<std::string> &texts, int maxBodySize, int answers)
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
        OneTarget placements{target, {}};
        AnyRun runs;
        GatewayServer<NativeFrontEnd, OneTarget, AnyRun> gateway(
                context.get_executor(), anyPort, {HostId(1), metrics, random},
                NativeFrontEnd(configuration), placements, runs);
        if (m_discouraged)
            gateway.disableKeepAlive();
        std::string answer;
        for (const auto &text : texts) {
            answer.clear();
            runTask(context, exchangeText(context.get_executor(), gateway.localAddress(), text,
                                          answers, answer));
        }
        return answer;
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
    std::size_t m_mostAtOnce = 0;
    /** The gateway is about to stop. */
    bool m_discouraged = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
