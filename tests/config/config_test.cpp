#include "endivedock/config.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

const std::string archiveTemplate = R"({"template":"archive","slots":4,"routes":[
    {"method":"POST","path":"/acceptances","idempotent":false,"keyRequired":true}]})";
const std::string bergvikParameters = R"({"tenant":"bergvik","zones":["a","b"],
    "services":[{"service":"quotes","template":"archive","queueLimit":7}]})";

ConfigurationSnapshot snapshotAt(std::int64_t revision,
                                 std::string parametersText = bergvikParameters)
{
    return {Revision(revision),
            {{templateKey(TemplateId("archive")), archiveTemplate},
             {teamParametersKey(TeamId("bergvik")), std::move(parametersText)},
             {zoneKey(TeamId("bergvik"), ZoneId("b")), formatZoneState(true)}}};
}

std::string templateError(const std::string &text)
{
    try {
        const auto value = parseJson(text, "t.json");
        parseTemplate(JsonNode(value, "t.json"));
    } catch (const JsonError &error) {
        return error.what();
    }
    return "";
}

} // namespace

class ConfigTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigTest);
    CPPUNIT_TEST(resolvesServicesWithTemplates);
    CPPUNIT_TEST(errorsNameTheJsonPointer);
    CPPUNIT_TEST(ignoresOlderSnapshots);
    CPPUNIT_TEST(keepsLastValidSnapshot);
    CPPUNIT_TEST(callerKeysAreHeldAsDigests);
    CPPUNIT_TEST(rolloutsRoundTripThroughJson);
    CPPUNIT_TEST_SUITE_END();

public:
    void resolvesServicesWithTemplates()
    {
        const Declarations declarations = parseDeclarations(snapshotAt(5));
        const Service *service = declarations.find(ServiceId("bergvik/quotes"));
        CPPUNIT_ASSERT(service != nullptr);
        CPPUNIT_ASSERT_EQUAL(7, service->settings.queueLimit);
        CPPUNIT_ASSERT(service->evacuatedZones.contains(ZoneId("b")));
        CPPUNIT_ASSERT(!service->ruleFor("POST", "/acceptances/1").isIdempotent);
        CPPUNIT_ASSERT(service->ruleFor("GET", "/acceptances/1").isIdempotent);
    }

    void callerKeysAreHeldAsDigests()
    {
        CPPUNIT_ASSERT(parseDeclarations(snapshotAt(5)).callers.empty());
        const std::string key = callerKeysKey(TeamId("ostra"));
        const auto withKeys = [&](const std::string &value) {
            ConfigurationSnapshot snapshot = snapshotAt(5);
            snapshot.entries.push_back({key, value});
            return parseDeclarations(snapshot);
        };
        const Declarations declarations = withKeys(formatCallerKeys({digestOf("k1")}));
        CPPUNIT_ASSERT(declarations.callers.find("k1")->id == TeamId("ostra"));
        CPPUNIT_ASSERT(declarations.callers.find(digestOf("k1")) == nullptr);
        // A team whose last key was withdrawn keeps its empty list, so requests still need a key.
        CPPUNIT_ASSERT(!withKeys(formatCallerKeys({})).callers.empty());
        for (const std::string value :
             {R"({"digests":["k1"]})", R"({"digests":"k1"})", R"({})", R"({"keys":[]})"})
            CPPUNIT_ASSERT_THROW_MESSAGE(value, withKeys(value), JsonError);
    }

    void errorsNameTheJsonPointer()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("t.json: /slots: expected an integer from 1 to 1024"),
                             templateError(R"({"template":"x","slots":"4"})"));
        CPPUNIT_ASSERT(templateError(R"({"template":"x","slots":4,"slot":1})")
                               .starts_with("t.json: /slot: expected no such field"));
        CPPUNIT_ASSERT(templateError(R"({"template":"x","slots":4,"routes":[{"path":"a"}]})")
                               .starts_with("t.json: /routes/0/path: expected a path"));
        CPPUNIT_ASSERT(templateError("{").starts_with("t.json: /: expected one JSON value"));
    }

    void ignoresOlderSnapshots()
    {
        NewestConfiguration newest;
        CPPUNIT_ASSERT(newest.applyIfNewer(snapshotAt(5)) == ApplyOutcome::Accepted);
        CPPUNIT_ASSERT(newest.applyIfNewer(snapshotAt(4)) == ApplyOutcome::Stale);
        CPPUNIT_ASSERT(newest.applyIfNewer(snapshotAt(5)) == ApplyOutcome::Stale);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, newest.revision().value());
        CPPUNIT_ASSERT(newest.applyIfNewer(snapshotAt(6)) == ApplyOutcome::Accepted);
    }

    void keepsLastValidSnapshot()
    {
        NewestConfiguration newest;
        newest.applyIfNewer(snapshotAt(5));
        const std::string unknownTemplate = R"({"tenant":"bergvik","zones":["a"],
            "services":[{"service":"quotes","template":"none"}]})";
        CPPUNIT_ASSERT(newest.applyIfNewer(snapshotAt(6, unknownTemplate)) ==
                       ApplyOutcome::Invalid);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, newest.revision().value());
        CPPUNIT_ASSERT(newest.lastError().find("none") != std::string::npos);
        CPPUNIT_ASSERT(newest.applyIfNewer(snapshotAt(7)) == ApplyOutcome::Accepted);
    }

    void rolloutsRoundTripThroughJson()
    {
        const Rollout rollout{ServiceId("bergvik/quotes"),
                              42,
                              VersionId("v1"),
                              VersionId("v2"),
                              1000,
                              Milliseconds(5000),
                              RolloutState::RolledBack};
        const auto value = parseJson(formatRollout(rollout), "move");
        const Rollout read = parseRollout(JsonNode(value, "move"));
        CPPUNIT_ASSERT(read.service == rollout.service);
        CPPUNIT_ASSERT(read.number == rollout.number);
        CPPUNIT_ASSERT(read.state == RolloutState::RolledBack);
        CPPUNIT_ASSERT(read.deadline == rollout.deadline);
        CPPUNIT_ASSERT_EQUAL(rollout.cause, read.cause);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTest);
