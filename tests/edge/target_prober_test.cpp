#include "endivedock/edge.h"

#include "../scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::ConnectionEnd;
using endivedock::testing::ScriptedResponse;
using endivedock::testing::ScriptedServer;

namespace {

ProbeResult parseStatus(const ResponseHead &response)
{
    ProbeResult result;
    result.isHealthy = response.status == 200;
    return result;
}

/** @return whether a probe of a target that sends @p response finds it healthy */
bool isFoundHealthy(ScriptedResponse response)
{
    asio::io_context context;
    ScriptedServer target(context, {std::move(response)});
    std::optional<bool> isHealthy;
    TargetProber prober(context.get_executor(), &parseStatus,
                        [&](const ServiceId &, const TargetId &,
                            const std::variant<ProbeResult, ProbeFailure> &outcome) {
                            const auto *result = std::get_if<ProbeResult>(&outcome);
                            isHealthy = result != nullptr && result->isHealthy;
                        });
    prober.startProbe(ServiceId("s"), {TargetId("t"), target.address()}, "/healthz");
    while (!isHealthy)
        context.run_one();
    context.run_for(Milliseconds(50));
    return *isHealthy;
}

} // namespace

/** Broken responses to probes are evidence against their target. */
class TargetProberTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetProberTest);
    CPPUNIT_TEST(brokenResponsesDoNotShowHealth);
    CPPUNIT_TEST(soundResponsesShowHealth);
    CPPUNIT_TEST_SUITE_END();

public:
    void brokenResponsesDoNotShowHealth()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::string inner = ok + "Content-Length: 0\r\n\r\n";
        const std::vector<ScriptedResponse> responses{
                {{"HTTP/1.1 000 X\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n" +
                  inner}},
                {{ok + "Bad Name: x\r\nContent-Length: 0\r\n\r\n"}},
                {{ok + "Name: x\r\n Folded: x\r\nContent-Length: 0\r\n\r\n"}},
                {{ok + "Content-Length: 4\r\n\r\n", "x"}, ConnectionEnd::CloseSending},
                {{ok + "\r\n", "x"}, ConnectionEnd::Reset}};
        for (const auto &response : responses)
            CPPUNIT_ASSERT_MESSAGE(response.pieces.front(), !isFoundHealthy(response));
    }

    void soundResponsesShowHealth()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        CPPUNIT_ASSERT(isFoundHealthy({{ok + "Content-Length: 0\r\n\r\n"}}));
        CPPUNIT_ASSERT(isFoundHealthy(
                {{"HTTP/1.1 103 X\r\n\r\n" + ok + "\r\n", "x"}, ConnectionEnd::CloseSending}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetProberTest);
