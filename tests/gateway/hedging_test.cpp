#include "endivedock/gateway.h"
#include "endivedock/gateway/gateway_server-inl.h"

#include "../net_support.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/write.hpp>

using namespace endivedock;
using endivedock::testing::anyLoopbackAddress;
using endivedock::testing::runTask;

namespace {

constexpr Milliseconds hedgeAfter{20};
/** Long after a hedge has been started, also on a busy machine. */
constexpr Milliseconds slow{300};
/** Longer than any of the tests waits. */
constexpr Milliseconds never{60'000};

/** A target that reads requests, and sends its response to each after a delay. */
class DelayedTarget
{
public:
    DelayedTarget(asio::io_context &context, Milliseconds delay, std::string response)
        : m_delay(delay)
        , m_response(std::move(response))
        , m_acceptor(context, tcpEndpoint(anyLoopbackAddress))
    {
        startTask(context.get_executor(), "target", accept());
    }

    Address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    int requests = 0;
    /** The start of the last request, with its header. */
    std::string lastRequest;
    /** Requests that have neither been answered nor cancelled. */
    int open = 0;
    /** Connections that were closed before their response was due. */
    int cancelled = 0;

private:
    Task<> accept()
    {
        while (true)
            startTask(m_acceptor.get_executor(), "connection",
                      serve(co_await m_acceptor.async_accept(asio::use_awaitable)));
    }

    Task<> serve(asio::ip::tcp::socket socket)
    {
        std::array<char, 4096> piece{};
        boost::system::error_code error;
        const std::size_t size = co_await socket.async_read_some(
                asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        lastRequest.assign(piece.data(), size);
        ++requests;
        ++open;
        asio::steady_timer due(socket.get_executor(), m_delay);
        due.async_wait([&socket](const boost::system::error_code &failure) {
            boost::system::error_code ignored;
            if (!failure)
                socket.cancel(ignored);
        });
        co_await socket.async_read_some(asio::buffer(piece),
                                        asio::redirect_error(asio::use_awaitable, error));
        --open;
        if (error != asio::error::operation_aborted) {
            ++cancelled;
            due.cancel();
            co_return;
        }
        co_await asio::async_write(socket, asio::buffer(m_response),
                                   asio::redirect_error(asio::use_awaitable, error));
    }

    Milliseconds m_delay;
    std::string m_response;
    asio::ip::tcp::acceptor m_acceptor;
};

std::string okResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Places the first attempt on one target and the hedge on another, and any retry on a third. */
struct HedgingSource
{
    Task<std::variant<PlacedTarget, Refusal>> place(PlacementRequest request, TimePoint)
    {
        requests.push_back(request);
        ++open;
        if (request.firstAttemptAge && placeDelay > Milliseconds(0))
            co_await sleepFor(placeDelay);
        if (request.firstAttemptAge && refusesHedges) {
            --open;
            co_return Refusal{RefusalReason::RetryBudget, RunCertainty::NotRun};
        }
        const bool isFirst = request.excludedTargets.empty();
        const std::size_t target = isFirst ? 0 : request.firstAttemptAge ? 1 : 2;
        PlacedTarget placed;
        placed.placement.grant = GrantId(target + 1);
        placed.placement.target = TargetId("t" + std::to_string(target));
        placed.placement.hedgeAfter = isFirst ? advisedHedgeAfter : Milliseconds(0);
        placed.address = addresses.at(target);
        placed.connectionLimit = Connections(5);
        co_return placed;
    }
    void abandon(const AttemptId &) {}
    void recordDraining(const AttemptReport &) {}
    void report(AttemptReport report)
    {
        --open;
        reports.push_back(std::move(report));
    }

    std::vector<Address> addresses;
    Milliseconds advisedHedgeAfter = hedgeAfter;
    bool refusesHedges = false;
    /** Attempts that have asked for a placement and have not ended. */
    int open = 0;
    Milliseconds placeDelay{0};
    std::vector<PlacementRequest> requests;
    std::vector<AttemptReport> reports;
};

struct UnguardedRuns
{
    Task<std::optional<Refusal>> claim(RunClaim, TimePoint) { co_return std::nullopt; }
    void finish(RunClaim, RunOutcome) {}
};

/** One caller, one host, and three targets. */
class Fixture
{
public:
    Fixture(Milliseconds firstDelay, Milliseconds hedgeDelay,
            std::string firstResponse = okResponse("first"),
            std::string hedgeResponse = okResponse("hedge"))
        : first(context, firstDelay, std::move(firstResponse))
        , hedge(context, hedgeDelay, std::move(hedgeResponse))
        , third(context, Milliseconds(0), okResponse("third"))
    {
        placements.addresses = {first.address(), hedge.address(), third.address()};
    }

    /** @return what the caller receives until the host closes, or the caller gives up */
    std::string send(const std::string &method = "GET", int maxAttempts = 3,
                     Milliseconds giveUpAfter = Milliseconds(3000))
    {
        configureLog(LogLevel::Error);
        NewestConfiguration configuration;
        configuration.applyIfNewer(
                {Revision(1),
                 {{templateKey(TemplateId("t")),
                   R"({"template":"t","slots":4,"deadlineMs":1000,"maxAttempts":)" +
                           std::to_string(maxAttempts) +
                           R"(,"routes":[{"method":"POST","path":"/","idempotent":false}]})"},
                  {teamParametersKey(TeamId("bergvik")),
                   R"({"tenant":"bergvik","zones":["a"],"services":[{"service":"quotes","template":"t"}]})"}}});
        Random random(1);
        UnguardedRuns runGuard;
        GatewayServer<NativeFrontEnd, HedgingSource, UnguardedRuns> gateway(
                context.get_executor(), anyLoopbackAddress, {HostId(1), metrics, random},
                NativeFrontEnd(configuration), placements, runGuard);
        std::string response;
        runTask(context, exchange(gateway.localAddress(),
                                  method + " /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\n"
                                           "Connection: close\r\nContent-Length: 0\r\n\r\n",
                                  giveUpAfter, response));
        // All attempts end, and the targets see it.
        for (int i = 0; i < 400 && placements.open + first.open + hedge.open > 0; ++i) {
            context.restart();
            context.run_for(Milliseconds(5));
        }
        CPPUNIT_ASSERT_EQUAL(0, placements.open);
        return response;
    }

    std::vector<AttemptOutcome> outcomes() const
    {
        std::vector<AttemptOutcome> result(placements.addresses.size(), AttemptOutcome::Draining);
        for (const auto &report : placements.reports)
            result[static_cast<std::size_t>(report.grant.value()) - 1] = report.outcome;
        return result;
    }
    std::uint64_t count(const std::string &event) const
    {
        return metrics.counter("endivedock_hedges_total",
                               {{"service", "bergvik/quotes"}, {"event", event}});
    }

    asio::io_context context;
    Metrics metrics;
    DelayedTarget first;
    DelayedTarget hedge;
    DelayedTarget third;
    HedgingSource placements;

private:
    Task<> exchange(Address server, std::string text, Milliseconds giveUpAfter,
                    std::string &response)
    {
        asio::ip::tcp::socket socket(context);
        co_await socket.async_connect(tcpEndpoint(server), asio::use_awaitable);
        asio::steady_timer timeout(context, giveUpAfter);
        timeout.async_wait([&socket](const boost::system::error_code &failure) {
            if (!failure)
                socket.close();
        });
        co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
        boost::system::error_code error;
        while (!error) {
            std::array<char, 4096> piece{};
            const std::size_t size = co_await socket.async_read_some(
                    asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
            response.append(piece.data(), size);
        }
    }
};

int countOf(const std::string &text, const std::string &part)
{
    int result = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++result;
    return result;
}

} // namespace

class GatewayHedgingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayHedgingTest);
    CPPUNIT_TEST(hedgeWinsAndTheSlowAttemptIsCancelled);
    CPPUNIT_TEST(firstAttemptWinsAndTheHedgeIsCancelled);
    CPPUNIT_TEST(answeredRequestsGetNoHedge);
    CPPUNIT_TEST(refusedHedgeLeavesTheFirstAttempt);
    CPPUNIT_TEST(answerWhileTheHedgeIsPlaced);
    CPPUNIT_TEST(onlyRequestsThatMayBeRepeatedAreHedged);
    CPPUNIT_TEST(attemptsAreNeverExceeded);
    CPPUNIT_TEST(callerThatLeavesEndsBothAttempts);
    CPPUNIT_TEST(failedFirstAttemptWaitsForItsHedge);
    CPPUNIT_TEST(failedHedgeWaitsForTheFirstAttempt);
    CPPUNIT_TEST(bothFailedAndTheRetryGoesElsewhere);
    CPPUNIT_TEST(targetsSeeHowManyAttemptsWereMade);
    CPPUNIT_TEST(streamedResponseWinsWithItsHead);
    CPPUNIT_TEST(deadlineEndsBothAttempts);
    CPPUNIT_TEST_SUITE_END();

public:
    void hedgeWinsAndTheSlowAttemptIsCancelled()
    {
        Fixture fixture(never, Milliseconds(10));
        checkResponse("hedge", fixture.send());
        CPPUNIT_ASSERT(fixture.outcomes()[0] == AttemptOutcome::Overtaken);
        CPPUNIT_ASSERT(fixture.outcomes()[1] == AttemptOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(1, fixture.first.cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.placements.reports.size());
        for (const auto &report : fixture.placements.reports)
            CPPUNIT_ASSERT(!report.isUnanswered);
        const PlacementRequest &hedge = fixture.placements.requests.at(1);
        CPPUNIT_ASSERT(hedge.isRetry && *hedge.firstAttemptAge >= hedgeAfter);
        CPPUNIT_ASSERT((hedge.excludedTargets == std::vector<TargetId>{TargetId("t0")}));
        CPPUNIT_ASSERT(hedge.remaining <= Milliseconds(1000) - hedgeAfter);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.count("won"));
    }

    void firstAttemptWinsAndTheHedgeIsCancelled()
    {
        Fixture fixture(slow, never);
        checkResponse("first", fixture.send());
        CPPUNIT_ASSERT(fixture.outcomes()[0] == AttemptOutcome::Answered);
        CPPUNIT_ASSERT(fixture.outcomes()[1] == AttemptOutcome::Overtaken);
        CPPUNIT_ASSERT_EQUAL(1, fixture.hedge.cancelled);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.count("lost"));
    }

