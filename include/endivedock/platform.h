#pragma once

/**
 * Public header of the adapter: translates between the users' platform and the product. No decision
 * is made here, and no other library knows a name of the platform's.
 */

#include "endivedock/edge/edge_settings.h"
#include "endivedock/edge/platform_concept.h"
#include "endivedock/gateway.h"
#include "endivedock/net.h"
#include "endivedock/store/store_concept.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace endivedock {

/** Settings of the platform that are missing or malformed. */
class PlatformSettingsError : public Error
{
public:
    using Error::Error;
};

/**
 * Reads the settings file that the platform writes for a process. Unknown fields are left out.
 *
 * @throws PlatformSettingsError naming the field
 */
EdgeSettings parsePlatformSettings(std::string_view text);
/** @throws PlatformSettingsError also if the file cannot be read */
EdgeSettings readPlatformSettings(const std::string &path);

/**
 * The platform's metadata store over HTTP. Counts its calls, since the platform charges for each.
 */
class KvStore
{
public:
    KvStore(asio::any_io_executor executor, Address address);

    Task<std::optional<StoreEntry>> get(std::string key);
    /**
     * Reads all pages from copies that may lag, and then what has changed since; if the store no
     * longer holds those changes, reads all pages as they are at present.
     */
    Task<StoreSnapshot> list(std::string prefix);
    Task<CompareAndSwapResult> compareAndSwap(std::vector<ConditionalPut> conditionalPuts,
                                              LeaseId lease);
    Task<LeaseId> grantLease(Milliseconds term);
    Task<bool> renewLease(LeaseId lease);
    Task<> revokeLease(LeaseId lease);
    Task<bool> awaitChange(std::string prefix, Revision after, Milliseconds timeout);
    Task<StoreChanges> watch(std::string prefix, Revision after, Milliseconds timeout);

    std::uint64_t calls() const { return m_calls; }

private:
    enum class Freshness { Latest, MayBeStale };

    Task<StoreSnapshot> listPages(std::string prefix, Freshness freshness);
    Task<HttpClientResponse> call(std::string method, std::string path, std::string body,
                                  Milliseconds timeout);

    HttpClient m_client;
    std::uint64_t m_calls = 0;
    Log m_log{"store"};
};

static_assert(WatchableStore<KvStore>);

/** The platform's interface towards callers and targets. */
class PlatformFrontEnd
{
public:
    explicit PlatformFrontEnd(const FrontEndContext &context)
        : m_context(context)
    {
    }

    CallerLimits limits() const;
    std::variant<RequestPlan, Refusal> plan(const RequestHead &request, TimePoint now) const;
    void setRequestFields(HeaderFields &fields, const RequestPlan &plan,
                          const AttemptContext &attempt, RequestId id) const;
    ResponseOrigin origin(const ResponseHead &answer, const RequestPlan &plan) const;
    TargetReport report(const ResponseHead &answer) const;
    bool isInternal(const HeaderField &field) const;
    void setResponseFields(HeaderFields &fields, RequestId id) const;
    RefusalResponse formatRefusal(const Refusal &refusal, const RequestHead &request,
                                  RequestId id) const;

private:
    FrontEndContext m_context;
};

/** What the edge host needs of the platform. */
struct Platform
{
    using Store = KvStore;
    using Front = PlatformFrontEnd;

    static RegistryRecord parseRecord(const StoreEntry &entry);
    static Front makeFrontEnd(const FrontEndContext &context) { return Front(context); }
    static StoreEntry makeVerdictEntry(const ServiceId &service, const VersionId &version,
                                       RolloutState state);
    static StoreEntry makeHostEntry(const std::string &name, const RegisteredHost &host);
    static ProbeResult parseProbeResponse(const ResponseHead &answer);
    static std::string_view readinessPath();
};

static_assert(EdgePlatform<Platform>);

} // namespace endivedock
