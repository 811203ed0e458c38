#include "endivedock/host.h"

#include "../../src/host/peer_message.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

PeerMessage makeGossipMessage()
{
    MemberState state;
    state.id = HostId(7);
    state.region = RegionId("north");
    state.zone = ZoneId("a");
    state.address = {"127.0.0.1", 7000};
    state.incarnation = Incarnation(11);
    state.version = 12;
    state.heartbeatCounter = 13;
    state.leaving = true;
    state.configuration = Revision(14);
    state.view = ViewNumber(15);
    state.activeView = ViewNumber(16);
    state.heldShards = 17;
    return GossipMessage{{state, state}, {{HostId(7), Incarnation(11), 13}}};
}

PeerMessage makeReport()
{
    AttemptReport report;
    report.attempt = {HostId(1), RequestId(2), 3};
    report.service = ServiceId("bergvik/quotes");
    report.incarnation = Incarnation(9);
    report.time = Microseconds(1234);
    return report;
}

const std::string validSettings = R"({"host":1,"region":"n","zone":"a","listen":"127.0.0.1:1",
    "admin":"127.0.0.1:2","peer":"127.0.0.1:3","store":["127.0.0.1:4"],"directory":"127.0.0.1:5",
    "peerKeys":["0000000000000000000000000000000000000000000000000000000000000000"]})";

std::string settingsError(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    try {
        parseHostSettings(text, "s.json");
    } catch (const SettingsError &error) {
        return error.what();
    }
    return "";
}

} // namespace

class HostTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostTest);
    CPPUNIT_TEST(messagesRoundTripThroughCodec);
    CPPUNIT_TEST(malformedMessagesAreRefused);
    CPPUNIT_TEST(invalidSettingsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesRoundTripThroughCodec()
    {
        const PeerHeader header{HostId(1), Incarnation(2), 3, HostId(4)};
        PeerHeader read;
        const PeerMessage gossip =
                PeerCodec::decode(PeerCodec::encode(header, makeGossipMessage()), read);
        CPPUNIT_ASSERT(read.sender == HostId(1) && read.receiver == HostId(4));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, read.sequence);
        const auto &members = std::get<GossipMessage>(gossip).members;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, members.size());
        const MemberState &state = members[1];
        CPPUNIT_ASSERT(state.zone == ZoneId("a") && state.address.port == 7000);
        CPPUNIT_ASSERT(state.incarnation == Incarnation(11));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{12}, state.version);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{13}, state.heartbeatCounter);
        CPPUNIT_ASSERT(state.leaving && state.configuration == Revision(14));
        CPPUNIT_ASSERT(state.view == ViewNumber(15) && state.activeView == ViewNumber(16));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, state.heldShards);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{13},
                             std::get<GossipMessage>(gossip).heartbeats.at(0).heartbeatCounter);
        const PeerMessage message =
                PeerCodec::decode(PeerCodec::encode(header, makeReport()), read);
        const auto &report = std::get<AttemptReport>(message);
        CPPUNIT_ASSERT(report.incarnation == Incarnation(9));
        CPPUNIT_ASSERT(!report.reportedInFlight);
        CPPUNIT_ASSERT(report.time == Microseconds(1234));
    }

    /** Truncated and altered messages decode or throw MessageError; nothing else may happen. */
    void malformedMessagesAreRefused()
    {
        Random random(5);
        const PeerHeader header{HostId(1), Incarnation(2), 3, HostId(4)};
        int refusedCount = 0;
        for (const auto &message : {makeGossipMessage(), makeReport()}) {
            const std::string encoded = PeerCodec::encode(header, message);
            for (int i = 0; i < 20'000; ++i) {
                std::string text = encoded.substr(0, 1 + drawBelow(random, encoded.size()));
                for (std::uint64_t changes = drawBelow(random, 4); changes > 0; --changes)
                    text[drawBelow(random, text.size())] =
                            static_cast<char>(drawBelow(random, 256));
                PeerHeader read;
                try {
                    PeerCodec::decode(text, read);
                } catch (const MessageError &) {
                    ++refusedCount;
                }
            }
        }
        CPPUNIT_ASSERT(refusedCount > 20'000);
    }

    void invalidSettingsAreRefused()
    {
        CPPUNIT_ASSERT(parseHostSettings(validSettings, "s.json").id == HostId(1));
        CPPUNIT_ASSERT_EQUAL(std::string("s.json: /listen: expected an IP address with a port, "
                                         "such as 127.0.0.1:80"),
                             settingsError(validSettings, "127.0.0.1:1\"", "example:1\""));
        CPPUNIT_ASSERT(settingsError(validSettings, "\"host\":1", "\"host\":0")
                               .starts_with("s.json: /host: expected an integer from 1"));
        CPPUNIT_ASSERT(settingsError(validSettings, "\"zone\"", "\"zome\"")
                               .starts_with("s.json: /zome: expected no such field"));
        const std::string keyError = settingsError(validSettings, "[\"00", "[\"0x");
        CPPUNIT_ASSERT(keyError.starts_with("s.json: /peerKeys/0: expected 64 lower-case"));
        // The message must not show the key itself.
        CPPUNIT_ASSERT(keyError.find("0x00") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostTest);
