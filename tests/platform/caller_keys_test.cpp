#include "endivedock/platform.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

constexpr std::string_view configurationText = R"({"version": "r3", "resources": [
    {"resource_type": "routes", "metadata": {"name": "r1"}, "spec": {"host": "h.example",
     "prefix": "/a/", "kind": "safe", "timeout_ms": 800, "priority": 2, "service": "s1"}},
    {"resource_type": "routes", "metadata": {"name": "r2"}, "spec": {"host": "h.example",
     "prefix": "/open/", "kind": "safe", "timeout_ms": 800, "service": "s1", "public": true}},
    {"resource_type": "services", "metadata": {"name": "s1"}, "spec": {}},
    {"resource_type": "tenants", "metadata": {"name": "blue"},
     "spec": {"api_keys": ["k1", "k2"], "priority": 1}},
    {"resource_type": "tenants", "metadata": {"name": "red"}, "spec": {"api_keys": ["k3"]}}]})";

RequestHead makeHead(const std::string &path, HeaderFields fields)
{
    RequestHead head;
    head.method = "GET";
    head.path = path;
    head.fields = std::move(fields);
    head.fields.push_back({"Host", "h.example"});
    return head;
}

} // namespace

class CallerKeysTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerKeysTest);
    CPPUNIT_TEST(aKeyNamesItsTeam);
    CPPUNIT_TEST(requestsWithoutAKeyInForceAreRefused);
    CPPUNIT_TEST(publicRoutesNeedNoKey);
    CPPUNIT_TEST(theTargetLearnsTheTeamAndNotTheKey);
    CPPUNIT_TEST(theRankOfTheTeamGoesBeforeThatOfTheRoute);
    CPPUNIT_TEST(staleKeysAreRefusedAsNotRun);
    CPPUNIT_TEST(staleKeysNameNoTeamOnPublicRoutes);
    CPPUNIT_TEST(malformedTeamsInvalidateTheConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { configure(std::string(configurationText)); }

    void aKeyNamesItsTeam()
    {
        for (const std::string text : {"Bearer k1", "bearer k2", "BEARER  k1"})
            CPPUNIT_ASSERT(std::get<RequestPlan>(plan("/a/x", {{"authorization", text}})).team ==
                           TeamId("blue"));
        CPPUNIT_ASSERT(std::get<RequestPlan>(plan("/a/x", {{"Authorization", "Bearer k3"}})).team ==
                       TeamId("red"));
    }

    void requestsWithoutAKeyInForceAreRefused()
    {
        const std::vector<HeaderFields> unknown{
                {},
                {{"Authorization", "Bearer k4"}},
                {{"Authorization", "Bearer k1 "}},
                {{"Authorization", "Bearer"}},
                {{"Authorization", "Bearerk1"}},
                {{"Authorization", "Basic k1"}},
                {{"Authorization", "k1"}},
                {{"Tenant-Id", "blue"}},
                {{"Authorization", "Bearer k1"}, {"Authorization", "Bearer k3"}}};
        for (const auto &fields : unknown) {
            const auto planned = plan("/a/x", fields);
            CPPUNIT_ASSERT(std::get<Refusal>(planned).reason == RefusalReason::Unauthenticated);
            const RefusalResponse response =
                    m_front.formatRefusal(std::get<Refusal>(planned), makeHead("/a/x", {}), {});
            CPPUNIT_ASSERT_EQUAL(401u, response.head.status);
            CPPUNIT_ASSERT(findField(response.head.fields, "WWW-Authenticate") == "Bearer");
        }
        CPPUNIT_ASSERT(std::get<Refusal>(plan("/none/", {{"Authorization", "Bearer k1"}})).reason ==
                       RefusalReason::UnknownService);
    }

    void publicRoutesNeedNoKey()
    {
        CPPUNIT_ASSERT(std::get<RequestPlan>(plan("/open/x", {})).team == TeamId());
        CPPUNIT_ASSERT(
                std::get<RequestPlan>(plan("/open/x", {{"Authorization", "Bearer no"}})).team ==
                TeamId());
    }

    void theTargetLearnsTheTeamAndNotTheKey()
    {
        const HeaderFields sent{
                {"Authorization", "Bearer k3"}, {"TENANT-ID", "blue"}, {"X-Other", "1"}};
        for (const std::string path : {"/a/x", "/open/x"}) {
            HeaderFields fields = sent;
            const auto planned = plan(path, sent);
            m_front.setRequestFields(fields, std::get<RequestPlan>(planned),
                                     {TargetId("i-1"), 0, Milliseconds(250)}, RequestId(1));
            CPPUNIT_ASSERT(!findField(fields, "Authorization"));
            CPPUNIT_ASSERT(findField(fields, "Tenant-Id") == "red");
            CPPUNIT_ASSERT(findField(fields, "X-Other") == "1");
        }
        HeaderFields forged{{"Tenant-Id", "blue"}};
        const auto planned = plan("/open/x", forged);
        m_front.setRequestFields(forged, std::get<RequestPlan>(planned),
                                 {TargetId("i-1"), 0, Milliseconds(250)}, RequestId(1));
        CPPUNIT_ASSERT(!findField(forged, "Tenant-Id"));
    }

    void theRankOfTheTeamGoesBeforeThatOfTheRoute()
    {
        const auto priority = [this](const std::string &path, const std::string &key) {
            return std::get<RequestPlan>(plan(path, {{"Authorization", "Bearer " + key}})).priority;
        };
        CPPUNIT_ASSERT(priority("/open/x", "k1") > priority("/a/x", "k1"));
        CPPUNIT_ASSERT_EQUAL(-2, priority("/a/x", "k3"));
        CPPUNIT_ASSERT(priorityOf(0, 9) > priorityOf(1, 0));
        CPPUNIT_ASSERT(priorityOf(100, 100) >= -128);
    }

    void staleKeysAreRefusedAsNotRun()
    {
        s_bootNow += Milliseconds(4499);
        CPPUNIT_ASSERT(std::holds_alternative<RequestPlan>(
                plan("/a/x", {{"Authorization", "Bearer k1"}})));
        s_bootNow += Milliseconds(1);
        // A key that is unknown here may be in the configuration that this host has missed.
        for (const std::string key : {"k1", "k4"}) {
            const auto planned = plan("/a/x", {{"Authorization", "Bearer " + key}});
            const Refusal refusal = std::get<Refusal>(planned);
            CPPUNIT_ASSERT(refusal.reason == RefusalReason::StaleConfiguration);
            CPPUNIT_ASSERT(refusal.certainty == RunCertainty::NotRun);
            const RefusalResponse response =
                    m_front.formatRefusal(refusal, makeHead("/a/x", {}), {});
            CPPUNIT_ASSERT_EQUAL(503u, response.head.status);
            CPPUNIT_ASSERT(findField(response.head.fields, "Retry-After"));
        }
        m_freshness.recordEvidence({m_registry.configurationVersion(), s_bootNow});
        CPPUNIT_ASSERT(std::holds_alternative<RequestPlan>(
                plan("/a/x", {{"Authorization", "Bearer k1"}})));
    }

    void staleKeysNameNoTeamOnPublicRoutes()
    {
        s_bootNow += Milliseconds(4500);
        const auto planned = plan("/open/x", {{"Authorization", "Bearer k1"}});
        CPPUNIT_ASSERT(std::get<RequestPlan>(planned).team == TeamId());
    }

    void malformedTeamsInvalidateTheConfiguration()
    {
        for (const std::string spec :
             {R"({"api_keys": "k1"})", R"({"api_keys": [1]})", R"({"api_keys": [""]})",
              R"({"api_keys": ["k1"], "priority": -1})", R"({})"}) {
            std::string text(configurationText);
            const std::string teamSpec = R"({"api_keys": ["k3"]})";
            text.replace(text.find(teamSpec), teamSpec.size(), spec);
            CPPUNIT_ASSERT_THROW_MESSAGE(
                    spec, Platform::parseRecord({"op/config", text, Revision(1)}), RegistryError);
        }
    }

private:
    void configure(std::string text)
    {
        StoreChanges changes;
        changes.revision = Revision(1);
        changes.changes.push_back({"op/config", std::move(text), Revision(1)});
        m_registry.applyChanges(changes, m_now);
        m_freshness.setAppliedConfiguration(m_registry.configurationVersion());
        m_freshness.recordEvidence({m_registry.configurationVersion(), s_bootNow});
    }

    std::variant<RequestPlan, Refusal> plan(const std::string &path, HeaderFields fields)
    {
        return m_front.plan(makeHead(path, std::move(fields)), m_now);
    }

    TimePoint m_now{Seconds(1000)};
    Registry m_registry{&Platform::parseRecord};
    WeightedRoundRobin m_roundRobin;
    static inline BootTime s_bootNow{Seconds(1000)};
    ConfigurationFreshness m_freshness{Milliseconds(5000)};
    PlatformFrontEnd m_front{{m_registry, m_roundRobin, m_freshness, [] { return s_bootNow; }}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerKeysTest);
