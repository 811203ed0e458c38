#include "fleet_agent.h"

#include <algorithm>
#include <utility>

namespace endivedock {

namespace {

constexpr Milliseconds peerSyncInterval{1000};
/**
 * A newer configuration is fetched from this many peers at a time: a second one responds if the
 * first one does not.
 */
constexpr std::size_t maxConfigurationFetches = 2;
/** Only this many hosts read the store, so that its load does not grow with the fleet. */
constexpr std::size_t storeReadersPerRegion = 2;

GossipSettings gossipSettings()
{
    return {};
}

MemberState initialState(const HostSettings &settings, Incarnation incarnation)
{
    MemberState state;
    state.id = settings.id;
    state.region = settings.region;
    state.zone = settings.zone;
    state.address = settings.peer;
    state.incarnation = incarnation;
    state.heartbeatCounter = 1;
    return state;
}

} // namespace

FleetAgent::FleetAgent(asio::any_io_executor executor, const HostSettings &settings,
                       Incarnation incarnation, LocalPlacers &placers, Random &random,
                       Metrics &metrics, FleetCallbacks callbacks)
    : m_executor(executor)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_placers(placers)
    , m_random(random)
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_sealer(settings.peerKeys)
    , m_members(initialState(settings, incarnation), gossipSettings(), SteadyClock().now())
    , m_leaseGrantor(m_leaseSettings, SteadyClock().now())
    , m_leaseHolder(m_leaseSettings)
    , m_acceptor(settings.id, incarnation, RunSettings{})
    , m_datagrams(executor, settings.peer, settings.id, incarnation, m_sealer,
                  [this](const PeerHeader &header, PeerMessage message, const Address &from) {
                      dispatch(header, std::move(message), from);
                  })
    , m_streams(executor, settings.peer, settings.id, incarnation, m_sealer,
                [this](const PeerHeader &header, const PeerMessage &message) {
                    return handleStreamRequest(header, message);
                })
{
    for (const auto &peer : m_settings.peers)
        m_members.addSeed(peer.id, peer.region, peer.zone, peer.address, SteadyClock().now());
    startTask(m_executor, "gossip", gossip());
    startTask(m_executor, "leases", maintainLeases());
}

// --- Gossip and synchronisation with peers ---

Task<> FleetAgent::gossip()
{
    while (true) {
        const TimePoint now = SteadyClock().now();
        m_members.advanceHeartbeat(now);
        updateSelf();
        const GossipMessage gossipMessage = m_members.makeGossipMessage(m_random);
        for (const auto &id : m_members.selectGossipPeers(now, m_random))
            send(id, gossipMessage);
        for (const auto &[id, member] : m_members.others())
            startPeer(id);
        co_await sleepFor(gossipSettings().interval);
    }
}

void FleetAgent::updateSelf()
{
    MemberState state = m_members.self();
    state.isLeaving = m_isLeaving;
    state.configuration = m_revision;
    state.view = m_acceptor.view().number;
    state.activeView = m_acceptor.isActive() ? m_acceptor.view().number : ViewNumber(0);
    state.heldShards = 0;
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (m_holdsShard[i])
            state.heldShards |= 1ull << i;
    }
    m_members.updateSelf(std::move(state));
}

void FleetAgent::gossipToAtLeast(std::size_t count)
{
    updateSelf();
    const GossipMessage gossipMessage = m_members.makeGossipMessage(m_random);
    std::size_t sentTo = 0;
    while (sentTo < count) {
        const auto peers = m_members.selectGossipPeers(SteadyClock().now(), m_random);
        if (peers.empty())
            return;
        for (const auto &id : peers)
            send(id, gossipMessage);
        sentTo += peers.size();
    }
}

void FleetAgent::handle(HostId, const GossipMessage &gossipMessage)
{
    const auto changedMembers = m_members.merge(gossipMessage, SteadyClock().now());
    for (const auto &id : changedMembers) {
        startPeer(id);
        const auto peer = m_peers.find(id);
        if (peer != m_peers.end())
            peer->second->wakeTimer.cancel();
    }
}

void FleetAgent::startPeer(HostId id)
{
    auto &peer = m_peers[id];
    if (!peer)
        peer = std::make_unique<Peer>(m_executor);
    if (peer->isRunning)
        return;
    peer->isRunning = true;
    startTask(m_executor, "peer", syncWithPeer(id));
}

void FleetAgent::wakePeers()
{
    for (auto &[id, peer] : m_peers)
        peer->wakeTimer.cancel();
}

