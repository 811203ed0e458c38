#pragma once

#include "endivedock/config.h"
#include "endivedock/dispatch.h"
#include "endivedock/host/settings.h"
#include "endivedock/idempotency.h"
#include "endivedock/membership.h"
#include "endivedock/shards.h"

#include "peer_message.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace endivedock {

/** Peers that are told of a change at once; each tells as many others. */
constexpr std::size_t urgentGossipFanout = 3;

/** What the fleet tells the rest of its host. */
struct FleetCallbacks
{
    std::function<void(ConfigurationUpdate)> onCopy;
    std::function<ConfigurationUpdate()> currentCopy;
    std::function<void(const PlacementAnswer &)> onPlacementAnswer;
    std::function<void(const AttemptReportAck &)> onReceipt;
    std::function<InFlightList(const ServiceId &)> inFlight;
    std::function<void(HostId, const ClaimAnswer &)> onClaimAnswer;
};

/**
 * This host's part in the fleet: what it knows of the others, the view, the leases that it grants
 * and holds, the run records, and the messages. One task talks to each peer: it fetches what the
 * peer has newer, collects its run records, and renews leases with it. Questions that callers wait
 * for are answered as they arrive.
 */
class FleetAgent
{
public:
    /** @param placers  the services that this host places; follows its leases */
    FleetAgent(asio::any_io_executor executor, const HostSettings &settings,
               Incarnation incarnation, LocalPlacers &placers, Random &random, Metrics &metrics,
               FleetCallbacks events);

    // As PlacementLink requires.
    std::optional<HostId> placingHostOf(const ServiceId &service);
    void send(HostId host, const PeerMessage &message);
    void markNotPlacing(const ServiceId &service, HostId host);
    std::size_t entryHostCount() const;

    /** Tells the others of a newer configuration at once. */
    void configurationChanged(std::shared_ptr<const Declarations> declarations, Revision revision);
    void adoptView(const View &view);
    void listingChanged(const std::vector<ListedHost> &hosts);
    /** Hands on what this host holds and takes over nothing more. */
    void leave();
    void setKeys(const std::vector<std::string> &keys) { m_sealer.setKeys(keys); }

    /** @return whether this host is one of the few that read the platform's store */
    bool readsStore() const;
    /** @return the view to be written to the store, if this host is to propose one now */
    std::optional<View> proposal() const;
    /**
     * @return whether this host knows who places each service, and votes, or has tried to for long
     *         enough: if the records of all are lost, what needs none is served all the same
     */
    bool ready() const;
    bool connected(TimePoint now) const;

    RunAcceptor &acceptor() { return m_acceptor; }
    const MemberTable &members() const { return m_members; }
    const TransportCounters &counters() const { return m_datagrams.counters(); }
    std::size_t heldShards() const;

private:
    struct Peer
    {
        explicit Peer(const asio::any_io_executor &executor)
            : wake(executor)
        {
        }
        asio::steady_timer wake;
        bool running = false;
    };
    struct Notes
    {
        HolderSnapshot notes;
        TimePoint receivedAt;
    };
    /** Whose lists of attempts in flight are still awaited for a service that was taken over. */
    struct Takeover
    {
        std::set<HostId> awaited;
        TimePoint until;
    };

    // The tasks.
    Task<> gossip();
    Task<> talkTo(HostId id);
    Task<> keepLeases();
    Task<> fetchCopy(MemberState peer);
    Task<> collectRecords(HostId peer);

    // Messages, each handled as it arrives.
    void take(const PeerHeader &header, PeerMessage message, const Address &from);
    void handle(HostId from, const GossipMessage &heartbeat);
    void handle(HostId from, const PlacementRequest &request);
    void handle(HostId from, const PlacementAnswer &answer);
    void handle(HostId from, const PlacementCancel &cancel);
    void handle(HostId from, const AttemptReport &report);
    void handle(HostId from, const AttemptReportAck &receipt);
    void handle(HostId from, const InFlightQuery &request);
    void handle(HostId from, const InFlightList &list);
    void handle(HostId from, const LeaseRequest &request);
    void handle(HostId from, const LeaseAnswer &answer);
    void handle(HostId from, const LeaseRelease &release);
    void handle(HostId from, const HolderSnapshot &notes);
    void handle(HostId from, const ClaimRequest &request);
    void handle(HostId from, const ClaimAnswer &answer);
    void handle(HostId from, const ClaimOutcome &finish);
    template <typename Other>
    void handle(HostId, const Other &)
    {
    }
    std::optional<PeerMessage> answerStream(const PeerHeader &header, const PeerMessage &question);

    void startPeer(HostId id);
    void wakePeers();
    void tellSome(std::size_t count);
    enum class Asking { All, FreeShards };
    void renewLeases(Asking asking, TimePoint now);
    std::size_t preferredBefore(ShardId shard, TimePoint now) const;
    bool canHold(HostId host, TimePoint now) const;
    void followLeases(TimePoint now);
    void startServices(ShardId shard, TimePoint now);
    void stopServices(ShardId shard);
    void startTakeover(const ServiceId &service, TimePoint now);
    void continueTakeovers(TimePoint now);
    /** @param all  also those that have not changed */
    void sendNotes(bool all);
    void yieldShards(TimePoint now);
    void releaseShard(ShardId shard);
    void updateSelf();
    std::vector<MemberCandidate> candidates(TimePoint now) const;
    std::optional<HostId> knownHolder(ShardId shard, TimePoint now) const;
    bool doubted(ShardId shard, HostId host, TimePoint now) const;

    asio::any_io_executor m_executor;
    HostSettings m_settings;
    Incarnation m_incarnation;
    LocalPlacers &m_placers;
    Random &m_random;
    Metrics &m_metrics;
    FleetCallbacks m_events;
    Sealer m_sealer;
    MemberTable m_members;
    LeaseSettings m_leaseSettings;
    LeaseGrantor m_leaseGrantor;
    LeaseHolder m_holder;
    RunAcceptor m_acceptor;
    DatagramTransport<PeerCodec> m_datagrams;
    StreamTransport<PeerCodec> m_streams;
    std::shared_ptr<const Declarations> m_declarations;
    Revision m_revision;
    std::map<HostId, std::unique_ptr<Peer>> m_peers;
    std::map<ServiceId, Notes> m_notes;
    std::map<ServiceId, Notes> m_sentNotes;
    std::map<ServiceId, Takeover> m_takeovers;
    std::map<std::pair<ShardId, HostId>, TimePoint> m_doubts;
    std::array<bool, shardCount> m_holding{};
    std::array<TimePoint, shardCount> m_heldSince{};
    std::array<TimePoint, shardCount> m_yieldedUntil{};
    std::set<HostId> m_listed;
    bool m_listingKnown = false;
    bool m_leaving = false;
    TimePoint m_viewAdoptedAt{};
    TimePoint m_startedAt = SteadyClock().now();
    Log m_log{"fleet"};
};

} // namespace endivedock
