#include "endivedock/edge.h"

#include "../malformed_input.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

const PeerHeader header{HostId(1), Incarnation(2), 3, HostId(4)};
const AttemptId attempt{HostId(1), RequestId(2), 3};
const ServiceId service("quotes");
const TargetId target("t1");
const RolloutProgress progress{5, RolloutPhase::Ramping, 2, RollbackCause::None};

SharedServiceTimes makeServiceTimes()
{
    return {{Microseconds(900), 3}, {{ProfileKey(7), {Microseconds(800), 2}}}};
}

std::vector<EdgeMessage> makeLoadMessages()
{
    TargetLoad load;
    load.target = TargetHash(77);
    load.inFlight = 3;
    load.slowdown = 120;
    load.age = Milliseconds(40);
    ServiceLoadReport report{service, {load, load}, {RolloutSample{}, RolloutSample{}}, progress};
    AggregatedServiceLoad aggregated;
    aggregated.service = service;
    aggregated.targets = {load};
    aggregated.rollout = progress;
    aggregated.serviceTimes = makeServiceTimes();
    return {HostLoadReport{{report, report}}, AggregatedLoad{{aggregated, aggregated}}};
}

std::vector<EdgeMessage> makeRegistryMessages()
{
    RegistryDelta delta{Revision(3), Revision(9), {}, false, Milliseconds(250)};
    delta.entries = {{"servers/t1", "{\"address\":\"10.0.0.1:80\"}", Revision(8)},
                     {"op/evacuate/a", std::nullopt, Revision(9)}};
    return {RegistryNotice{Revision(9), true, Milliseconds(30)}, RegistryRequest{Revision(3)},
            delta};
}

std::vector<EdgeMessage> makePlacementMessages()
{
    PlacementRequest request;
    request.attempt = attempt;
    request.service = service;
    request.remaining = Milliseconds(800);
    request.excludedTargets = {target, TargetId("t2")};
    request.closedTargets = {target};
    request.zone = ZoneId("a");
    request.body = Bytes(1000);
    request.connectedTargets = {AddressHash(5), AddressHash(6)};
    AttemptReport report;
    report.attempt = attempt;
    report.service = service;
    report.target = target;
    report.outcome = AttemptOutcome::Answered;
    report.time = Microseconds(1200);
    report.incarnation = Incarnation(9);
    report.reportedInFlight = Slots(2);
    report.load = ReportedLoad{Slots(1), Slots(0), Slots(4), 1.5};
    report.pause = Milliseconds(300);
    const Refusal refusal{RefusalReason::QueueFull, RunCertainty::NotRun, Milliseconds(500)};
    return {request,
            PlacementAnswer{attempt, service, 1, Placement{GrantId(8), target, true}},
            PlacementAnswer{attempt, service, 1, refusal},
            PlacementAnswer{attempt, service, 1, PlacementQueued{}},
            report,
            PlacementCancel{attempt, service}};
}

std::vector<EdgeMessage> makeTargetMessages()
{
    const CrashReport crash{target, ZoneId("a"), Microseconds(5000), Microseconds(90)};
    const CrashRecord record{Fingerprint(4), {crash, crash}, Milliseconds(7), Milliseconds(8)};
    const TargetProcess process{target, {"10.0.0.1", 80}, 1'700'000'000'000};
    const UsageCounts counts{HostId(1),
                             Incarnation(2),
                             UsageWindow(355301204),
                             {{TeamId("alder"), 412}, {TeamId("birch"), 3}}};
    return {CrashRecords{{record}}, DrainingNotice{service, {{process, Milliseconds(20)}}}, counts,
            FreshnessQuestion{FreshnessQuestionId(11)},
            FreshnessAnswer{FreshnessQuestionId(11), ConfigurationVersion(3), Milliseconds(40)}};
}

std::vector<std::string> makeValidMessages()
{
    std::vector<std::string> result;
    for (const auto &messages : {makeLoadMessages(), makeRegistryMessages(),
                                 makePlacementMessages(), makeTargetMessages()}) {
        for (const auto &message : messages)
            result.push_back(EdgeCodec::encode(header, message));
    }
    return result;
}

struct Decoded
{
    PeerHeader header;
    EdgeMessage message;
};

Decoded decode(const std::string &text)
{
    Decoded decoded;
    decoded.message = EdgeCodec::decode(text, decoded.header);
    return decoded;
}

} // namespace

class MalformedMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MalformedMessagesTest);
    CPPUNIT_TEST(malformedMessagesAreRefused);
    CPPUNIT_TEST(acceptedMessagesEncodeToTheirText);
    CPPUNIT_TEST_SUITE_END();

public:
    void malformedMessagesAreRefused()
    {
        const auto counts = testing::decodeMutated<MessageError>(
                testing::Mutator(makeValidMessages(), 1), 40'000, decode,
                [](const std::string &, const Decoded &) {});
        testing::requireBothOutcomes(counts);
    }

    /** So values out of range, and bytes that are left over, are refused as well. */
    void acceptedMessagesEncodeToTheirText()
    {
        testing::decodeMutated<MessageError>(
                testing::Mutator(makeValidMessages(), 2), 40'000, decode,
                [](const std::string &text, const Decoded &decoded) {
                    const std::string encoded = EdgeCodec::encode(decoded.header, decoded.message);
                    // The first byte is the byte order of the sender, which may be another one.
                    if (text.front() == encoded.front())
                        CPPUNIT_ASSERT_EQUAL(testing::printable(text), testing::printable(encoded));
                    checkRanges(decoded.message);
                });
    }

private:
    static void checkRanges(const EdgeMessage &message)
    {
        if (const auto *answer = std::get_if<PlacementAnswer>(&message)) {
            if (const auto *refusal = std::get_if<Refusal>(&answer->outcome)) {
                CPPUNIT_ASSERT(!describe(refusal->reason).name.empty());
                CPPUNIT_ASSERT(refusal->certainty == RunCertainty::NotRun ||
                               refusal->certainty == RunCertainty::MayHaveRun);
            }
        }
        if (const auto *report = std::get_if<HostLoadReport>(&message)) {
            for (const auto &load : report->services)
                checkRange(load.rollout);
        }
        if (const auto *aggregated = std::get_if<AggregatedLoad>(&message)) {
            for (const auto &load : aggregated->services)
                checkRange(load.rollout);
        }
    }

    static void checkRange(const std::optional<RolloutProgress> &rollout)
    {
        if (!rollout)
            return;
        CPPUNIT_ASSERT(rollout->phase >= RolloutPhase::Canary &&
                       rollout->phase <= RolloutPhase::RolledBack);
        CPPUNIT_ASSERT(rollout->cause >= RollbackCause::None &&
                       rollout->cause <= RollbackCause::Operator);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedMessagesTest);
