#include "endivedock/gateway.h"
#include "endivedock/gateway/gateway_server-inl.h"

#include "../scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::anyLoopbackAddress;
using endivedock::testing::ConnectionEnd;
using endivedock::testing::runTask;
using endivedock::testing::ScriptedResponse;
using endivedock::testing::ScriptedServer;

namespace {

/** More than the sockets hold while the target does not read. */
constexpr std::size_t longUploadBytes = 16'000'000;

struct OneTargetSource
{
    Task<std::variant<PlacedTarget, Refusal>> place(const PlacementRequest &, TimePoint)
    {
        co_return PlacedTarget{{GrantId(1), TargetId("t"), true}, target, Connections(5)};
    }
    void abandon(const AttemptId &) {}
    void recordDraining(const AttemptReport &) {}
    void report(AttemptReport report) { reports.push_back(std::move(report)); }

    Address target;
    std::vector<AttemptReport> reports;
};

struct UnguardedRuns
{
    Task<std::optional<Refusal>> claim(RunClaim, TimePoint) { co_return std::nullopt; }
    void finish(RunClaim, RunOutcome) {}
};

/** What a caller received, and what the gateway reported of its target. */
struct Exchange
{
    std::string received;
    std::vector<AttemptReport> reports;
    int requestCount = 0;
};

std::string requestWithoutBody()
{
    return "GET /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
}

std::string uploadRequest(std::size_t bytes)
{
    return "PUT /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
           std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
}

/** Sends @p text and reads until the server closes the connection. */
Task<> sendAndReceive(asio::any_io_executor executor, Address server, std::string text,
                      std::string &received)
{
    asio::ip::tcp::socket socket(executor);
    co_await socket.async_connect(tcpEndpoint(server), asio::use_awaitable);
    const SocketDeadline deadline(socket, Seconds(20));
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, error));
    error = {};
    while (!error) {
        std::array<char, 4096> piece{};
        const std::size_t count = co_await socket.async_read_some(
                asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        received.append(piece.data(), count);
    }
}

/** Sends @p request through a gateway to a target that sends @p response. */
Exchange exchange(ScriptedResponse response, std::string request)
{
    configureLog(LogLevel::Error);
    asio::io_context context;
    NewestConfiguration configuration;
    configuration.applyIfNewer(
            {Revision(1),
             {{templateKey(TemplateId("t")),
               R"({"template":"t","slots":4,"maxBodyBytes":20000000,"deadlineMs":10000})"},
              {teamParametersKey(TeamId("bergvik")),
               R"({"tenant":"bergvik","zones":["a"],"services":[{"service":"quotes","template":"t"}]})"}}});
    Metrics metrics;
    Random random(1);
    ScriptedServer target(context, {std::move(response)});
    OneTargetSource placements{target.address(), {}};
    UnguardedRuns runGuard;
    GatewayServer<NativeFrontEnd, OneTargetSource, UnguardedRuns> gateway(
            context.get_executor(), anyLoopbackAddress, {HostId(1), metrics, random},
            NativeFrontEnd(configuration), placements, runGuard);
    Exchange result;
    runTask(context, sendAndReceive(context.get_executor(), gateway.localAddress(),
                                    std::move(request), result.received));
    // The tasks of open connections refer to the gateway, so they have to end before it does.
    context.restart();
    const TimePoint endBy = SteadyClock().now() + Seconds(1);
    while (gateway.activity().openConnectionCount > 0 && SteadyClock().now() < endBy)
        context.run_one_until(endBy);
    context.run_for(Milliseconds(20));
    result.reports = placements.reports;
    result.requestCount = target.requestCount();
    return result;
}

/**
 * Requires a refusal that does not claim that the request was not run, and that each attempt counts
 * against its target.
 */