    void answeredRequestsGetNoHedge()
    {
        Fixture fixture(Milliseconds(0), never);
        fixture.placements.advisedHedgeAfter = slow;
        checkResponse("first", fixture.send());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.placements.requests.size());
    }

    void refusedHedgeLeavesTheFirstAttempt()
    {
        Fixture fixture(slow, never);
        fixture.placements.refusesHedges = true;
        checkResponse("first", fixture.send());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.placements.requests.size());
        CPPUNIT_ASSERT_EQUAL(0, fixture.hedge.requests);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.count("refused"));
    }

    /** The placement comes after the answer, and is released unused. */
    void answerWhileTheHedgeIsPlaced()
    {
        Fixture fixture(slow, never);
        fixture.placements.placeDelay = 2 * slow;
        checkResponse("first", fixture.send());
        CPPUNIT_ASSERT_EQUAL(0, fixture.hedge.requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.placements.reports.size());
        CPPUNIT_ASSERT(fixture.outcomes()[1] == AttemptOutcome::Abandoned);
    }

    void onlyRequestsThatMayBeRepeatedAreHedged()
    {
        Fixture fixture(slow, Milliseconds(0));
        checkResponse("first", fixture.send("POST"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.placements.requests.size());
    }

    void attemptsAreNeverExceeded()
    {
        Fixture one(slow, Milliseconds(0));
        checkResponse("first", one.send("GET", 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), one.placements.requests.size());
        const std::string failure = "HTTP/1.1 500 Oops\r\nConnection: close\r\n"
                                    "Content-Length: 0\r\n\r\n";
        Fixture two(slow, slow, failure, failure);
        const std::string response = two.send("GET", 2);
        CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 500"));
        CPPUNIT_ASSERT_EQUAL(0, two.third.requests);
    }

    void callerThatLeavesEndsBothAttempts()
    {
        Fixture fixture(never, never);
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.send("GET", 3, slow));
        CPPUNIT_ASSERT_EQUAL(1, fixture.first.cancelled);
        CPPUNIT_ASSERT_EQUAL(1, fixture.hedge.cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.placements.reports.size());
        CPPUNIT_ASSERT(fixture.outcomes()[0] == AttemptOutcome::Abandoned);
        CPPUNIT_ASSERT(fixture.outcomes()[1] == AttemptOutcome::Abandoned);
        CPPUNIT_ASSERT_EQUAL(0, fixture.third.requests);
    }

    /** A target that loses the connection is as slow as the hedge for the caller. */
    void failedFirstAttemptWaitsForItsHedge()
    {
        Fixture fixture(slow, 2 * slow, "");
        checkResponse("hedge", fixture.send());
        CPPUNIT_ASSERT(fixture.outcomes()[0] == AttemptOutcome::ConnectionLost);
        CPPUNIT_ASSERT_EQUAL(0, fixture.third.requests);
    }

    void failedHedgeWaitsForTheFirstAttempt()
    {
        Fixture fixture(slow, Milliseconds(10), okResponse("first"),
                        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        checkResponse("first", fixture.send());
        CPPUNIT_ASSERT_EQUAL(0, fixture.third.requests);
    }

    void bothFailedAndTheRetryGoesElsewhere()
    {
        Fixture fixture(slow, slow, "", "");
        checkResponse("third", fixture.send());
        const PlacementRequest &retry = fixture.placements.requests.at(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), retry.excludedTargets.size());
        CPPUNIT_ASSERT(!retry.firstAttemptAge);
        CPPUNIT_ASSERT_EQUAL(3, int(retry.attempt.number));
    }

    /** By it, targets mark their calls as part of a retry, which count as retries there. */
    void targetsSeeHowManyAttemptsWereMade()
    {
        const std::string field = "Retry-Attempt: ";
        Fixture hedged(slow, slow, "", "");
        checkResponse("third", hedged.send());
        CPPUNIT_ASSERT_EQUAL(0, countOf(hedged.first.lastRequest, field));
        CPPUNIT_ASSERT_EQUAL(1, countOf(hedged.hedge.lastRequest, field + "1\r\n"));
        CPPUNIT_ASSERT_EQUAL(1, countOf(hedged.third.lastRequest, field + "2\r\n"));
        Fixture retried(Milliseconds(0), never, "");
        retried.placements.advisedHedgeAfter = Milliseconds(0);
        checkResponse("third", retried.send());
        CPPUNIT_ASSERT_EQUAL(1, countOf(retried.third.lastRequest, field + "1\r\n"));
    }

    /** Both responses are too long to be buffered; only one may be written to the caller. */
    void streamedResponseWinsWithItsHead()
    {
        Fixture fixture(slow, slow, okResponse(std::string(900'000, 'f')),
                        okResponse(std::string(900'000, 'h')));
        const std::string response = fixture.send();
        CPPUNIT_ASSERT_EQUAL(1, countOf(response, "HTTP/1.1"));
        const std::size_t body = response.find("\r\n\r\n") + 4;
        CPPUNIT_ASSERT_EQUAL(std::size_t(900'000), response.size() - body);
        CPPUNIT_ASSERT(response.find_first_not_of(response[body], body) == std::string::npos);
    }

    void deadlineEndsBothAttempts()
    {
        Fixture fixture(never, never);
        const std::string response = fixture.send();
        CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 504"));
        CPPUNIT_ASSERT(response.find("may-have-run") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, countOf(response, "HTTP/1.1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.placements.reports.size());
    }

private:
    static void checkResponse(const std::string &body, const std::string &response)
    {
        CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("\r\n\r\n" + body));
        CPPUNIT_ASSERT_EQUAL(1, countOf(response, "HTTP/1.1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayHedgingTest);
