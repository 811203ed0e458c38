#include "endivedock/config.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

const std::string archiveTemplate = R"({"template":"archive","slots":4,"routes":[
    {"method":"POST","path":"/acceptances","idempotent":false,"keyRequired":true}]})";
const std::string bergvik = R"({"tenant":"bergvik","zones":["a","b"],
    "services":[{"service":"quotes","template":"archive","queueLimit":7}]})";

ConfigurationCopy copyAt(std::int64_t revision, std::string tenantText = bergvik)
{
    return {Revision(revision),
            {{templateKey(TemplateId("archive")), archiveTemplate},
             {parametersKey(TenantId("bergvik")), std::move(tenantText)},
             {zoneKey(TenantId("bergvik"), ZoneId("b")), formatZone(true)}}};
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
        CPPUNIT_ASSERT(service->zonesOut.contains(ZoneId("b")));
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
        CPPUNIT_ASSERT(newest.offer(copyAt(5)) == OfferOutcome::Accepted);
        CPPUNIT_ASSERT(newest.offer(copyAt(4)) == OfferOutcome::Stale);
        CPPUNIT_ASSERT(newest.offer(copyAt(5)) == OfferOutcome::Stale);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, newest.revision().value());
        CPPUNIT_ASSERT(newest.offer(copyAt(6)) == OfferOutcome::Accepted);
    }

    void keepsTheLastValidCopy()
    {
        NewestConfiguration newest;
        newest.offer(copyAt(5));
        const std::string unknownTemplate = R"({"tenant":"bergvik","zones":["a"],
            "services":[{"service":"quotes","template":"none"}]})";
        CPPUNIT_ASSERT(newest.offer(copyAt(6, unknownTemplate)) == OfferOutcome::Invalid);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, newest.revision().value());
        CPPUNIT_ASSERT(newest.lastError().find("none") != std::string::npos);
        CPPUNIT_ASSERT(newest.offer(copyAt(7)) == OfferOutcome::Accepted);
    }

    void readsBackItsOwnMoves()
    {
        const VersionMove move{ServiceId("bergvik/quotes"),
                               42,
                               VersionId("v1"),
                               VersionId("v2"),
                               1000,
                               Milliseconds(5000),
                               MoveState::TakenBack};
        const auto value = parseJson(formatMove(move), "move");
        const VersionMove read = parseMove(JsonNode(value, "move"));
        CPPUNIT_ASSERT(read.service == move.service);
        CPPUNIT_ASSERT(read.number == move.number);
        CPPUNIT_ASSERT(read.state == MoveState::TakenBack);
        CPPUNIT_ASSERT(read.deadline == move.deadline);
        CPPUNIT_ASSERT_EQUAL(move.cause, read.cause);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTest);