void checkRefused(const std::string &name, const Exchange &result)
{
    const std::string text = name + ": " + result.received;
    CPPUNIT_ASSERT_MESSAGE(text, result.received.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT_MESSAGE(text, result.received.find("\"may-have-run\"") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(text, result.received.find("broken") == std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(text, !result.reports.empty());
    for (const auto &report : result.reports)
        CPPUNIT_ASSERT_MESSAGE(text, report.outcome == AttemptOutcome::ConnectionLost);
}

void checkServed(const std::string &name, const Exchange &result, const std::string &body)
{
    const std::string text = name + ": " + result.received;
    CPPUNIT_ASSERT_MESSAGE(text, result.received.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT_MESSAGE(text, result.received.ends_with("\r\n\r\n" + body));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t(1), result.reports.size());
    CPPUNIT_ASSERT_MESSAGE(text, result.reports.front().outcome == AttemptOutcome::Answered);
}

/**
 * The outcome of one exchange over a connection of its own: the body that was read, or the error.
 * The body of the request is sent by another task, as the gateway sends one that it has buffered.
 */
struct ConnectionOutcome
{
    std::string body;
    std::string error;
};

ConnectionOutcome exchangeWithBodyInBackground(ScriptedResponse response)
{
    asio::io_context context;
    ScriptedServer target(context, {std::move(response)});
    ConnectionOutcome outcome;
    runTask(context,
            [](asio::any_io_executor executor, Address address,
               ConnectionOutcome &result) -> Task<> {
                TargetConnection connection(executor);
                co_await connection.connect(address, SteadyClock().now() + Seconds(5));
                connection.setDeadline(SteadyClock().now() + Seconds(5));
                RequestHead head;
                head.method = "PUT";
                head.path = "/x";
                head.framing.length = longUploadBytes;
                const auto body = std::make_shared<std::string>(longUploadBytes, 'x');
                co_await connection.sendHead(head);
                connection.sendBodyInBackground(body, *body);
                try {
                    co_await connection.readHead();
                    std::array<char, 4096> piece{};
                    for (std::size_t count = co_await connection.readBody(piece); count > 0;
                         count = co_await connection.readBody(piece))
                        result.body.append(piece.data(), count);
                } catch (const TargetError &error) {
                    result.error = error.what();
                }
            }(context.get_executor(), target.address(), outcome));
    context.restart();
    context.run_for(Milliseconds(50));
    return outcome;
}

} // namespace

/** Responses that are broken must not reach callers; those of sound targets are served. */
class BrokenResponsesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrokenResponsesTest);
    CPPUNIT_TEST(responseCutOffByAResetDuringAnUploadIsNotComplete);
    CPPUNIT_TEST(responseCutOffByAResetDuringABufferedUploadIsNotComplete);
    CPPUNIT_TEST(earlyResponseThatItsCloseEndsIsComplete);
    CPPUNIT_TEST(invalidStatusIsRefused);
    CPPUNIT_TEST(invalidFieldNameIsRefused);
    CPPUNIT_TEST(foldedLineIsRefused);
    CPPUNIT_TEST(unsupportedTransferCodingIsRefused);
    CPPUNIT_TEST(refusalThatIsCutOffDoesNotProveThatNothingRan);
    CPPUNIT_TEST(responsesOfSoundTargetsAreServed);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * The task that wrote the upload took the error of the reset from the socket and dropped it, so
     * the reading task saw an ordinary end of the stream.
     */
    void responseCutOffByAResetDuringAnUploadIsNotComplete()
    {
        const Exchange result =
                exchange({{"HTTP/1.1 200 OK\r\n\r\n", "broken"}, ConnectionEnd::Reset},
                         uploadRequest(longUploadBytes));
        checkRefused("reset", result);
        CPPUNIT_ASSERT_EQUAL(1, result.requestCount);
        // A refusal that is cut off does not prove that nothing ran.
        checkRefused("refusal",
                     exchange({{"HTTP/1.1 503 X\r\nRequest-Not-Run: true\r\n\r\n", "broken"},
                               ConnectionEnd::Reset},
                              uploadRequest(longUploadBytes)));
    }

    /** The same, for an upload that another task than that of the response sends. */
    void responseCutOffByAResetDuringABufferedUploadIsNotComplete()
    {
        const ConnectionOutcome outcome = exchangeWithBodyInBackground(
                {{"HTTP/1.1 200 OK\r\n\r\n", "broken"}, ConnectionEnd::Reset});
        CPPUNIT_ASSERT_MESSAGE(outcome.body, !outcome.error.empty());
    }

    void earlyResponseThatItsCloseEndsIsComplete()
    {
        for (const ConnectionEnd end :
             {ConnectionEnd::CloseSending, ConnectionEnd::CloseSendingAndReset}) {
            const ScriptedResponse response{{"HTTP/1.1 200 OK\r\n\r\n", "all of it"}, end};
            checkServed("streamed upload", exchange(response, uploadRequest(longUploadBytes)),
                        "all of it");
            const ConnectionOutcome outcome = exchangeWithBodyInBackground(response);
            CPPUNIT_ASSERT_EQUAL(std::string(), outcome.error);
            CPPUNIT_ASSERT_EQUAL(std::string("all of it"), outcome.body);
        }
    }

    /** A status below 200 was taken for that of an interim response, and the body for the next
     * head. */
    void invalidStatusIsRefused()
    {
        const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbroken";
        for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
            const std::string withBody = "HTTP/1.1 " + status +
                                         " X\r\nContent-Length: " + std::to_string(inner.size()) +
                                         "\r\n\r\n" + inner;
            checkRefused(status, exchange({{withBody}}, requestWithoutBody()));
            const std::string alone = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
            checkRefused(status + " alone", exchange({{alone}}, requestWithoutBody()));
        }
    }

    void invalidFieldNameIsRefused()
    {
        const std::vector<std::string> lines{"Bad Name: x",
                                             "Name : x",
                                             " Name: x",
                                             "\tName: x",
                                             "Name\t: x",
                                             "Na\x01me: x",
                                             "Na\x7fme: x",
                                             "Content-Length : 3",
                                             "Transfer-Encoding : chunked",
                                             std::string("Na\0me: x", 8),
                                             "Na\rme: x",
                                             ": x",
                                             "Name"};
        for (const auto &line : lines) {
            checkRefused(line, exchange({{"HTTP/1.1 200 OK\r\n" + line +
                                          "\r\nContent-Length: 6\r\n\r\nbroken"},
                                         ConnectionEnd::CloseSending},
                                        requestWithoutBody()));
        }
    }

    /**
     * A line whose name begins with a blank was joined to the line before, and the body it
     * described was passed on as it came.
     */
    void foldedLineIsRefused()
    {
        for (const std::string blank : {" ", "\t"}) {
            const std::string start = "HTTP/1.1 200 OK\r\nName: x\r\n";
            const std::string rest = blank + "Transfer-Encoding: chunked\r\n\r\n"
                                             "6\r\nbroken\r\n0\r\n\r\n";
            checkRefused("folded", exchange({{start + rest}, ConnectionEnd::CloseSending},
                                            requestWithoutBody()));
            checkRefused("folded, in pieces", exchange({{start, rest}, ConnectionEnd::CloseSending},
                                                       requestWithoutBody()));
        }
    }

    /** The coding was taken off the head but not off the body. */
    void unsupportedTransferCodingIsRefused()
    {
        for (const std::string coding :
             {"gzip, chunked", "gzip", "xchunked", "chunked, chunked", ""})
            checkRefused(coding, exchange({{"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                                            "\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
                                           ConnectionEnd::CloseSending},
                                          requestWithoutBody()));
    }

    /** A refusal that was longer than the gateway buffers was believed before its end. */
    void refusalThatIsCutOffDoesNotProveThatNothingRan()
    {
        const std::string refusal = "HTTP/1.1 503 X\r\nRequest-Not-Run: true\r\n";
        const std::string longRefusal = refusal + "Content-Length: 600000\r\n\r\n";
        const std::string start(550'000, 'x');
        checkRefused("long", exchange({{longRefusal, start}, ConnectionEnd::CloseSending},
                                      requestWithoutBody()));
        const Exchange whole =
                exchange({{longRefusal, start, std::string(50'000, 'x')}}, requestWithoutBody());
        CPPUNIT_ASSERT_MESSAGE(whole.received, whole.received.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(whole.received.find("\"not-run\"") != std::string::npos);
    }

    void responsesOfSoundTargetsAreServed()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
                                    "Link: </x>\r\n\r\n";
        struct Case
        {
            std::string name;
            ScriptedResponse response;
        };
        const std::vector<Case> cases{
                {"length", {{ok + "Content-Length: 4\r\n\r\nbody"}}},
                {"chunked", {{ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}}},
                {"Chunked", {{ok + "transfer-encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}}},
                {"closed", {{ok + "\r\n", "bo", "dy"}, ConnectionEnd::CloseSending}},
                {"identity",
                 {{ok + "Transfer-Encoding: identity\r\n\r\nbody"}, ConnectionEnd::CloseSending}},
                {"HTTP/1.0", {{"HTTP/1.0 200 OK\r\n\r\nbody"}, ConnectionEnd::CloseSending}},
                {"interim", {{interim + ok + "Content-Length: 4\r\n\r\nbody"}}},
                {"interim in pieces",
                 {{interim.substr(0, 40), interim.substr(40) + ok.substr(0, 9), ok.substr(9),
                   "Content-Length: 4\r", "\n", "\r", "\nbody"}}},
                {"blank lines in the body",
                 {{ok + "Content-Length: 7\r\n\r\n\r\n \r\n\tx"}, ConnectionEnd::CloseSending}},
        };
        for (const auto &each : cases) {
            const std::string body =
                    each.name == "blank lines in the body" ? "\r\n \r\n\tx" : "body";
            checkServed(each.name, exchange(each.response, requestWithoutBody()), body);
        }
        // A response that its framing ends is whole, whatever happens to the connection after it.
        checkServed("early with a length",
                    exchange({{ok + "Content-Length: 4\r\n\r\nbody"}, ConnectionEnd::Reset},
                             uploadRequest(longUploadBytes)),
                    "body");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenResponsesTest);
