#pragma once

#include "endivedock/edge/edge_message.h"
#include "endivedock/edge/edge_peers.h"
#include "endivedock/edge/edge_settings.h"
#include "endivedock/edge/platform_concept.h"
#include "endivedock/edge/reader_choice.h"
#include "endivedock/edge/shared_placement.h"
#include "endivedock/edge/target_prober.h"
#include "endivedock/loadnews.h"

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
    using Gateway = GatewayServer<typename P::Front, SharedPlacement<EdgePeers>, NoRunKeys>;

    /** A running move as this host knows it. */
    struct Move
    {
        MoveOrder order;
        TimePoint seenAt;
        std::optional<MoveProgress> progress;
        TimePoint endedAt{};
        /** No attempt to write before. */
        TimePoint writeAt{};
        bool writing = false;
    };

    // The tasks.
    Task<> followStore();
    Task<> registerOnce();
    Task<> tradeNews();
    Task<> askFirstCopy();
    Task<> pullRegistry(HostId host, Address address);
    Task<> writeVerdict(ServiceId service, MoveState state);
    Task<> shutDown();
    Task<HttpResult> answerReadiness(HttpCall call);
    Task<HttpResult> answerAdmin(HttpCall call);

    Task<> readStore();
    void pushChanges(Revision from);
    void sendNotice();
    void takeNotice(HostId from, const RegistryNotice &notice, TimePoint now);
    void takeDelta(HostId from, const RegistryDelta &delta, TimePoint now);
    void storeAnswered();
    void storeFailed(const std::string &error);
    void registryChanged();
    void followOrders(TimePoint now);
    void sendNews(TimePoint now);
    HostNews newsFor(const std::vector<ServiceId> &services, HostId placing, TimePoint now);
    HostPicture relay(HostId from, const HostNews &news, TimePoint now);
    Milliseconds newsInterval() const;
    void take(const PeerHeader &header, const EdgeMessage &message);
    void takePicture(const HostPicture &picture, TimePoint now);
    void takeProgress(const ServiceId &service, const MoveProgress &progress);
    void settleMoves(TimePoint now);
    void startProbes(TimePoint now);
    void takeProbe(const ServiceId &service, const TargetId &target,
                   const std::optional<TargetProbe> &probe, const std::string &failure);

    asio::io_context &m_context;
    asio::any_io_executor m_executor;
    EdgeSettings m_settings;
    HostId m_self;
    Random m_random = systemRandom();
    Metrics m_metrics;
    Registry m_registry;
    WeightedTurns m_turns;
    NoRunKeys m_noKeys;
    typename P::Store m_watchStore;
    typename P::Store m_callStore;
    Sealer m_sealer;
    EdgePeers m_peers;
    SharedPlacement<EdgePeers> m_placement;
    StreamTransport<EdgeCodec> m_streams;
    NewsRelay m_relay;
    TargetProber m_prober;
    std::map<ServiceId, Move> m_moves;
    Gateway m_gateway;
    HttpServer m_readiness;
    std::optional<HttpServer> m_admin;
    /** When the store last answered, and whether it has failed since. */
    TimePoint m_storeAnsweredAt;
    bool m_storeLost = false;
    ReaderChoice m_readers;
    bool m_reading = false;
    /** The store's history does not lead on from this copy. */
    bool m_mustList = false;
    /** A copy is being fetched from another host. */
    bool m_pulling = false;
    TimePoint m_nextNotice{};
    bool m_leaving = false;
    Log m_log{"host"};
};

} // namespace endivedock
