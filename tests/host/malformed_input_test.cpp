#include "endivedock/host.h"

#include "../../src/host/peer_message.h"
#include "../malformed_input.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

const PeerHeader header{HostId(1), Incarnation(2), 3, HostId(4)};
const AttemptId attempt{HostId(1), RequestId(2), 3};
const ServiceId service("bergvik/quotes");
const TargetId target("t1");
const ClaimId claim{HostId(1), RequestId(2)};
const IdempotencyKeyHash key(99);

View makeView()
{
    const ViewMember member{
            HostId(1), RegionId("n"), ZoneId("a"), {"10.0.0.1", 80}, Incarnation(5)};
    return {ViewNumber(7), {member, member}, ViewNumber(6), {member}};
}

std::vector<PeerMessage> makeFleetMessages()
{
    MemberState member;
    member.id = HostId(7);
    member.region = RegionId("n");
    member.zone = ZoneId("a");
    member.address = {"127.0.0.1", 7000};
    const ConfigurationSnapshot snapshot{Revision(4), {{"k1", "v1"}, {"k2", "v2"}}};
    return {GossipMessage{{member, member}, {{HostId(7), Incarnation(11), 13}}},
            ConfigurationRequest{Revision(3)},
            ConfigurationUpdate{snapshot, makeView()},
            LeaseRequest{ViewNumber(7), 123, {ShardId(1), ShardId(2)}},
            LeaseAnswer{ViewNumber(7), 123, {ShardId(1)}},
            LeaseRelease{{ShardId(1)}},
            HolderSnapshot{service,
                           {{target, Incarnation(3)}},
                           RolloutProgress{5, RolloutPhase::Ramping, 2, RollbackCause::None}}};
}

std::vector<PeerMessage> makePlacementMessages()
{
    PlacementRequest request;
    request.attempt = attempt;
    request.service = service;
    request.excludedTargets = {target};
    request.connectedTargets = {AddressHash(5)};
    AttemptReport report;
    report.attempt = attempt;
    report.service = service;
    report.load = ReportedLoad{Slots(1), Slots(0), Slots(4), 1.5};
    const Refusal refusal{RefusalReason::QueueFull, RunCertainty::NotRun, Milliseconds(500)};
    const InFlightAttempt inFlight{attempt,        GrantId(8), target,
                                   Fingerprint(4), 1,          Milliseconds(70)};
    return {request,
            PlacementAnswer{attempt, service, 1, Placement{GrantId(8), target, true}},
            PlacementAnswer{attempt, service, 1, refusal},
            PlacementCancel{attempt, service},
            report,
            AttemptReportAck{attempt, service},
            InFlightQuery{service},
            InFlightList{HostId(1), service, {inFlight, inFlight}}};
}

std::vector<PeerMessage> makeClaimMessages()
{
    const RunRecord record{key, claim, RunState::Answered, Milliseconds(60)};
    return {ClaimRequest{ViewNumber(7), key, claim},
            ClaimAnswer{key,
                        claim,
                        ClaimResult::Taken,
                        RunState::Claimed,
                        ViewNumber(7),
                        Incarnation(4),
                        {{HostId(2), Incarnation(3)}}},
            ClaimOutcome{key, claim, true, RunState::MayHaveRun},
            RecordSyncRequest{makeView(), {ShardId(1)}},
            RecordSyncAnswer{ViewNumber(7), {{ShardId(1), true, false, {record, record}}}}};
}

std::vector<std::string> makeValidMessages()
{
    std::vector<std::string> result;
    for (const auto &messages :
         {makeFleetMessages(), makePlacementMessages(), makeClaimMessages()}) {
        for (const auto &message : messages)
            result.push_back(PeerCodec::encode(header, message));
    }
    return result;
}

struct Decoded
{
    PeerHeader header;
    PeerMessage message;
};

constexpr std::string_view settingsText =
        R"({"host":1,"region":"n","zone":"a","listen":"127.0.0.1:1","admin":"127.0.0.1:2",
    "peer":"[::1]:3","peers":[{"host":2,"region":"n","zone":"b","address":"127.0.0.2:3"}],
    "store":["127.0.0.1:4"],"directory":"127.0.0.1:5","drainDelayMs":700,"storeTimeoutMs":900,
    "logLevel":"debug","memoryMb":160,"maxDescriptors":4000,
    "peerKeys":["0000000000000000000000000000000000000000000000000000000000000000"]})";

void checkAddress(const Address &address)
{
    CPPUNIT_ASSERT(parseAddress(formatAddress(address)) == address);
}

} // namespace

class MalformedInputTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MalformedInputTest);
    CPPUNIT_TEST(acceptedMessagesEncodeToTheirText);
    CPPUNIT_TEST(malformedSettingsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptedMessagesEncodeToTheirText()
    {
        const auto counts = testing::decodeMutated<MessageError>(
                testing::Mutator(makeValidMessages(), 1), 40'000,
                [](const std::string &text) {
                    Decoded decoded;
                    decoded.message = PeerCodec::decode(text, decoded.header);
                    return decoded;
                },
                [](const std::string &text, const Decoded &decoded) {
                    const std::string encoded = PeerCodec::encode(decoded.header, decoded.message);
                    // The first byte is the byte order of the sender, which may be another one.
                    if (text.front() == encoded.front())
                        CPPUNIT_ASSERT_EQUAL(testing::printable(text), testing::printable(encoded));
                });
        testing::requireBothOutcomes(counts);
    }

    void malformedSettingsAreRefused()
    {
        const auto counts = testing::decodeMutated<SettingsError>(
                testing::Mutator({std::string(settingsText)}, 2), 10'000,
                [](const std::string &text) { return parseHostSettings(text, "s.json"); },
                [](const std::string &, const HostSettings &settings) {
                    CPPUNIT_ASSERT(settings.id > HostId(0) && !settings.store.empty());
                    for (const auto &address : {settings.listen, settings.admin, settings.peer,
                                                settings.directory, settings.store.front()})
                        checkAddress(address);
                    for (const auto &peer : settings.peers)
                        checkAddress(peer.address);
                    CPPUNIT_ASSERT_EQUAL(std::size_t(64), settings.peerKeys.at(0).size());
                    CPPUNIT_ASSERT(settings.drainDelay >= Milliseconds(0));
                    CPPUNIT_ASSERT(settings.drainDelay <= Milliseconds(600'000));
                });
        testing::requireBothOutcomes(counts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedInputTest);