Task<> FleetAgent::syncWithPeer(HostId id)
{
    Peer &peer = *m_peers.at(id);
    while (const MemberState *known = m_members.find(id)) {
        const bool isAlive = m_members.liveness(id, SteadyClock().now()) != Liveness::Dead;
        const bool hasNewerState =
                known->configuration > m_revision || known->view > m_acceptor.view().number;
        bool isFetching =
                isAlive && hasNewerState && m_configurationFetches < maxConfigurationFetches;
        m_configurationFetches += isFetching ? 1 : 0;
        const auto endFetch = [this, &isFetching] {
            m_configurationFetches -= std::exchange(isFetching, false) ? 1 : 0;
        };
        try {
            if (isFetching)
                co_await fetchConfiguration(*known);
            endFetch();
            if (isAlive)
                co_await collectRunRecords(id);
        } catch (const PeerError &error) {
            m_log.debug("Peer synchronisation failed",
                        {field("peer", id), field("error", error.what())});
        }
        endFetch();
        boost::system::error_code ignored;
        peer.wakeTimer.expires_after(peerSyncInterval);
        co_await peer.wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    peer.isRunning = false;
}

Task<> FleetAgent::fetchConfiguration(MemberState peer)
{
    PeerMessage message = ConfigurationRequest{m_revision};
    const PeerMessage answer =
            co_await m_streams.request(peer.id, peer.address, std::move(message));
    if (const auto *update = std::get_if<ConfigurationUpdate>(&answer))
        m_callbacks.onConfigurationUpdate(*update);
}

Task<> FleetAgent::collectRunRecords(HostId id)
{
    RecordSyncRequest request{m_acceptor.view(), {}};
    std::optional<Address> address;
    for (const auto &shard : m_acceptor.recoveringShards()) {
        for (const auto &source : m_acceptor.syncSources(shard)) {
            if (source.id != id)
                continue;
            address = source.address;
            request.shards.push_back(shard);
        }
    }
    if (!address)
        co_return;
    PeerMessage message = std::move(request);
    const PeerMessage answer = co_await m_streams.request(id, *address, std::move(message));
    if (const auto *records = std::get_if<RecordSyncAnswer>(&answer))
        m_acceptor.mergeRecords(id, *records, SteadyClock().now());
    if (m_acceptor.isActive()) {
        m_log.info("Run records collected", {field("view", m_acceptor.view().number),
                                             field("records", m_acceptor.recordCount())});
        gossipToAtLeast(1);
    }
}

std::optional<PeerMessage> FleetAgent::handleStreamRequest(const PeerHeader &header,
                                                           const PeerMessage &message)
{
    if (std::holds_alternative<ConfigurationRequest>(message))
        return m_callbacks.makeConfigurationUpdate();
    if (const auto *request = std::get_if<RecordSyncRequest>(&message)) {
        installView(request->view);
        const ReplicaIncarnation requester{header.sender, header.incarnation};
        return m_acceptor.handleSyncRequest(*request, requester, SteadyClock().now());
    }
    return std::nullopt;
}

// --- Messages ---

void FleetAgent::send(HostId host, const PeerMessage &message)
{
    const MemberState *member = m_members.find(host);
    if (member != nullptr && host != m_settings.id)
        m_datagrams.send(host, member->address, message);
}

void FleetAgent::dispatch(const PeerHeader &header, PeerMessage message, const Address &)
{
    std::visit([this, &header](const auto &typedMessage) { handle(header.sender, typedMessage); },
               message);
}

void FleetAgent::handle(HostId from, const PlacementRequest &request)
{
    const ShardId shard = shardOf(request.service);
    const TimePoint now = SteadyClock().now();
    if (!m_leaseHolder.holds(shard, now) || !m_placers.isPlacing(request.service)) {
        send(from, PlacementAnswer{request.attempt, request.service, request.transmissionNumber,
                                   NotPlacingHost{}});
        return;
    }
    m_placers.request(request, now);
}

void FleetAgent::handle(HostId, const PlacementAnswer &answer)
{
    m_callbacks.onPlacementAnswer(answer);
}

void FleetAgent::handle(HostId, const PlacementCancel &cancel)
{
    m_placers.cancel(cancel, SteadyClock().now());
}

void FleetAgent::handle(HostId from, const AttemptReport &report)
{
    if (!m_placers.isPlacing(report.service))
        return;
    m_placers.finish(report, SteadyClock().now());
    send(from, AttemptReportAck{report.attempt, report.service});
}

void FleetAgent::handle(HostId, const AttemptReportAck &ack)
{
    m_callbacks.onReportAck(ack);
}

void FleetAgent::handle(HostId from, const InFlightQuery &query)
{
    send(from, m_callbacks.inFlight(query.service));
}

void FleetAgent::handle(HostId from, const InFlightList &list)
{
    const auto takeover = m_takeovers.find(list.service);
    Placer *placer = m_placers.placer(list.service);
    if (takeover == m_takeovers.end() || placer == nullptr)
        return;
    if (takeover->second.awaitedHosts.erase(from) > 0)
        placer->restoreInFlight(list, SteadyClock().now());
}

void FleetAgent::handle(HostId from, const ClaimRequest &request)
{
    const TimePoint now = SteadyClock().now();
    send(from, m_acceptor.claim(request, isInMajority(now), now));
}

void FleetAgent::handle(HostId from, const ClaimAnswer &answer)
{
    m_callbacks.onClaimAnswer(from, answer);
}

void FleetAgent::handle(HostId, const ClaimOutcome &outcome)
{
    m_acceptor.finish(outcome, SteadyClock().now());
}

// --- View and configuration ---

void FleetAgent::installView(const View &view)
{
    if (view.number <= m_acceptor.view().number)
        return;
    const TimePoint now = SteadyClock().now();
    m_acceptor.installView(view, now);
    m_leaseGrantor.installView(m_acceptor.map(), m_settings.id, view.number, now);
    m_leaseHolder.installView(m_acceptor.map(), m_settings.id);
    for (const auto &member : view.members)
        m_members.addSeed(member.id, member.region, member.zone, member.address, now);
    m_viewInstalledAt = now;
    m_log.info("View installed",
               {field("view", view.number), field("members", view.members.size())});
    gossipToAtLeast(urgentGossipFanout);
    wakePeers();
}

bool FleetAgent::isInMajority(TimePoint now) const
{
    const auto &members = m_acceptor.view().members;
    const auto liveMembers =
            std::count_if(members.begin(), members.end(), [&](const ViewMember &member) {
                return m_members.isLive(member.id, now);
            });
    return static_cast<std::size_t>(liveMembers) * 2 > members.size();
}

void FleetAgent::applyDirectoryListing(const std::vector<ListedHost> &hosts)
{
    m_listedHosts.clear();
    m_hasListing = true;
    for (const auto &host : hosts) {
        m_listedHosts.insert(host.id);
        m_members.addSeed(host.id, host.region, host.zone, host.peerAddress, SteadyClock().now());
    }
}

std::vector<MemberCandidate> FleetAgent::candidates(TimePoint now) const
{
    std::vector<MemberCandidate> result;
    const auto add = [&](const MemberState &state) {
        const Liveness liveness = m_members.liveness(state.id, now);
        MemberCandidate candidate;
        candidate.member = {state.id, state.region, state.zone, state.address, state.incarnation};
        candidate.isLive = liveness == Liveness::Live;
        candidate.isDead = liveness == Liveness::Dead;
        candidate.isLeaving = state.isLeaving;
        candidate.isListed = !m_hasListing || m_listedHosts.contains(state.id);
        candidate.activeView = state.activeView;
        result.push_back(std::move(candidate));
    };
    add(m_members.self());
    for (const auto &[id, member] : m_members.others())
        add(member.state);
    return result;
}

std::optional<View> FleetAgent::viewToPropose() const
{
    const TimePoint now = SteadyClock().now();
    if (m_isLeaving)
        return std::nullopt;
    // Only the live host with the smallest id proposes, so that not all write at once. If two hosts
    // propose, the compare-and-swap in the store accepts one.
    for (const auto &[id, member] : m_members.others()) {
        if (id < m_settings.id && m_members.isLive(id, now) && !member.state.isLeaving)
            return std::nullopt;
    }
    const bool hasSettled = now - m_viewInstalledAt >= RunSettings{}.recordRetention;
    return proposeView(m_acceptor.view(), candidates(now), hasSettled);
}

bool FleetAgent::readsStore() const
{
    const TimePoint now = SteadyClock().now();
    std::size_t readersBefore = 0;
    for (const auto &[id, member] : m_members.others()) {
        const bool isSameRegion = member.state.region == m_settings.region;
        if (isSameRegion && id < m_settings.id && m_members.isLive(id, now) &&
            !member.state.isLeaving)
            ++readersBefore;
    }
    return readersBefore < storeReadersPerRegion;
}

void FleetAgent::applyConfiguration(std::shared_ptr<const Declarations> declarations,
                                    Revision revision)
{
    m_declarations = std::move(declarations);
    m_revision = revision;
    const TimePoint now = SteadyClock().now();
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (m_holdsShard[i])
            startServices(shardAt(i), now);
    }
    gossipToAtLeast(urgentGossipFanout);
}

} // namespace endivedock
