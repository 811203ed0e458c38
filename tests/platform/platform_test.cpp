#include "endivedock/platform.h"

#include "endivedock/store/etcd_store.h"

#include "../net_support.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace endivedock;
using endivedock::testing::anyLoopbackAddress;
using endivedock::testing::runTask;

namespace {

constexpr std::string_view settingsText = R"({
    "node_name": "edge-a-1", "zone": "a", "ip": "10.1.0.15", "new_field": {"x": 1},
    "listen": {"front": "10.1.0.15:8641", "ready": "10.1.0.15:8640", "control": "10.1.0.15:8649"},
    "internal_port_range": [7620, 7635],
    "seeds": ["10.1.0.15:8649", "10.2.0.42:8649"],
    "bootstrap": true,
    "limits": {"cpu_share": 0.2, "cpu_cores": 2, "memory_mb": 260, "max_fds": 4100},
    "bounds": ["retry_budget_ratio=0.2", "budget_min_retries=62", "grace_s=6", "other"],
    "provider": {"address": "10.200.1.7:8642", "form": "kv"}
})";

constexpr std::string_view configurationText = R"({"version": "r12", "base_version": "r7",
    "resources": [
    {"resource_type": "routes", "metadata": {"name": "r1"}, "spec": {"host": "h.example",
     "prefix": "/a/", "kind": "safe", "timeout_ms": 800, "target_latency_ms": 200, "priority": 2,
     "attempts": 2, "traffic_split": [{"service": "s1", "weight": 90},
                                      {"service": "s2", "weight": 0}]}},
    {"resource_type": "routes", "metadata": {"name": "r2"}, "spec": {"host": "h.example",
     "prefix": "/b/", "kind": "upload", "timeout_ms": 1000, "service": "s2", "attempts": 1}},
    {"resource_type": "services", "metadata": {"name": "s1"}, "spec": {"health_path": "/healthz",
     "max_connections": 260, "warmup_s": 3.0, "warmup_per_s": 18.0}},
    {"resource_type": "limits", "metadata": {}, "spec": {"max_header_bytes": 100,
     "max_body_bytes": 50, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}]})";

RegistryRecord parseRecord(const std::string &key, std::string_view value)
{
    return Platform::parseRecord({key, std::string(value), Revision(5)});
}

RequestHead makeHead(const std::string &path, HeaderFields fields = {})
{
    RequestHead head;
    head.method = "GET";
    head.path = path;
    head.fields = std::move(fields);
    head.fields.push_back({"Host", "h.example"});
    return head;
}

ResponseHead makeResponse(unsigned status, HeaderFields fields)
{
    ResponseHead head;
    head.status = status;
    head.fields = std::move(fields);
    return head;
}

} // namespace

class PlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(readsSettings);
    CPPUNIT_TEST(hedgingFollowsTheRetryBudgetUnlessItIsSet);
    CPPUNIT_TEST(hostsBehindDifferentStoreAddressesShareAConfiguredPeerKey);
    CPPUNIT_TEST(withdrawalsAreBoundedOnlyWhereAskedFor);
    CPPUNIT_TEST(refusesMalformedPeerKeys);
    CPPUNIT_TEST(refusesSettingsWithoutRequiredFields);
    CPPUNIT_TEST(readsConfigurations);
    CPPUNIT_TEST(readsTargets);
    CPPUNIT_TEST(malformedTargetEntriesAreRefused);
    CPPUNIT_TEST(readsRolloutOrdersAndWritesStatuses);
    CPPUNIT_TEST(crashRecordsRoundTrip);
    CPPUNIT_TEST(plansByRoute);
    CPPUNIT_TEST(copiesOnSplitRoutesShareTheirFingerprint);
    CPPUNIT_TEST(refusalStatusMatchesRunCertainty);
    CPPUNIT_TEST(responsesAreMatchedByIdAndSignature);
    CPPUNIT_TEST(readsDrainingState);
    CPPUNIT_TEST(readsPauses);
    CPPUNIT_TEST(readsLoadAndRemainingWarmup);
    CPPUNIT_TEST(storeListsAllPages);
    CPPUNIT_TEST(storeListsAgainWhenRevisionIsCompacted);
    CPPUNIT_TEST(storeListingOfChangingPagesIsConsistent);
    CPPUNIT_TEST(storeListingWithoutLaterChangesIsRefused);
    CPPUNIT_TEST(storeWatchReportsCompactedRevision);
    CPPUNIT_TEST(storeSwapsConditionally);
    CPPUNIT_TEST(storeErrorsAreReported);
    CPPUNIT_TEST(malformedItemsAreProtocolErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { configureLog(LogLevel::Error); }

    void readsSettings()
    {
        const EdgeSettings settings = parsePlatformSettings(settingsText);
        CPPUNIT_ASSERT_EQUAL(std::string("edge-a-1"), settings.name);
        CPPUNIT_ASSERT(settings.peer == (Address{"10.1.0.15", 7620}));
        CPPUNIT_ASSERT(settings.seeds == std::vector{(Address{"10.2.0.42", 7620})});
        CPPUNIT_ASSERT(settings.isSeed && settings.isFleetBootstrap);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, settings.capacity, 1e-9);
        CPPUNIT_ASSERT(settings.machine.memory == Bytes(260 << 20));
        CPPUNIT_ASSERT(settings.machine.descriptors == 4100);
        CPPUNIT_ASSERT(settings.shutdownTimeout == Milliseconds(5500));
        CPPUNIT_ASSERT(settings.balancing.retryBudgetRatio < Share(0.2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(64), settings.peerKey.size());
    }

    void hedgingFollowsTheRetryBudgetUnlessItIsSet()
    {
        const auto shareWith = [](const std::string &from, const std::string &to) {
            std::string text(settingsText);
            text.replace(text.find(from), from.size(), to);
            return parsePlatformSettings(text).balancing.hedgingShare.value();
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05, shareWith("\"other\"", "\"x\""), 1e-9);
        CPPUNIT_ASSERT_EQUAL(0.0, shareWith("\"retry_budget_ratio=0.2\", ", ""));
        const std::string field = "\"bootstrap\": true,";
        CPPUNIT_ASSERT_EQUAL(0.0, shareWith(field, field + "\"hedging_share\": 0,"));
        CPPUNIT_ASSERT_EQUAL(0.02, shareWith(field, field + "\"hedging_share\": 0.02,"));
        for (const std::string value : {"-0.1", "1.5", "\"x\""})
            CPPUNIT_ASSERT_THROW(shareWith(field, field + "\"hedging_share\": " + value + ","),
                                 PlatformSettingsError);
    }

    static std::string settingsWithPeerKey(const std::string &key)
    {
        std::string text(settingsText);
        text.replace(text.find("\"new_field\": {\"x\": 1}"), 21, "\"peer_key\": \"" + key + '"');
        return text;
    }

    void hostsBehindDifferentStoreAddressesShareAConfiguredPeerKey()
    {
        const std::string key(64, 'c');
        std::string text = settingsWithPeerKey(key);
        CPPUNIT_ASSERT_EQUAL(key, parsePlatformSettings(text).peerKey);
        text.replace(text.find("10.200.1.7"), 10, "10.200.1.8");
        CPPUNIT_ASSERT_EQUAL(key, parsePlatformSettings(text).peerKey);
    }

    void withdrawalsAreBoundedOnlyWhereAskedFor()
    {
        const auto boundFor = [](const std::string &bounds) {
            std::string text(settingsText);
            text.replace(text.find("\"other\""), 7, bounds);
            return parsePlatformSettings(text).withdrawalBound;
        };
        CPPUNIT_ASSERT(boundFor(R"("fail_closed=true", "revoke_ms=5000")") == Milliseconds(5000));
        for (const std::string bounds :
             {R"("other")", R"("revoke_ms=5000")", R"("fail_closed=true")",
              R"("fail_closed=false", "revoke_ms=5000")", R"("fail_closed=true", "revoke_ms=x")"})
            CPPUNIT_ASSERT_MESSAGE(bounds, !boundFor(bounds));
    }

    void refusesMalformedPeerKeys()
    {
        for (const std::string &key : {std::string(), std::string(63, 'c'), std::string(64, 'x')})
            CPPUNIT_ASSERT_THROW_MESSAGE(key, parsePlatformSettings(settingsWithPeerKey(key)),
                                         PlatformSettingsError);
    }

    void refusesSettingsWithoutRequiredFields()
    {
        for (const std::string field : {"node_name", "zone", "listen", "provider", "ip"}) {
            std::string text(settingsText);
            text.replace(text.find('"' + field + '"'), field.size() + 2, "\"absent\"");
            CPPUNIT_ASSERT_THROW_MESSAGE(field, parsePlatformSettings(text), PlatformSettingsError);
        }
        CPPUNIT_ASSERT_THROW(parsePlatformSettings("{"), PlatformSettingsError);
    }

    void readsConfigurations()
    {
        const auto record = parseRecord("op/config", configurationText);
        const auto table = std::get<ConfigurationRecord>(record).table;
        CPPUNIT_ASSERT(table->version() == ConfigurationVersion(12));
        const Route &split = table->routes().at(0);
        CPPUNIT_ASSERT(split.kind == RequestKind::Safe);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), split.weightedServices.size());
        CPPUNIT_ASSERT(split.latencyObjective == Milliseconds(200));
        CPPUNIT_ASSERT(table->routes().at(1).kind == RequestKind::Upload);
        CPPUNIT_ASSERT(table->limits().body == Bytes(50));
        CPPUNIT_ASSERT(table->services().at(ServiceId("s1")).warmupRate == PerSecond(18));
        CPPUNIT_ASSERT_THROW(parseRecord("op/config", R"({"version": "12", "resources": []})"),
                             RegistryError);
    }

    void readsTargets()
    {
        const auto record =
                parseRecord("servers/i-1", R"({"address": "10.1.0.9:80", "born": 1700000000123,
            "info": {"service": "s1", "version": "v1", "zone": "a", "capacity": 4},
            "status": {"state": "draining", "seq": 4, "warmup_left_ms": 1500}})");
        const auto target = std::get<RegisteredTarget>(record);
        CPPUNIT_ASSERT(target.id == TargetId("i-1"));
        CPPUNIT_ASSERT(target.slots == Slots(4));
        CPPUNIT_ASSERT(target.isDraining);
        CPPUNIT_ASSERT(target.remainingWarmup == Milliseconds(1500));
        CPPUNIT_ASSERT(target.startedAt == 1700000000123);
    }

    void malformedTargetEntriesAreRefused()
    {
        const std::string wellFormed = R"({"address": "10.1.0.9:80",
            "info": {"service": "s1", "version": "v1", "zone": "a", "capacity": 4},
            "status": {"state": "ready", "seq": 4, "warmup_left_ms": 0}})";
        const std::vector<std::pair<std::string, std::string>> corruptions{
                {"\"ready\"", "\"asleep\""},
                {"\"s1\"", "17"},
                {"\"10.1.0.9:80\"", "\"x\""},
                {": 4, \"warm", ": 4, \"w"},
                {"\"capacity\": 4", "\"capacity\": \"4\""},
                {"\"info\"", "\"other\""},
                {"{", "\xff"}};
        for (const auto &[from, to] : corruptions) {
            std::string text = wellFormed;
            text.replace(text.find(from), from.size(), to);
            if (from.find("warm") != std::string::npos)
                continue; // A target without this field is warm.
            CPPUNIT_ASSERT_THROW_MESSAGE(text, parseRecord("servers/i-1", text), RegistryError);
        }
    }

    void readsRolloutOrdersAndWritesStatuses()
    {
        const auto order = std::get<RolloutOrder>(parseRecord(
                "op/rollout/s1", R"({"service": "s1", "target_version": "v2", "duration_s": 12})"));
        CPPUNIT_ASSERT(order.to == VersionId("v2"));
        CPPUNIT_ASSERT(order.duration == Milliseconds(12'000));
        for (const auto state :
             {RolloutState::Running, RolloutState::Done, RolloutState::RolledBack}) {
            const StoreEntry entry =
                    Platform::makeRolloutStatusEntry(ServiceId("s1"), VersionId("v2"), state);
            const auto status = std::get<RolloutStatus>(Platform::parseRecord(entry));
            CPPUNIT_ASSERT(status.state == state && status.service == ServiceId("s1"));
        }
        CPPUNIT_ASSERT(std::get<ZoneEvacuationRecord>(parseRecord("op/evacuate/z", "{}")).zone ==
                       ZoneId("z"));
        const RegisteredHost host{hostIdOf("n"), {"10.0.0.1", 7}, 0.5};
        const auto parsed =
                std::get<RegisteredHost>(Platform::parseRecord(Platform::makeHostEntry("n", host)));
        CPPUNIT_ASSERT(parsed.id == host.id && parsed.peer == host.peer);
    }

    void crashRecordsRoundTrip()
    {
        const CrashRecord record{Fingerprint(18'000'000'000'000'000'000u),
                                 {{TargetId("t1"), ZoneId("a"), Microseconds(7), Microseconds(5)}},
                                 std::nullopt,
                                 Milliseconds(9)};
        const StoreEntry entry =
                Platform::makeCrashRecordsEntry({{record}}, Milliseconds(1'700'000'000'123));
        const auto stored = std::get<StoredCrashRecords>(Platform::parseRecord(entry));
        CPPUNIT_ASSERT(stored.writtenAt == Milliseconds(1'700'000'000'123));
        const CrashRecord &parsed = stored.records.records.at(0);
        CPPUNIT_ASSERT(parsed.request == record.request && !parsed.answerAge);
        CPPUNIT_ASSERT(parsed.trialAge == record.trialAge);
        CPPUNIT_ASSERT(parsed.crashes.at(0).target == TargetId("t1"));
        CPPUNIT_ASSERT(parsed.crashes.at(0).zone == ZoneId("a"));
        CPPUNIT_ASSERT(parsed.crashes.at(0).startAge == Microseconds(7));
        CPPUNIT_ASSERT(parsed.crashes.at(0).age == Microseconds(5));
        for (const char *malformed :
             {"{", "{}", R"({"written_at_ms": 1, "requests": [1]})",
              R"({"written_at_ms": 1, "requests": [{"content": "x", "crashes": []}]})",
              R"({"written_at_ms": 1, "requests": [{"content": "1", "crashes": [{}]}]})"})
            CPPUNIT_ASSERT_THROW_MESSAGE(malformed,
                                         Platform::parseRecord({entry.key, malformed, Revision(1)}),
                                         RegistryError);
    }

    void plansByRoute()
    {
        configure();
        const auto planned = m_front.plan(
                makeHead("/a/x?y", {{"Request-Id", "r1"}, {"Request-Deadline-Ms", "300"}}), m_now);
        const auto &plan = std::get<RequestPlan>(planned);
        CPPUNIT_ASSERT(plan.service == ServiceId("s1"));
        CPPUNIT_ASSERT_EQUAL(std::string("/a/x?y"), plan.targetPath);
        CPPUNIT_ASSERT(plan.isIdempotent && plan.maxAttempts == 2);
        CPPUNIT_ASSERT(plan.deadline == m_now + Milliseconds(300));
        const auto capped =
                m_front.plan(makeHead("/a/x", {{"Request-Deadline-Ms", "9000"}}), m_now);
        CPPUNIT_ASSERT(std::get<RequestPlan>(capped).deadline == m_now + Milliseconds(800));
        CPPUNIT_ASSERT(std::get<Refusal>(m_front.plan(makeHead("/c/"), m_now)).reason ==
                       RefusalReason::UnknownService);
        RequestHead large = makeHead("/a/x");
        large.framing.length = 51;
        CPPUNIT_ASSERT(std::get<Refusal>(m_front.plan(large, m_now)).reason ==
                       RefusalReason::BodyTooLarge);
        HeaderFields fields{{"Target-Instance", "forged"}, {"Request-Deadline-Ms", "300"}};
        m_front.setRequestFields(fields, plan, {TargetId("i-1"), 0, Milliseconds(250)},
                                 RequestId(1));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                             std::string(*findField(fields, "target-instance")));
        CPPUNIT_ASSERT_EQUAL(std::string("250"),
                             std::string(*findField(fields, "request-deadline-ms")));
    }

    /**
     * A request that crashes targets was recognised for each service of a split route separately,
     * and anew after its route had moved to another service.
     */
    void copiesOnSplitRoutesShareTheirFingerprint()
    {
        std::string text(configurationText);
        text.replace(text.find("\"weight\": 0"), 11, "\"weight\": 10");
        configure(std::move(text));
        std::set<ServiceId> services;
        std::set<Fingerprint> fingerprints;
        for (int i = 0; i < 40; ++i) {
            const auto planned = m_front.plan(makeHead("/a/x"), m_now);
            services.insert(std::get<RequestPlan>(planned).service);
            fingerprints.insert(fingerprintOf(std::get<RequestPlan>(planned), "GET", ""));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), services.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fingerprints.size());
        const auto other = m_front.plan(makeHead("/a/y"), m_now);
        CPPUNIT_ASSERT(
                !fingerprints.contains(fingerprintOf(std::get<RequestPlan>(other), "GET", "")));
    }

    void refusalStatusMatchesRunCertainty()
    {
        const auto noConfiguration = m_front.plan(makeHead("/a/"), m_now);
        CPPUNIT_ASSERT(std::get<Refusal>(noConfiguration).reason == RefusalReason::NoConfiguration);
        for (int i = 0; i <= static_cast<int>(RefusalReason::Internal); ++i) {
            const auto reason = static_cast<RefusalReason>(i);
            const auto head = makeHead("/a/", {{"Request-Id", "r1"}});
            const auto mayHaveRun =
                    m_front.formatRefusal({reason, RunCertainty::MayHaveRun}, head, RequestId(1));
            CPPUNIT_ASSERT(mayHaveRun.head.status == 502 || mayHaveRun.head.status == 504);
            const auto notRun = m_front.formatRefusal(
                    {reason, RunCertainty::NotRun, Milliseconds(125)}, head, RequestId(1));
            CPPUNIT_ASSERT(notRun.head.status == 503 || notRun.head.status < 500);
            if (notRun.head.status == 503)
                CPPUNIT_ASSERT_EQUAL(std::string("0.125"),
                                     std::string(*findField(notRun.head.fields, "Retry-After")));
        }
    }

    void responsesAreMatchedByIdAndSignature()
    {
        RequestPlan plan;
        plan.callerRequestId = "r1";
        const HeaderField id{"Request-Id", "r1"};
        const HeaderField signature{"Response-Signature", "s"};
        const auto origin = [&](unsigned status, HeaderFields fields) {
            return m_front.origin(makeResponse(status, std::move(fields)), plan, RequestId(1));
        };
        CPPUNIT_ASSERT(origin(200, {id, signature}) == ResponseOrigin::ThisRequest);
        CPPUNIT_ASSERT(origin(500, {id}) == ResponseOrigin::ThisRequest);
        CPPUNIT_ASSERT(origin(200, {{"Request-Id", "r0"}, signature}) ==
                       ResponseOrigin::AnotherRequest);
        CPPUNIT_ASSERT(origin(200, {id}) == ResponseOrigin::Unusable);
        CPPUNIT_ASSERT(origin(200, {signature}) == ResponseOrigin::Unusable);
        CPPUNIT_ASSERT(origin(200, {id, signature, {"Content-Encoding", "gzip"}}) ==
                       ResponseOrigin::Unusable);
        CPPUNIT_ASSERT(
                m_front.extractTargetReport(makeResponse(503, {{"Not-Executed", "1"}})).notRun);
        CPPUNIT_ASSERT(m_front.extractTargetReport(makeResponse(421, {})).misdirected);
        CPPUNIT_ASSERT(!m_front.extractTargetReport(makeResponse(503, {})).notRun);
    }

    void readsDrainingState()
    {
        const auto isDraining = [this](unsigned status, HeaderFields fields) {
            return m_front.extractTargetReport(makeResponse(status, std::move(fields))).isDraining;
        };
        CPPUNIT_ASSERT(isDraining(200, {{"Server-Leaving", "1"}}));
        CPPUNIT_ASSERT(isDraining(503, {{"server-leaving", "1"}, {"Not-Executed", "1"}}));
        CPPUNIT_ASSERT(!isDraining(200, {{"Server-Leaving", "0"}}));
        CPPUNIT_ASSERT(!isDraining(200, {{"Connection", "close"}}));
    }

    void readsPauses()
    {
        struct Case
        {
            const char *name;
            unsigned status;
            std::vector<std::string> values;
            std::optional<Milliseconds> pause;
            bool isMalformed;
        };
        const std::vector<Case> cases{
                {"missing", 503, {}, std::nullopt, false},
                {"whole", 503, {"3"}, Milliseconds(3000), false},
                {"zero", 503, {"0"}, Milliseconds(0), false},
                {"fraction", 503, {"1.5"}, Milliseconds(1500), false},
                {"other status", 200, {"3"}, std::nullopt, false},
                {"negative", 503, {"-3"}, std::nullopt, true},
                {"empty", 503, {""}, std::nullopt, true},
                {"word", 503, {"soon"}, std::nullopt, true},
                {"not a number", 503, {"nan"}, std::nullopt, true},
                {"exponent", 503, {"1e3"}, std::nullopt, true},
                {"unit", 503, {"3s"}, std::nullopt, true},
                {"list", 503, {"1, 2"}, std::nullopt, true},
                {"huge", 503, {"99999999999999"}, Milliseconds(3600'000), false},
                {"beyond all numbers", 503, {std::string(400, '9')}, Milliseconds(3600'000), false},
                {"repeated", 503, {"1", "4", "2"}, Milliseconds(4000), false},
                {"one of two malformed", 503, {"1", "x"}, Milliseconds(1000), true},
                {"date", 503, {"Sun, 06 Nov 1994 08:49:40 GMT"}, Milliseconds(3000), false},
                {"date in the past",
                 503,
                 {"Sun, 06 Nov 1994 08:49:30 GMT"},
                 Milliseconds(0),
                 false},
                {"malformed date", 503, {"Sun, 06 Nov 1994 08:49:40"}, std::nullopt, true},
        };
        for (const auto &each : cases) {
            HeaderFields fields{{"Date", "Sun, 06 Nov 1994 08:49:37 GMT"}};
            for (const auto &value : each.values)
                fields.push_back({"Retry-After", value});
            const auto report = m_front.extractTargetReport(makeResponse(each.status, fields));
            CPPUNIT_ASSERT_MESSAGE(each.name, report.pause == each.pause);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.isMalformed, report.hasMalformedPause);
        }
    }

    void readsLoadAndRemainingWarmup()
    {
        const auto load =
                m_front.extractTargetReport(makeResponse(200, {{"Server-Load", "3, 1,8,250"}}))
                        .load;
        CPPUNIT_ASSERT(load == (ReportedLoad{Slots(3), Slots(1), Slots(8), 2.5}));
        CPPUNIT_ASSERT(
                !m_front.extractTargetReport(makeResponse(200, {{"Server-Load", "3,x,8"}})).load);
        const auto probe = Platform::parseProbeResponse(makeResponse(
                200, {{"Instance-Id", "i-1"}, {"Warmup-Ms", "700"}, {"Server-Load", "0,0,4"}}));
        CPPUNIT_ASSERT(probe.isHealthy && probe.id == TargetId("i-1"));
        CPPUNIT_ASSERT(probe.remainingWarmup == Milliseconds(700));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, probe.load->slowdown, 1e-9);
    }

    void storeListsAllPages()
    {
        StoreSnapshot snapshot;
        int pages = 0;
        withStore(
                [&](const HttpServerRequest &request) -> HttpServerResponse {
                    if (request.path.find("kv-watch") != std::string::npos) {
                        // The watch starts at the older revision of the two pages.
                        CPPUNIT_ASSERT(request.path.find("after=7") != std::string::npos);
                        return {200, "",
                                R"({"events":[{"key":"c","revision":8,"deleted":true},)"
                                R"({"key":"a b","revision":10,"deleted":true},)"
                                R"({"key":"d","value":"eA==","revision":11}],"as_of":12})"};
                    }
                    ++pages;
                    CPPUNIT_ASSERT(request.path.find("stale_ok=1") != std::string::npos);
                    if (request.path.find("after=") == std::string::npos)
                        return {200, "",
                                R"({"items":[)" + storeItem("a b", 3) +
                                        R"(],"has_more":true,"as_of":7})"};
                    CPPUNIT_ASSERT(request.path.ends_with("after=a%20b"));
                    return {200, "",
                            R"({"items":[)" + storeItem("c", 9) +
                                    R"(],"has_more":false,"as_of":9})"};
                },
                [&](KvStore &store) -> Task<> { snapshot = co_await store.list(""); });
        CPPUNIT_ASSERT_EQUAL(2, pages);
        // "c" was removed at revision 8 and is in the page of revision 9, so it exists again.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), snapshot.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), snapshot.entries.at(0).key);
        CPPUNIT_ASSERT_EQUAL(std::string("d"), snapshot.entries.at(1).key);
        CPPUNIT_ASSERT(snapshot.revision == Revision(12));
    }

    void storeListsAgainWhenRevisionIsCompacted()
    {
        StoreSnapshot snapshot;
        withStore(
                [&](const HttpServerRequest &request) -> HttpServerResponse {
                    if (request.path.find("kv-watch") != std::string::npos)
                        return {410, "", "{}"};
                    const bool old = request.path.find("stale_ok=1") != std::string::npos;
                    return {200, "",
                            R"({"items":[)" + storeItem("k", old ? 3 : 8) +
                                    R"(],"has_more":false,"as_of":)" + (old ? "5}" : "9}")};
                },
                [&](KvStore &store) -> Task<> { snapshot = co_await store.list(""); });
        CPPUNIT_ASSERT(snapshot.revision == Revision(9));
        CPPUNIT_ASSERT(snapshot.entries.at(0).modRevision == Revision(8));
    }

    /**
     * Guards against a target that a host keeps for ever: the store dropped its history and changed
     * while the pages of a current listing were read, and the listing lacked a target that was
     * removed after the listing's revision.
     */
    void storeListingOfChangingPagesIsConsistent()
    {
        StoreSnapshot snapshot;
        withStore([](const HttpServerRequest &request) { return changingPages(request, true); },
                  [&](KvStore &store) -> Task<> { snapshot = co_await store.list(""); });
        CPPUNIT_ASSERT(snapshot.revision == Revision(12));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), snapshot.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), snapshot.entries.at(0).key);
        CPPUNIT_ASSERT_EQUAL(std::string("d"), snapshot.entries.at(1).key);
    }

    /** The same if the store has dropped these changes as well: there is no consistent listing. */
    void storeListingWithoutLaterChangesIsRefused()
    {
        bool isCompacted = false;
        withStore([](const HttpServerRequest &request) { return changingPages(request, false); },
                  [&](KvStore &store) -> Task<> {
                      try {
                          co_await store.list("");
                      } catch (const RevisionCompacted &) {
                          isCompacted = true;
                      }
                  });
        CPPUNIT_ASSERT(isCompacted);
    }

    void storeWatchReportsCompactedRevision()
    {
        StoreChanges changes;
        bool isCompacted = false;
        withStore(
                [&](const HttpServerRequest &request) -> HttpServerResponse {
                    if (request.path.find("after=5") == std::string::npos)
                        return {410, "", "{}"};
                    return {200, "",
                            R"({"events":[{"key":"x","revision":6,"deleted":true},)"
                            R"({"key":"y","value":"eA==","revision":7}],"as_of":7})"};
                },
                [&](KvStore &store) -> Task<> {
                    changes = co_await store.watch("", Revision(5), Milliseconds(100));
                    try {
                        co_await store.watch("", Revision(1), Milliseconds(100));
                    } catch (const RevisionCompacted &) {
                        isCompacted = true;
                    }
                });
        CPPUNIT_ASSERT(isCompacted);
        CPPUNIT_ASSERT(!changes.changes.at(0).value);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), *changes.changes.at(1).value);
    }

    void storeSwapsConditionally()
    {
        CompareAndSwapResult refused;
        CompareAndSwapResult accepted;
        std::string sent;
        withStore(
                [&](const HttpServerRequest &request) -> HttpServerResponse {
                    if (request.body.find("\"revision\":0") != std::string::npos)
                        return {412, "", R"({"items":[{"key":"k","value":"eA==","revision":4}]})"};
                    sent = request.body;
                    return {200, "", R"({"revision":5})"};
                },
                [&](KvStore &store) -> Task<> {
                    std::vector<ConditionalPut> first{{"k", Revision(0), "y"}};
                    refused = co_await store.compareAndSwap(first, noLease);
                    std::vector<ConditionalPut> second{{"k", Revision(4), "y"}};
                    accepted = co_await store.compareAndSwap(second, LeaseId(9));
                });
        CPPUNIT_ASSERT(!refused.wasSwapped && refused.current->modRevision == Revision(4));
        CPPUNIT_ASSERT(accepted.wasSwapped && accepted.revision == Revision(5));
        CPPUNIT_ASSERT(sent.find(R"("lease":9)") != std::string::npos);
    }

    void storeErrorsAreReported()
    {
        int unavailable = 0;
        int malformed = 0;
        int calls = 0;
        withStore(
                [&](const HttpServerRequest &) -> HttpServerResponse {
                    ++calls;
                    return {calls == 1 ? 503u : 200u, "", calls == 3 ? "[]" : "{}"};
                },
                [&](KvStore &store) -> Task<> {
                    for (int i = 0; i < 3; ++i) {
                        try {
                            co_await store.list("");
                        } catch (const StoreUnavailable &) {
                            ++unavailable;
                        } catch (const StoreProtocolError &) {
                            ++malformed;
                        }
                    }
                });
        CPPUNIT_ASSERT_EQUAL(1, unavailable);
        CPPUNIT_ASSERT_EQUAL(2, malformed);
    }

    /**
     * An item that was no object, or a removal without a key, raised an exception of the JSON
     * library, which ended the task that follows the store: the host never read the store again.
     */
    void malformedItemsAreProtocolErrors()
    {
        const std::vector<std::string> malformed{
                "[1]",
                "[null]",
                R"([{"deleted":true,"revision":3}])",
                R"([{"deleted":true,"key":7,"revision":3}])",
                R"([{"deleted":true,"key":"a","revision":"x"}])",
                R"([{"key":"a","value":1,"revision":3}])",
                R"([{"key":"a","value":"%%%","revision":3}])",
                R"([{"key":"a","value":"e30=","revision":1e300}])"};
        for (const auto &rows : malformed) {
            int errors = 0;
            withStore(
                    [&](const HttpServerRequest &) -> HttpServerResponse {
                        return {200, "",
                                R"({"as_of":3,"events":)" + rows + R"(,"items":)" + rows + "}"};
                    },
                    [&](KvStore &store) -> Task<> {
                        try {
                            co_await store.watch("", Revision(1), Milliseconds(5));
                        } catch (const StoreProtocolError &) {
                            ++errors;
                        }
                        try {
                            co_await store.list("");
                        } catch (const StoreProtocolError &) {
                            ++errors;
                        }
                    });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rows, 2, errors);
        }
    }

