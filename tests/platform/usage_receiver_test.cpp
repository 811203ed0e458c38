#include "endivedock/platform.h"

#include "../net_support.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace endivedock;
using endivedock::testing::runTask;

namespace {

std::string settingsWith(const std::string &cloud)
{
    return R"({"node_name": "e1", "zone": "a", "ip": "10.1.0.15",
        "listen": {"front": "10.1.0.15:8641", "ready": "10.1.0.15:8640"},
        "internal_port_range": [7620, 7635],
        "bounds": ["lease_ms=2000", "report_window_s=4", "usage_late_s=7.5"],
        "provider": {"address": "10.200.1.7:8642"})" +
           cloud + "}";
}

constexpr const char *duty =
        R"(, "cloud": {"address": "10.200.0.164:8166", "duties": ["other", "usage_reporting"]})";

} // namespace

class UsageReceiverTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageReceiverTest);
    CPPUNIT_TEST(settingsNameTheDuty);
    CPPUNIT_TEST(deploymentsWithoutTheDutyReportNothing);
    CPPUNIT_TEST(reportsAreSentWithHolderAndToken);
    CPPUNIT_TEST(answersAreToldApart);
    CPPUNIT_TEST(noAnswerIsUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void settingsNameTheDuty()
    {
        const auto usage = parsePlatformSettings(settingsWith(duty)).usage;
        CPPUNIT_ASSERT(usage && usage->receiver == (Address{"10.200.0.164", 8166}));
        CPPUNIT_ASSERT(usage->lease == Milliseconds(2000));
        CPPUNIT_ASSERT(usage->windowLength == Milliseconds(4000));
        CPPUNIT_ASSERT(usage->lateAfter == Milliseconds(7500));
    }

    void deploymentsWithoutTheDutyReportNothing()
    {
        for (const std::string cloud :
             {R"()", R"(, "cloud": null)", R"(, "cloud": {"address": "10.200.0.164:8166"})",
              R"(, "cloud": {"address": "10.200.0.164:8166", "duties": ["other"]})"})
            CPPUNIT_ASSERT(!parsePlatformSettings(settingsWith(cloud)).usage);
        CPPUNIT_ASSERT_THROW(parsePlatformSettings(
                                     settingsWith(R"(, "cloud": {"duties": ["usage_reporting"]})")),
                             PlatformSettingsError);
    }

    void reportsAreSentWithHolderAndToken()
    {
        const auto [request, answer] = report("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(answer == UsageAnswer::Accepted);
        for (const std::string_view part :
             {"POST /usage HTTP/1.1\r\n", "Lease-Holder: edge-1\r\n",
              "Fencing-Token: 1819142155511448\r\n", "Content-Type: application/json\r\n",
              R"({"window":355301204,"counts":{"alder":412,"birch":3}})"})
            CPPUNIT_ASSERT_MESSAGE(request, request.find(part) != std::string::npos);
    }

    void answersAreToldApart()
    {
        const auto answerTo = [&](const std::string &status) {
            return report("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n").second;
        };
        CPPUNIT_ASSERT(answerTo("409") == UsageAnswer::Fenced);
        CPPUNIT_ASSERT(answerTo("429") == UsageAnswer::Throttled);
        CPPUNIT_ASSERT(answerTo("503") == UsageAnswer::Unknown);
    }

    void noAnswerIsUnknown() { CPPUNIT_ASSERT(report("").second == UsageAnswer::Unknown); }

private:
    /** @return the request as it was sent, and what its answer was taken for */
    static std::pair<std::string, UsageAnswer> report(const std::string &response)
    {
        using Tcp = asio::ip::tcp;
        asio::io_context context;
        Tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        std::string request;
        const auto serve = [&]() -> Task<> {
            Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "}}",
                                            asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
        };
        asio::co_spawn(context, serve(), asio::detached);
        PlatformUsageReceiver receiver(context.get_executor(),
                                       {"127.0.0.1", acceptor.local_endpoint().port()});
        UsageAnswer answer = UsageAnswer::Unknown;
        const auto call = [&]() -> Task<> {
            const UsageReport report{UsageWindow(355301204),
                                     FencingToken(1819142155511448),
                                     {{TeamId("birch"), 3}, {TeamId("alder"), 412}}};
            answer = co_await receiver.report("edge-1", report, Milliseconds(1000));
        };
        runTask(context, call());
        return {request, answer};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageReceiverTest);
