#pragma once

#include "endivedock/edge/edge_message.h"
#include "endivedock/edge/edge_peers.h"
#include "endivedock/edge/edge_settings.h"
#include "endivedock/edge/platform_concept.h"
#include "endivedock/edge/shared_placement.h"
#include "endivedock/edge/store_reader_selector.h"
#include "endivedock/edge/target_prober.h"
#include "endivedock/loadreports.h"

#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

namespace endivedock {

/**
 * One entry host. It serves callers, follows the platform's store, and trades news with the other
 * hosts. Runs on one thread; one task for the store, one for its own entry there, one for news, one
 * for each probe, and those of the gateway.
 *
 * @tparam P  the platform
 */
template <EdgePlatform P>
class EdgeHost
{
public:
    /**
     * Listens and starts all tasks.
     *
     * @throws Error if an address cannot be bound or a key is unusable
     */
    EdgeHost(asio::io_context &context, EdgeSettings settings);

    /** Shuts down gracefully: finishes what is open, then stops the context. */
    void stop();
    /** Notes that the settings were read again; what they say holds from the next start on. */
    void reload(const EdgeSettings &settings);
    bool ready() const;

private:
    using Gateway = GatewayServer<typename P::Front, SharedPlacement<EdgePeers>, NoRunGuard>;

    /** A running move as this host knows it. */
    struct Move
    {
        RolloutOrder order;
        TimePoint seenAt;
        std::optional<RolloutProgress> progress;
        TimePoint endedAt{};
        /** No attempt to write before. */
        TimePoint writeAt{};
        bool writing = false;
    };

    // The tasks.
    Task<> followStore();
    Task<> registerHost();
    Task<> runPeriodicTasks();
    Task<> fetchInitialRegistry();
    Task<> fetchRegistry(HostId host, Address address);
    Task<> writeVerdict(ServiceId service, RolloutState state);
    Task<> shutDown();
    Task<HttpServerResponse> answerReadiness(HttpServerRequest call);
    Task<HttpServerResponse> answerAdmin(HttpServerRequest call);

    Task<> readStore();
    void broadcastChanges(Revision from);
    void broadcastNotice();
    void handleNotice(HostId from, const RegistryNotice &notice, TimePoint now);
    void handleDelta(HostId from, const RegistryDelta &delta, TimePoint now);
    void recordStoreSuccess();
    void recordStoreFailure(const std::string &error);
    void applyRegistryChange();
    void applyRolloutOrders(TimePoint now);
    void sendLoadReports(TimePoint now);
    HostLoadReport makeLoadReport(const std::vector<ServiceId> &services, HostId placing,
                                  TimePoint now);
    AggregatedLoad aggregateLoad(HostId from, const HostLoadReport &loadReport, TimePoint now);
    Milliseconds loadReportInterval() const;
    void handle(const PeerHeader &header, const EdgeMessage &message);
    void applyAggregatedLoad(const AggregatedLoad &picture, TimePoint now);
    void applyRolloutProgress(const ServiceId &service, const RolloutProgress &progress);
    void settleMoves(TimePoint now);
    void startProbes(TimePoint now);
    void takeProbe(const ServiceId &service, const TargetId &target,
                   const std::optional<ProbeResult> &probe, const std::string &failure);

    asio::io_context &m_context;
    asio::any_io_executor m_executor;
    EdgeSettings m_settings;
    HostId m_self;
    Random m_random = systemRandom();
    Metrics m_metrics;
    Registry m_registry;
    WeightedRoundRobin m_roundRobin;
    NoRunGuard m_noKeys;
    typename P::Store m_watchStore;
    typename P::Store m_writeStore;
    Sealer m_sealer;
    EdgePeers m_peers;
    SharedPlacement<EdgePeers> m_placement;
    StreamTransport<EdgeCodec> m_streams;
    LoadAggregator m_aggregator;
    TargetProber m_prober;
    std::map<ServiceId, Move> m_moves;
    Gateway m_gateway;
    HttpServer m_readiness;
    std::optional<HttpServer> m_admin;
    /** When the store last answered, and whether it has failed since. */
    TimePoint m_storeAnsweredAt;
    bool m_isStoreUnreachable = false;
    StoreReaderSelector m_readerSelector;
    bool m_isReadingStore = false;
    /** The store's history does not lead on from this copy. */
    bool m_needsListing = false;
    /** A copy is being fetched from another host. */
    bool m_isFetchingRegistry = false;
    TimePoint m_nextNoticeAt{};
    bool m_leaving = false;
    Log m_log{"host"};
};

} // namespace endivedock
