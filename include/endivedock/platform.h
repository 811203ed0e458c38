#pragma once

/**
 * Public header of the platform adapter, which translates between the users' platform and the edge
 * host. The adapter makes no decisions, and no other library uses names that the platform defines,
 * such as store keys or header fields.
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

/** A setting of the platform is missing or malformed. */
class PlatformSettingsError : public Error
{
public:
    using Error::Error;
};

/**
 * Parses the settings file that the platform writes for a process. Unknown fields are ignored.
 *
 * @throws PlatformSettingsError with the name of the field that is missing or malformed
 */
EdgeSettings parsePlatformSettings(std::string_view text);
/**
 * Reads and parses a settings file.
 *
 * @throws PlatformSettingsError as parsePlatformSettings(), and if the file cannot be read
 */
EdgeSettings readPlatformSettings(const std::string &path);

/**
 * Client of the platform's key-value store for metadata, over HTTP. Counts its calls, since the
 * platform charges for each call.
 */
class KvStore
{
public:
    KvStore(asio::any_io_executor executor, Address address);

    Task<std::optional<StoreEntry>> get(std::string key);
    /** Same as get(), with a timeout of the call. */
    Task<std::optional<StoreEntry>> getWithin(std::string key, Milliseconds timeout);
    /**
     * Reads all pages from replicas that may lag, and then the changes since the revision of the
     * pages. If the store has compacted those changes, reads all pages of the current state, and
     * then the changes made meanwhile.
     *
     * @throws RevisionCompacted if the store has compacted the latter changes as well
     */
    Task<StoreSnapshot> list(std::string prefix);
    Task<CompareAndSwapResult> compareAndSwap(std::vector<ConditionalPut> conditionalPuts,
                                              LeaseId lease);
    Task<LeaseId> grantLease(Milliseconds leaseDuration);
    Task<bool> renewLease(LeaseId lease);
    Task<> revokeLease(LeaseId lease);
    Task<bool> awaitChange(std::string prefix, Revision after, Milliseconds timeout);
    Task<StoreChanges> watch(std::string prefix, Revision after, Milliseconds timeout);

    std::uint64_t calls() const { return m_calls; }

private:
    enum class Freshness { Latest, MayBeStale };

    /** Entries of several pages, with the oldest revision of a page. */
    struct PagedListing
    {
        StoreSnapshot snapshot;
        Revision newestPage;
    };

    Task<PagedListing> listPages(std::string prefix, Freshness freshness);
    Task<HttpClientResponse> call(std::string method, std::string path, std::string body,
                                  Milliseconds timeout);

    HttpClient m_client;
    std::uint64_t m_calls = 0;
    Log m_log{"store"};
};

static_assert(WatchableStore<KvStore>);

/** Client of the platform's interface for the duties of a single host. */
class PlatformUsageReceiver
{
public:
    PlatformUsageReceiver(asio::any_io_executor executor, Address address);

    Task<UsageAnswer> report(std::string holder, UsageReport report, Milliseconds timeout);

private:
    HttpClient m_client;
};

static_assert(UsageReceiver<PlatformUsageReceiver>);

/** Implements FrontEnd for the HTTP interface of the platform towards callers and targets. */
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
    ResponseOrigin origin(const ResponseHead &response, const RequestPlan &plan,
                          RequestId id) const;
    TargetReport extractTargetReport(const ResponseHead &response) const;
    bool isInternal(const HeaderField &field) const;
    void setResponseFields(HeaderFields &fields, RequestId id) const;
    RefusalResponse formatRefusal(const Refusal &refusal, const RequestHead &request,
                                  RequestId id) const;

private:
    FrontEndContext m_context;
};

/** Implements EdgePlatform, for the platform that the edge host runs on. */
struct Platform
{
    using Store = KvStore;
    using Front = PlatformFrontEnd;
    using Usage = PlatformUsageReceiver;

    static std::string_view configurationKey();
    static RegistryRecord parseRecord(const StoreEntry &entry);
    static Front makeFrontEnd(const FrontEndContext &context) { return Front(context); }
    static StoreEntry makeRolloutStatusEntry(const ServiceId &service, const VersionId &version,
                                             RolloutState state);
    static StoreEntry makeHostEntry(const std::string &name, const RegisteredHost &host);
    static StoreEntry makeCrashRecordsEntry(const CrashRecords &records, Milliseconds writtenAt);
    static ProbeResult parseProbeResponse(const ResponseHead &response);
    static std::string_view readinessPath();
};

static_assert(EdgePlatform<Platform>);

} // namespace endivedock
