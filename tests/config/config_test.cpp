#include "endivedock/config.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

const std::string archiveTemplate = R"({"template":"archive","slots":4,"routes":[
    {"method":"POST","path":"/acceptances","idempotent":false,"keyRequired":true}]})";
const std::string bergvik = R"({"tenant":"bergvik","zones":["a","b"],
    "services":[{"service":"quotes","template":"archive","queueLimit":7}]})";

ConfigurationSnapshot copyAt(std::int64_t revision, std::string teamText = bergvik)
{
    return {Revision(revision),
            {{templateKey(TemplateId("archive")), archiveTemplate},
             {teamParametersKey(TeamId("bergvik")), std::move(teamText)},
             {zoneKey(TeamId("bergvik"), ZoneId("b")), formatZoneState(true)}}};
}

std::string errorOf(const std::string &text)
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
    CPPUNIT_TEST(resolvesServices);
    CPPUNIT_TEST(namesThePointerOfBadInput);
    CPPUNIT_TEST(neverReverts);
    CPPUNIT_TEST(keepsTheLastValidCopy);
    CPPUNIT_TEST(readsBackItsOwnMoves);
    CPPUNIT_TEST_SUITE_END();

public:
    void resolvesServices()
    {
        const Declarations declarations = parseDeclarations(copyAt(5));
        const Service *service = declarations.find(ServiceId("bergvik/quotes"));
        CPPUNIT_ASSERT(service != nullptr);
        CPPUNIT_ASSERT_EQUAL(7, service->settings.queueLimit);
        CPPUNIT_ASSERT(service->evacuatedZones.contains(ZoneId("b")));
        CPPUNIT_ASSERT(!service->ruleFor("POST", "/acceptances/1").idempotent);
        CPPUNIT_ASSERT(service->ruleFor("GET", "/acceptances/1").idempotent);
    }

    void namesThePointerOfBadInput()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("t.json: /slots: expected an integer from 1 to 1024"),
                             errorOf(R"({"template":"x","slots":"4"})"));
        CPPUNIT_ASSERT(errorOf(R"({"template":"x","slots":4,"slot":1})")
                               .starts_with("t.json: /slot: expected no such field"));
        CPPUNIT_ASSERT(errorOf(R"({"template":"x","slots":4,"routes":[{"path":"a"}]})")
                               .starts_with("t.json: /routes/0/path: expected a path"));
        CPPUNIT_ASSERT(errorOf("{").starts_with("t.json: /: expected one JSON value"));
    }

    void neverReverts()
    {
        NewestConfiguration newest;
        CPPUNIT_ASSERT(newest.applyIfNewer(copyAt(5)) == ApplyOutcome::Accepted);
        CPPUNIT_ASSERT(newest.applyIfNewer(copyAt(4)) == ApplyOutcome::Stale);
        CPPUNIT_ASSERT(newest.applyIfNewer(copyAt(5)) == ApplyOutcome::Stale);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, newest.revision().value());
        CPPUNIT_ASSERT(newest.applyIfNewer(copyAt(6)) == ApplyOutcome::Accepted);
    }

    void keepsTheLastValidCopy()
    {
        NewestConfiguration newest;
        newest.applyIfNewer(copyAt(5));
        const std::string unknownTemplate = R"({"tenant":"bergvik","zones":["a"],
            "services":[{"service":"quotes","template":"none"}]})";
        CPPUNIT_ASSERT(newest.applyIfNewer(copyAt(6, unknownTemplate)) == ApplyOutcome::Invalid);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, newest.revision().value());
        CPPUNIT_ASSERT(newest.lastError().find("none") != std::string::npos);
        CPPUNIT_ASSERT(newest.applyIfNewer(copyAt(7)) == ApplyOutcome::Accepted);
    }

    void readsBackItsOwnMoves()
    {
        const Rollout move{ServiceId("bergvik/quotes"),
                           42,
                           VersionId("v1"),
                           VersionId("v2"),
                           1000,
                           Milliseconds(5000),
                           RolloutState::RolledBack};
        const auto value = parseJson(formatRollout(move), "move");
        const Rollout read = parseRollout(JsonNode(value, "move"));
        CPPUNIT_ASSERT(read.service == move.service);
        CPPUNIT_ASSERT(read.number == move.number);
        CPPUNIT_ASSERT(read.state == RolloutState::RolledBack);
        CPPUNIT_ASSERT(read.deadline == move.deadline);
        CPPUNIT_ASSERT_EQUAL(move.cause, read.cause);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTest);
