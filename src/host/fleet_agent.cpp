#include "fleet_agent.h"

#include <algorithm>

namespace endivedock {

namespace {

constexpr Milliseconds talkInterval{1000};
/** Hosts of a region that read the platform's store. */
constexpr std::size_t storeReaders = 2;

GossipSettings gossipSettings()
{
    return {};
}

MemberState firstState(const HostSettings &settings, Incarnation incarnation)
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
                       Metrics &metrics, FleetCallbacks events)
    : m_executor(executor)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_placers(placers)
    , m_random(random)
    , m_metrics(metrics)
    , m_events(std::move(events))
    , m_sealer(settings.peerKeys)
    , m_members(firstState(settings, incarnation), gossipSettings(), SteadyClock().now())
    , m_leaseGrantor(m_leaseSettings, SteadyClock().now())
    , m_holder(m_leaseSettings)
    , m_acceptor(settings.id, incarnation, RunSettings{})
    , m_datagrams(executor, settings.peer, settings.id, incarnation, m_sealer,
                  [this](const PeerHeader &header, PeerMessage message, const Address &from) {
                      take(header, std::move(message), from);
                  })
    , m_streams(executor, settings.peer, settings.id, incarnation, m_sealer,
                [this](const PeerHeader &header, const PeerMessage &question) {
                    return answerStream(header, question);
                })
{
    for (const auto &peer : m_settings.peers)
        m_members.addSeed(peer.id, peer.region, peer.zone, peer.address, SteadyClock().now());
    startTask(m_executor, "gossip", gossip());
    startTask(m_executor, "leases", keepLeases());
}

// --- Knowledge of the others ---

Task<> FleetAgent::gossip()
{
    while (true) {
        const TimePoint now = SteadyClock().now();
        m_members.advanceHeartbeat(now);
        updateSelf();
        const GossipMessage heartbeat = m_members.makeGossipMessage(m_random);
        for (const auto &id : m_members.selectGossipPeers(now, m_random))
            send(id, heartbeat);
        for (const auto &[id, member] : m_members.others())
            startPeer(id);
        co_await sleepFor(gossipSettings().interval);
    }
}

void FleetAgent::updateSelf()
{
    MemberState state = m_members.self();
    state.leaving = m_leaving;
    state.configuration = m_revision;
    state.view = m_acceptor.view().number;
    state.activeView = m_acceptor.isActive() ? m_acceptor.view().number : ViewNumber(0);
    state.heldShards = 0;
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (m_holding[i])
            state.heldShards |= 1ull << i;
    }
    m_members.updateSelf(std::move(state));
}

void FleetAgent::tellSome(std::size_t count)
{
    updateSelf();
    const GossipMessage heartbeat = m_members.makeGossipMessage(m_random);
    std::size_t told = 0;
    while (told < count) {
        const auto peers = m_members.selectGossipPeers(SteadyClock().now(), m_random);
        if (peers.empty())
            return;
        for (const auto &id : peers)
            send(id, heartbeat);
        told += peers.size();
    }
}

void FleetAgent::handle(HostId, const GossipMessage &heartbeat)
{
    const auto changed = m_members.merge(heartbeat, SteadyClock().now());
    for (const auto &id : changed) {
        startPeer(id);
        const auto peer = m_peers.find(id);
        if (peer != m_peers.end())
            peer->second->wake.cancel();
    }
}

void FleetAgent::startPeer(HostId id)
{
    auto &peer = m_peers[id];
    if (!peer)
        peer = std::make_unique<Peer>(m_executor);
    if (peer->running)
        return;
    peer->running = true;
    startTask(m_executor, "peer", talkTo(id));
}

void FleetAgent::wakePeers()
{
    for (auto &[id, peer] : m_peers)
        peer->wake.cancel();
}

Task<> FleetAgent::talkTo(HostId id)
{
    Peer &peer = *m_peers.at(id);
    while (const MemberState *known = m_members.find(id)) {
        const bool alive = m_members.liveness(id, SteadyClock().now()) != Liveness::Dead;
        const bool newer =
                known->configuration > m_revision || known->view > m_acceptor.view().number;
        try {
            if (alive && newer)
                co_await fetchCopy(*known);
            if (alive)
                co_await collectRecords(id);
        } catch (const PeerError &error) {
            m_log.debug("A peer did not answer", {field("peer", id), field("error", error.what())});
        }
        boost::system::error_code ignored;
        peer.wake.expires_after(talkInterval);
        co_await peer.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    peer.running = false;
}

Task<> FleetAgent::fetchCopy(MemberState peer)
{
    PeerMessage question = ConfigurationRequest{m_revision};
    const PeerMessage answer =
            co_await m_streams.request(peer.id, peer.address, std::move(question));
    if (const auto *copy = std::get_if<ConfigurationUpdate>(&answer))
        m_events.onCopy(*copy);
}

Task<> FleetAgent::collectRecords(HostId id)
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
    PeerMessage question = std::move(request);
    const PeerMessage answer = co_await m_streams.request(id, *address, std::move(question));
    if (const auto *records = std::get_if<RecordSyncAnswer>(&answer))
        m_acceptor.mergeRecords(id, *records, SteadyClock().now());
    if (m_acceptor.isActive()) {
        m_log.info("Run records are complete", {field("view", m_acceptor.view().number),
                                                field("records", m_acceptor.recordCount())});
        tellSome(1);
    }
}

