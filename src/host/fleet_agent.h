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

/** Number of peers to which a change is sent at once; each peer forwards it to as many others. */
constexpr std::size_t urgentGossipFanout = 3;

/** Callbacks by which the fleet agent calls the other parts of its host. */
struct FleetCallbacks
{
    std::function<void(ConfigurationUpdate)> onConfigurationUpdate;
    std::function<ConfigurationUpdate()> makeConfigurationUpdate;
    std::function<void(const PlacementAnswer &)> onPlacementAnswer;
    std::function<void(const AttemptReportAck &)> onReportAck;
    std::function<InFlightList(const ServiceId &)> inFlight;
    std::function<void(HostId, const ClaimAnswer &)> onClaimAnswer;
};

/**
 * This host's part in the fleet: gossip with the other entry hosts, the view, the leases that this
 * host grants and holds, the run records, and all peer messages. One task per peer fetches a newer
 * configuration or view from that peer and collects its run records. Messages are handled when they
 * arrive, since callers wait for the answers.
 */
class FleetAgent
{
public:
    /**
     * Starts the gossip and the renewal of leases.
     *
     * @param placers  the agent starts and stops them as this host gains and loses their shards
     */
    FleetAgent(asio::any_io_executor executor, const HostSettings &settings,
               Incarnation incarnation, LocalPlacers &placers, Random &random, Metrics &metrics,
               FleetCallbacks callbacks);

    // The functions that the dispatch library's concept PlacementLink requires.
    std::optional<HostId> placingHostOf(const ServiceId &service);
    void send(HostId host, const PeerMessage &message);
    void markNotPlacing(const ServiceId &service, HostId host);
    std::size_t entryHostCount() const;

    /** Starts the services of the held shards and sends the new revision to some peers at once. */
    void applyConfiguration(std::shared_ptr<const Declarations> declarations, Revision revision);
    /** Installs a view if it is newer than the present one. */
    void installView(const View &view);
    /** Adds the listed hosts as gossip seeds and records which hosts the platform still lists. */
    void applyDirectoryListing(const std::vector<ListedHost> &hosts);
    /** Releases all leases of this host; it acquires none from then on. */
    void leave();
    void setKeys(const std::vector<std::string> &keys) { m_sealer.setKeys(keys); }

    /** @return whether this host is one of the few in its region that read the platform's store */
    bool readsStore() const;
    /** @return the view that this host should write to the store now, or nothing */
    std::optional<View> viewToPropose() const;
    /**
     * @return whether this host knows the placing host of each service, and either votes on claims
     *         or has tried to collect run records for long enough. Without that limit no host would
     *         become ready after all records are lost, although requests without an idempotency key
     *         need no record.
     */
    bool isReady() const;
    /** @return whether this host has lately heard from more than half of the members of its view */
    bool isInMajority(TimePoint now) const;

    RunAcceptor &acceptor() { return m_acceptor; }
    const MemberTable &members() const { return m_members; }
    const TransportCounters &counters() const { return m_datagrams.counters(); }
    std::size_t heldShards() const;

private:
    /** State of the task that synchronises with one peer. */
    struct Peer
    {
        explicit Peer(const asio::any_io_executor &executor)
            : wakeTimer(executor)
        {
        }
        /** Delays the next round of the task; cancel() starts the round at once. */
        asio::steady_timer wakeTimer;
        bool isRunning = false;
    };
    /** A snapshot with the time when this host received or sent the snapshot. */
    struct TimedSnapshot
    {
        HolderSnapshot snapshot;
        TimePoint recordedAt;
    };
    /** A service that was taken over, and the hosts whose in-flight attempts are not known yet. */
    struct Takeover
    {
        std::set<HostId> awaitedHosts;
        TimePoint deadline;
    };

    // Tasks.
    Task<> gossip();
    Task<> syncWithPeer(HostId id);
    Task<> maintainLeases();
    Task<> fetchConfiguration(MemberState peer);
    Task<> collectRunRecords(HostId peer);

