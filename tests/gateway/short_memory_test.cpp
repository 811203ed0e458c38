#include "endivedock/gateway.h"
#include "endivedock/gateway/gateway_server-inl.h"

#include "../net_support.h"

#include <vector>

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::anyLoopbackAddress;

namespace {

/** Finds no target; what it refuses has been read whole. */
struct RefusingSource
{
    Task<std::variant<PlacedTarget, Refusal>> place(const PlacementRequest &, TimePoint)
    {
        co_return Refusal{RefusalReason::NoTarget, RunCertainty::NotRun};
    }
    void abandon(const AttemptId &) {}
    void recordDraining(const AttemptReport &) {}
    void report(const AttemptReport &) {}
};

struct UnguardedRuns
{
    Task<std::optional<Refusal>> claim(RunClaim, TimePoint) { co_return std::nullopt; }
    void finish(RunClaim, RunOutcome) {}
};

/** Two bodies of half a megabyte fit into the memory of this machine, three do not. */
constexpr MachineLimits smallMachine{Bytes(4 << 20), 300};
constexpr std::size_t largeBody = 500'000;

} // namespace

/** Callers whose bodies do not fit into the memory, or into the limit on bodies. */
class ShortMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShortMemoryTest);
    CPPUNIT_TEST(aBodyThatStandsStillIsRefusedTruthfullyForAnotherOne);
    CPPUNIT_TEST(aBodyThatIsTooLargeIsRefusedBeforeItIsSent);
    CPPUNIT_TEST(aBodyThatStandsStillIsKeptWhileThereIsRoom);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        configureLog(LogLevel::Error);
        m_configuration.applyIfNewer(
                {Revision(1),
                 {{templateKey(TemplateId("t")),
                   R"({"template":"t","slots":4,"maxBodyBytes":1000000,"deadlineMs":20000})"},
                  {teamParametersKey(TeamId("bergvik")),
                   R"({"tenant":"bergvik","zones":["a"],"services":[{"service":"quotes","template":"t"}]})"}}});
    }

    void aBodyThatStandsStillIsRefusedTruthfullyForAnotherOne()
    {
        std::vector<asio::ip::tcp::socket> stalled;
        for (int i = 0; i < 2; ++i)
            stalled.push_back(send(largeBody, largeBody - 1));
        auto other = send(largeBody, largeBody);
        const std::string answer = receive(other);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("no-target") != std::string::npos);
        // One of the two made room, and one is enough.
        std::vector<std::string> refusals;
        for (auto &caller : stalled) {
            if (caller.available() > 0)
                refusals.push_back(receive(caller));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), refusals.size());
        const std::string &refusal = refusals.front();
        for (const char *part : {"HTTP/1.1 503", "memory-short", "Retry-After", "Request-Not-Run"})
            CPPUNIT_ASSERT_MESSAGE(refusal, refusal.find(part) != std::string::npos);
        stalled.push_back(std::move(other)); // An open connection lasts for its idle timeout.
        end(stalled);
    }

    void aBodyThatIsTooLargeIsRefusedBeforeItIsSent()
    {
        std::vector<asio::ip::tcp::socket> callers;
        callers.push_back(send(2'000'000, 0));
        const std::string refusal = receive(callers.front());
        CPPUNIT_ASSERT_MESSAGE(refusal, refusal.starts_with("HTTP/1.1 413"));
        CPPUNIT_ASSERT_MESSAGE(refusal, refusal.find("Connection: close") != std::string::npos);
        end(callers);
    }

    void aBodyThatStandsStillIsKeptWhileThereIsRoom()
    {
        std::vector<asio::ip::tcp::socket> callers;
        callers.push_back(send(largeBody, largeBody - 1));
        m_context.restart();
        m_context.run_for(Milliseconds(2500));
        asio::write(callers.front(), asio::buffer(std::string("x")));
        const std::string answer = receive(callers.front());
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("no-target") != std::string::npos);
        end(callers);
    }

private:
    /** Opens a connection and sends the start of a request. */
    asio::ip::tcp::socket send(std::size_t announced, std::size_t sent)
    {
        asio::ip::tcp::socket caller(m_context);
        caller.connect(tcpEndpoint(m_gateway.localAddress()));
        caller.non_blocking(true);
        const std::string text = "PUT /bergvik/quotes/x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                                 std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'x');
        std::size_t count = 0;
        while (count < text.size()) {
            boost::system::error_code error;
            count += caller.write_some(asio::buffer(text.data() + count, text.size() - count),
                                       error);
            CPPUNIT_ASSERT(!error || error == asio::error::would_block);
            runGateway();
        }
        runGateway();
        return caller;
    }

    /** @return what the caller receives first; waits for some seconds at most */
    std::string receive(asio::ip::tcp::socket &caller)
    {
        const TimePoint endBy = SteadyClock().now() + Seconds(8);
        while (caller.available() == 0 && SteadyClock().now() < endBy)
            runGateway();
        std::string response(4096, '\0');
        boost::system::error_code error;
        response.resize(caller.read_some(asio::buffer(response), error));
        return response;
    }

    void runGateway()
    {
        m_context.restart();
        m_context.run_for(Milliseconds(10));
    }

    /** Ends the tasks of the gateway, which refer to it. */
    void end(std::vector<asio::ip::tcp::socket> &callers)
    {
        callers.clear();
        while (m_gateway.activity().openConnectionCount > 0)
            runGateway();
    }

    asio::io_context m_context;
    Metrics m_metrics;
    Random m_random{1};
    NewestConfiguration m_configuration;
    RefusingSource m_placements;
    UnguardedRuns m_runGuard;
    GatewayServer<NativeFrontEnd, RefusingSource, UnguardedRuns> m_gateway{
            m_context.get_executor(),
            anyLoopbackAddress,
            {HostId(1), m_metrics, m_random, nullptr, smallMachine},
            NativeFrontEnd(m_configuration),
            m_placements,
            m_runGuard};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShortMemoryTest);