private:
    static std::string storeItem(const std::string &key, int revision)
    {
        return R"({"key":")" + key + R"(","value":")" + encodeBase64("{}") + R"(","revision":)" +
               std::to_string(revision) + "}";
    }

    /**
     * Answers of a store that drops its history before revision 9, where it contains "a", "b" and
     * "c". While the current pages are read, "c" is removed at revision 10, "d" is added at 11, and
     * "a" is removed at 12.
     */
    static HttpServerResponse changingPages(const HttpServerRequest &request, bool hasLaterChanges)
    {
        const auto contains = [&request](const char *text) {
            return request.path.find(text) != std::string::npos;
        };
        if (contains("kv-watch")) {
            if (!hasLaterChanges || !contains("after=9&"))
                return {410, "", "{}"};
            return {200, "",
                    R"({"events":[{"key":"c","revision":10,"deleted":true},)" + storeItem("d", 11) +
                            R"(,{"key":"a","revision":12,"deleted":true}],"as_of":12})"};
        }
        if (contains("stale_ok=1"))
            return {200, "",
                    R"({"items":[)" + storeItem("a", 2) + R"(],"has_more":false,"as_of":5})"};
        if (!contains("after="))
            return {200, "",
                    R"({"items":[)" + storeItem("a", 2) + "," + storeItem("b", 3) +
                            R"(],"has_more":true,"as_of":9})"};
        return {200, "",
                R"({"items":[)" + storeItem("d", 11) + R"(],"has_more":false,"as_of":11})"};
    }

    static void
    withStore(const std::function<HttpServerResponse(const HttpServerRequest &)> &respond,
              const std::function<Task<>(KvStore &)> &useStore)
    {
        asio::io_context context;
        HttpServer server(context.get_executor(), anyLoopbackAddress,
                          [&respond](HttpServerRequest request) -> Task<HttpServerResponse> {
                              co_return respond(request);
                          });
        KvStore store(context.get_executor(), server.localAddress());
        runTask(context, useStore(store));
    }

    void configure(std::string text = std::string(configurationText))
    {
        StoreChanges changes;
        changes.revision = Revision(1);
        changes.changes.push_back({"op/config", std::move(text), Revision(1)});
        m_registry.applyChanges(changes, m_now);
    }

    TimePoint m_now{Seconds(1000)};
    Registry m_registry{&Platform::parseRecord};
    WeightedRoundRobin m_roundRobin;
    ConfigurationFreshness m_freshness{std::nullopt};
    PlatformFrontEnd m_front{{m_registry, m_roundRobin, m_freshness}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);