    // Handlers of the peer messages.
    void dispatch(const PeerHeader &header, PeerMessage message, const Address &from);
    void handle(HostId from, const GossipMessage &gossipMessage);
    void handle(HostId from, const PlacementRequest &request);
    void handle(HostId from, const PlacementAnswer &answer);
    void handle(HostId from, const PlacementCancel &cancel);
    void handle(HostId from, const AttemptReport &report);
    void handle(HostId from, const AttemptReportAck &ack);
    void handle(HostId from, const InFlightQuery &query);
    void handle(HostId from, const InFlightList &list);
    void handle(HostId from, const LeaseRequest &request);
    void handle(HostId from, const LeaseAnswer &answer);
    void handle(HostId from, const LeaseRelease &release);
    void handle(HostId from, const HolderSnapshot &snapshot);
    void handle(HostId from, const ClaimRequest &request);
    void handle(HostId from, const ClaimAnswer &answer);
    void handle(HostId from, const ClaimOutcome &outcome);
    /** Ignores the messages that are exchanged over streams if they arrive as datagrams. */
    template <typename Other>
    void handle(HostId, const Other &)
    {
    }
    std::optional<PeerMessage> handleStreamRequest(const PeerHeader &header,
                                                   const PeerMessage &message);

    void startPeer(HostId id);
    void wakePeers();
    /** Sends the present gossip message to at least @p count peers, if any peer is known. */
    void gossipToAtLeast(std::size_t count);
    enum class RenewalScope { All, UnheldShards };
    void renewLeases(RenewalScope scope, TimePoint now);
    /** @return how many replicas that rank before this host can hold the lease of the shard */
    std::size_t countPreferredReplicas(ShardId shard, TimePoint now) const;
    bool canHold(HostId host, TimePoint now) const;
    /** Starts or stops the services of shards whose lease this host has gained or lost. */
    void applyLeaseChanges(TimePoint now);
    void startServices(ShardId shard, TimePoint now);
    void stopServices(ShardId shard);
    void startTakeover(const ServiceId &service, TimePoint now);
    /** Ends the takeovers that are complete or overdue; repeats the queries of all other ones. */
    void continueTakeovers(TimePoint now);
    /**
     * Sends the snapshot of each placed service to the replicas of its shard.
     *
     * @param includeUnchanged  also sends the snapshots that have not changed since they were sent
     */
    void replicateSnapshots(bool includeUnchanged);
    /** Releases the shards whose most preferred replica is able to hold them. */
    void yieldShards(TimePoint now);
    void releaseShard(ShardId shard);
    void updateSelf();
    std::vector<MemberCandidate> candidates(TimePoint now) const;
    /** @return the other host that holds the shard, as a grant of this host or the gossip tells */
    std::optional<HostId> knownHolder(ShardId shard, TimePoint now) const;
    /** @return whether @p host has lately been found not to place services of the shard */
    bool isMarkedNotPlacing(ShardId shard, HostId host, TimePoint now) const;

    asio::any_io_executor m_executor;
    HostSettings m_settings;
    Incarnation m_incarnation;
    LocalPlacers &m_placers;
    Random &m_random;
    Metrics &m_metrics;
    FleetCallbacks m_callbacks;
    Sealer m_sealer;
    MemberTable m_members;
    LeaseSettings m_leaseSettings;
    LeaseGrantor m_leaseGrantor;
    LeaseHolder m_leaseHolder;
    RunAcceptor m_acceptor;
    DatagramTransport<PeerCodec> m_datagrams;
    StreamTransport<PeerCodec> m_streams;
    std::shared_ptr<const Declarations> m_declarations;
    Revision m_revision;
    std::map<HostId, std::unique_ptr<Peer>> m_peers;
    /** Number of peers from which the configuration is being fetched. */
    std::size_t m_configurationFetches = 0;
    std::map<ServiceId, TimedSnapshot> m_receivedSnapshots;
    std::map<ServiceId, TimedSnapshot> m_sentSnapshots;
    std::map<ServiceId, Takeover> m_takeovers;
    std::map<std::pair<ShardId, HostId>, TimePoint> m_notPlacingUntil;
    std::array<bool, shardCount> m_holdsShard{};
    std::array<TimePoint, shardCount> m_heldSince{};
    std::array<TimePoint, shardCount> m_yieldedUntil{};
    std::set<HostId> m_listedHosts;
    bool m_hasListing = false;
    bool m_isLeaving = false;
    TimePoint m_viewInstalledAt{};
    TimePoint m_startedAt = SteadyClock().now();
    Log m_log{"fleet"};
};

} // namespace endivedock