std::optional<PeerMessage> FleetAgent::answerStream(const PeerHeader &header,
                                                    const PeerMessage &question)
{
    if (std::holds_alternative<ConfigurationRequest>(question))
        return m_events.currentCopy();
    if (const auto *request = std::get_if<RecordSyncRequest>(&question)) {
        adoptView(request->view);
        const ReplicaIncarnation asker{header.sender, header.incarnation};
        return m_acceptor.handleSyncRequest(*request, asker, SteadyClock().now());
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

void FleetAgent::take(const PeerHeader &header, PeerMessage message, const Address &)
{
    std::visit([this, &header](const auto &typed) { handle(header.sender, typed); }, message);
}

void FleetAgent::handle(HostId from, const PlacementRequest &request)
{
    const ShardId shard = shardOf(request.service);
    const TimePoint now = SteadyClock().now();
    if (!m_holder.holds(shard, now) || !m_placers.isPlacing(request.service)) {
        send(from, PlacementAnswer{request.attempt, request.service, request.transmissionNumber,
                                   NotPlacingHost{}});
        return;
    }
    m_placers.request(request, now);
}

void FleetAgent::handle(HostId, const PlacementAnswer &answer)
{
    m_events.onPlacementAnswer(answer);
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

void FleetAgent::handle(HostId, const AttemptReportAck &receipt)
{
    m_events.onReceipt(receipt);
}

void FleetAgent::handle(HostId from, const InFlightQuery &request)
{
    send(from, m_events.inFlight(request.service));
}

void FleetAgent::handle(HostId from, const InFlightList &list)
{
    const auto takeover = m_takeovers.find(list.service);
    Placer *placer = m_placers.placer(list.service);
    if (takeover == m_takeovers.end() || placer == nullptr)
        return;
    if (takeover->second.awaited.erase(from) > 0)
        placer->restoreInFlight(list, SteadyClock().now());
}

void FleetAgent::handle(HostId from, const ClaimRequest &request)
{
    const TimePoint now = SteadyClock().now();
    send(from, m_acceptor.claim(request, connected(now), now));
}

void FleetAgent::handle(HostId from, const ClaimAnswer &answer)
{
    m_events.onClaimAnswer(from, answer);
}

void FleetAgent::handle(HostId, const ClaimOutcome &finish)
{
    m_acceptor.finish(finish, SteadyClock().now());
}

// --- The view ---

void FleetAgent::adoptView(const View &view)
{
    if (view.number <= m_acceptor.view().number)
        return;
    const TimePoint now = SteadyClock().now();
    m_acceptor.installView(view, now);
    m_leaseGrantor.installView(m_acceptor.map(), m_settings.id, view.number, now);
    m_holder.installView(m_acceptor.map(), m_settings.id);
    for (const auto &member : view.members)
        m_members.addSeed(member.id, member.region, member.zone, member.address, now);
    m_viewAdoptedAt = now;
    m_log.info("View adopted", {field("view", view.number), field("members", view.members.size())});
    tellSome(urgentGossipFanout);
    wakePeers();
}

bool FleetAgent::connected(TimePoint now) const
{
    const auto &members = m_acceptor.view().members;
    const auto heard = std::count_if(members.begin(), members.end(), [&](const ViewMember &member) {
        return m_members.isLive(member.id, now);
    });
    return static_cast<std::size_t>(heard) * 2 > members.size();
}

void FleetAgent::listingChanged(const std::vector<ListedHost> &hosts)
{
    m_listed.clear();
    m_listingKnown = true;
    for (const auto &host : hosts) {
        m_listed.insert(host.id);
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
        candidate.dead = liveness == Liveness::Dead;
        candidate.leaving = state.leaving;
        candidate.listed = !m_listingKnown || m_listed.contains(state.id);
        candidate.activeView = state.activeView;
        result.push_back(std::move(candidate));
    };
    add(m_members.self());
    for (const auto &[id, member] : m_members.others())
        add(member.state);
    return result;
}

std::optional<View> FleetAgent::proposal() const
{
    const TimePoint now = SteadyClock().now();
    if (m_leaving)
        return std::nullopt;
    // One host proposes, lest all write at once; if two do, the store takes one.
    for (const auto &[id, member] : m_members.others()) {
        if (id < m_settings.id && m_members.isLive(id, now) && !member.state.leaving)
            return std::nullopt;
    }
    const bool settled = now - m_viewAdoptedAt >= RunSettings{}.recordRetention;
    return proposeView(m_acceptor.view(), candidates(now), settled);
}

bool FleetAgent::readsStore() const
{
    const TimePoint now = SteadyClock().now();
    std::size_t before = 0;
    for (const auto &[id, member] : m_members.others()) {
        const bool sameRegion = member.state.region == m_settings.region;
        if (sameRegion && id < m_settings.id && m_members.isLive(id, now) && !member.state.leaving)
            ++before;
    }
    return before < storeReaders;
}

void FleetAgent::configurationChanged(std::shared_ptr<const Declarations> declarations,
                                      Revision revision)
{
    m_declarations = std::move(declarations);
    m_revision = revision;
    const TimePoint now = SteadyClock().now();
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (m_holding[i])
            startServices(shardAt(i), now);
    }
    tellSome(urgentGossipFanout);
}

} // namespace endivedock
