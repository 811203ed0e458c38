#pragma once

#include "endivedock/edge/crash_archive.h"
#include "endivedock/edge/edge_message.h"
#include "endivedock/edge/edge_peers.h"
#include "endivedock/edge/edge_settings.h"
#include "endivedock/edge/freshness_agent.h"
#include "endivedock/edge/load_reporter.h"
#include "endivedock/edge/platform_concept.h"
#include "endivedock/edge/registry_source_selector.h"
#include "endivedock/edge/rollout_agent.h"
#include "endivedock/edge/shared_placement.h"
#include "endivedock/edge/store_reader_selector.h"
#include "endivedock/edge/store_restorer.h"
#include "endivedock/edge/target_prober.h"
#include "endivedock/edge/usage_agent.h"
#include "endivedock/edge/zone_agent.h"
#include "endivedock/loadreports.h"

#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

namespace endivedock {

/**
 * Runs one host, which serves callers, keeps a copy of the platform's store and exchanges load
 * reports with the other hosts. Uses one thread, with one task each for reading the store, for the
 * host's registration, for the periodic work and for each probe, and the tasks of the gateway.
 *
 * @tparam P  adapter to the platform
 */
template <EdgePlatform P>
class EdgeHost
{
public:
    /**
     * Opens the listening sockets and starts all tasks.
     *
     * @throws Error if an address cannot be bound or a peer key is invalid
     */
    EdgeHost(asio::io_context &context, EdgeSettings settings);

    /**
     * Starts a graceful drain: accepts new connections for EdgeSettings::drainDelay, waits until
     * all connections are closed or EdgeSettings::shutdownTimeout has passed since this call, and
     * then stops the I/O context. Further calls have no effect.
     */
    void stop();
    /** Logs that the settings were read again. Changed settings apply from the next start on. */
    void reload(const EdgeSettings &settings);
    /** @return whether this host has a configuration and is not draining */
    bool isReady() const;

private:
    using Gateway = GatewayServer<typename P::Front, SharedPlacement<EdgePeers>, NoRunGuard>;

    /** Sets a flag for as long as a task runs, also if an exception ends it. */
    class FlagScope
    {
    public:
        explicit FlagScope(bool &flag)
            : m_flag(flag)
        {
            m_flag = true;
        }
        ~FlagScope() { m_flag = false; }
        FlagScope(const FlagScope &) = delete;

    private:
        bool &m_flag;
    };

    /** @return the counts of requests of this host; null if usage is not reported */
    OwnUsage *startUsageAgent();

    // Tasks and HTTP handlers.
    Task<> runStoreReader();
    Task<> registerHost();
    Task<> runPeriodicTasks();
    Task<> fetchInitialRegistry();
    /** Requests changes from other hosts until no newer revision is announced. */
    Task<> fetchAnnouncedChanges();
    /** @return whether the host responded with changes that were applied */
    Task<bool> fetchRegistry(HostId host, Address address);
    Task<> shutDown();
    Task<HttpServerResponse> handleReadinessRequest(HttpServerRequest request);
    Task<HttpServerResponse> handleAdminRequest(HttpServerRequest request);

    Task<> readStore();
    void broadcastChanges(Revision from);
    void broadcastNotice();
    /** @return the response to a request of another host over a stream, or nothing */
    std::optional<EdgeMessage> respond(HostId from, const EdgeMessage &message);
    void handleNotice(HostId from, const RegistryNotice &notice, TimePoint now);
    void handleDelta(HostId from, const RegistryDelta &delta, TimePoint now);
    void recordStoreSuccess();
    void recordStoreFailure(const std::string &error);
    void applyRegistryChange();
    void handle(const PeerHeader &header, const EdgeMessage &message);
    void shareCrashRecords(TimePoint now);
    void handleCrashRecords(HostId from, const CrashRecords &message, TimePoint now);
    void startProbes(TimePoint now);
    void handleProbeResult(const ServiceId &service, const TargetId &target,
                           const std::variant<ProbeResult, ProbeFailure> &outcome);

    asio::io_context &m_context;
    asio::any_io_executor m_executor;
    EdgeSettings m_settings;
    HostId m_self;
    Random m_random = systemRandom();
    Metrics m_metrics;
    Registry m_registry;
    WeightedRoundRobin m_roundRobin;
    NoRunGuard m_runGuard;
    typename P::Store m_watchStore;
    typename P::Store m_writeStore;
    Sealer m_sealer;
    EdgePeers m_peers;
    SharedPlacement<EdgePeers> m_placement;
    StreamTransport<EdgeCodec> m_streams;
    LoadAggregator m_aggregator;
    /** Whether the other hosts were asked for their crash records, once after the start. */
    bool m_hasRequestedCrashRecords = false;
    TimePoint m_nextCrashGossipAt{};
    CrashArchive<P> m_crashArchive;
    ZoneAgent m_zones;
    RolloutAgent<P> m_rollouts;
    StoreRestorer<P> m_restorer;
    /** Absent if usage is not reported. */
    std::optional<UsageAgent<P>> m_usage;
    LoadReporter<P> m_loadReporter;
    TargetProber m_prober;
    StoreReaderSelector m_readerSelector;
    FreshnessAgent<P> m_freshness;
    Gateway m_gateway;
    HttpServer m_readinessServer;
    std::optional<HttpServer> m_adminServer;
    /** When the store last answered a call, and whether a call has failed since then. */
    TimePoint m_storeAnsweredAt;
    bool m_isStoreUnreachable = false;
    bool m_isReadingStore = false;
    TimePoint m_readingSince{};
    /**
     * Whether all entries must be listed, since the store has compacted the changes after the
     * revision of this host's copy.
     */
    bool m_needsListing = false;
    RegistrySourceSelector m_registrySources{m_random};
    /** Whether a registry delta is being fetched from another host. */
    bool m_isFetchingRegistry = false;
    TimePoint m_nextNoticeAt{};
    bool m_isDraining = false;
    Log m_log{"host"};
};

} // namespace endivedock
