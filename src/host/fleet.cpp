#include "fleet.h"

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
    state.beat = 1;
    return state;
}

} // namespace

Fleet::Fleet(asio::any_io_executor executor, const HostSettings &settings, Incarnation incarnation,
             PlacementHost &placers, Random &random, Metrics &metrics, FleetEvents events)
    : m_executor(executor)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_placers(placers)
    , m_random(random)
    , m_metrics(metrics)
    , m_events(std::move(events))
    , m_sealer(settings.peerKeys)
    , m_members(firstState(settings, incarnation), gossipSettings(), SteadyClock().now())
    , m_witness(m_leaseSettings, SteadyClock().now())
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

Task<> Fleet::gossip()
{
    while (true) {
        const TimePoint now = SteadyClock().now();
        m_members.beat(now);
        updateSelf();
        const Heartbeat heartbeat = m_members.makeHeartbeat(m_random);
        for (const auto &id : m_members.gossipPeers(now, m_random))
            send(id, heartbeat);
        for (const auto &[id, member] : m_members.others())
            startPeer(id);
        co_await sleepFor(gossipSettings().interval);
    }
}

void Fleet::updateSelf()
{
    MemberState state = m_members.self();
    state.leaving = m_leaving;
    state.configuration = m_revision;
    state.view = m_acceptor.view().number;
    state.activeView = m_acceptor.active() ? m_acceptor.view().number : ViewNumber(0);
    state.heldShards = 0;
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (m_holding[i])
            state.heldShards |= 1ull << i;
    }
    m_members.updateSelf(std::move(state));
}

void Fleet::tellSome(std::size_t count)
{
    updateSelf();
    const Heartbeat heartbeat = m_members.makeHeartbeat(m_random);
    std::size_t told = 0;
    while (told < count) {
        const auto peers = m_members.gossipPeers(SteadyClock().now(), m_random);
        if (peers.empty())
            return;
        for (const auto &id : peers)
            send(id, heartbeat);
        told += peers.size();
    }
}

void Fleet::handle(HostId, const Heartbeat &heartbeat)
{
    const auto changed = m_members.merge(heartbeat, SteadyClock().now());
    for (const auto &id : changed) {
        startPeer(id);
        const auto peer = m_peers.find(id);
        if (peer != m_peers.end())
            peer->second->wake.cancel();
    }
}

void Fleet::startPeer(HostId id)
{
    auto &peer = m_peers[id];
    if (!peer)
        peer = std::make_unique<Peer>(m_executor);
    if (peer->running)
        return;
    peer->running = true;
    startTask(m_executor, "peer", talkTo(id));
}

void Fleet::wakePeers()
{
    for (auto &[id, peer] : m_peers)
        peer->wake.cancel();
}

Task<> Fleet::talkTo(HostId id)
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

Task<> Fleet::fetchCopy(MemberState peer)
{
    PeerMessage question = ConfigurationRequest{m_revision};
    const PeerMessage answer = co_await m_streams.ask(peer.id, peer.address, std::move(question));
    if (const auto *copy = std::get_if<FleetCopy>(&answer))
        m_events.onCopy(*copy);
}

Task<> Fleet::collectRecords(HostId id)
{
    RecordSyncRequest request{m_acceptor.view(), {}};
    std::optional<Address> address;
    for (const auto &shard : m_acceptor.recovering()) {
        for (const auto &source : m_acceptor.sources(shard)) {
            if (source.id != id)
                continue;
            address = source.address;
            request.shards.push_back(shard);
        }
    }
    if (!address)
        co_return;
    PeerMessage question = std::move(request);
    const PeerMessage answer = co_await m_streams.ask(id, *address, std::move(question));
    if (const auto *records = std::get_if<RecordSyncAnswer>(&answer))
        m_acceptor.absorb(id, *records, SteadyClock().now());
    if (m_acceptor.active()) {
        m_log.info("Run records are complete", {field("view", m_acceptor.view().number),
                                                field("records", m_acceptor.recordCount())});
        tellSome(1);
    }
}

std::optional<PeerMessage> Fleet::answerStream(const PeerHeader &header,
                                               const PeerMessage &question)
{
    if (std::holds_alternative<ConfigurationRequest>(question))
        return m_events.currentCopy();
    if (const auto *request = std::get_if<RecordSyncRequest>(&question)) {
        adoptView(request->view);
        const ReplicaLife asker{header.sender, header.incarnation};
        return m_acceptor.answerSync(*request, asker, SteadyClock().now());
    }
    return std::nullopt;
}

// --- Messages ---

void Fleet::send(HostId host, const PeerMessage &message)
{
    const MemberState *member = m_members.find(host);
    if (member != nullptr && host != m_settings.id)
        m_datagrams.send(host, member->address, message);
}

void Fleet::take(const PeerHeader &header, PeerMessage message, const Address &)
{
    std::visit([this, &header](const auto &typed) { handle(header.sender, typed); }, message);
}

void Fleet::handle(HostId from, const PlacementRequest &request)
{
    const ShardId shard = shardOf(request.service);
    const TimePoint now = SteadyClock().now();
    if (!m_holder.holds(shard, now) || !m_placers.places(request.service)) {
        send(from,
             PlacementAnswer{request.attempt, request.service, request.sending, NotPlacing{}});
        return;
    }
    m_placers.request(request, now);
}

void Fleet::handle(HostId, const PlacementAnswer &answer)
{
    m_events.onPlacementAnswer(answer);
}

void Fleet::handle(HostId, const PlacementCancel &cancel)
{
    m_placers.cancel(cancel, SteadyClock().now());
}

void Fleet::handle(HostId from, const AttemptReport &report)
{
    if (!m_placers.places(report.service))
        return;
    m_placers.finish(report, SteadyClock().now());
    send(from, AttemptReportReceipt{report.attempt, report.service});
}

void Fleet::handle(HostId, const AttemptReportReceipt &receipt)
{
    m_events.onReceipt(receipt);
}

void Fleet::handle(HostId from, const InFlightRequest &request)
{
    send(from, m_events.inFlight(request.service));
}

void Fleet::handle(HostId from, const InFlightList &list)
{
    const auto takeover = m_takeovers.find(list.service);
    Placer *placer = m_placers.placer(list.service);
    if (takeover == m_takeovers.end() || placer == nullptr)
        return;
    if (takeover->second.awaited.erase(from) > 0)
        placer->adopt(list, SteadyClock().now());
}

void Fleet::handle(HostId from, const ClaimRequest &request)
{
    const TimePoint now = SteadyClock().now();
    send(from, m_acceptor.claim(request, connected(now), now));
}

void Fleet::handle(HostId from, const ClaimAnswer &answer)
{
    m_events.onClaimAnswer(from, answer);
}

void Fleet::handle(HostId, const ClaimFinish &finish)
{
    m_acceptor.finish(finish, SteadyClock().now());
}

// --- The view ---

void Fleet::adoptView(const View &view)
{
    if (view.number <= m_acceptor.view().number)
        return;
    const TimePoint now = SteadyClock().now();
    m_acceptor.adopt(view, now);
    m_witness.adopt(m_acceptor.map(), m_settings.id, view.number, now);
    m_holder.adopt(m_acceptor.map(), m_settings.id);
    for (const auto &member : view.members)
        m_members.addSeed(member.id, member.region, member.zone, member.address, now);
    m_viewAdoptedAt = now;
    m_log.info("View adopted", {field("view", view.number), field("members", view.members.size())});
    tellSome(rumourFanout);
    wakePeers();
}

bool Fleet::connected(TimePoint now) const
{
    const auto &members = m_acceptor.view().members;
    const auto heard = std::count_if(members.begin(), members.end(), [&](const ViewMember &member) {
        return m_members.live(member.id, now);
    });
    return static_cast<std::size_t>(heard) * 2 > members.size();
}

void Fleet::listingChanged(const std::vector<ListedHost> &hosts)
{
    m_listed.clear();
    m_listingKnown = true;
    for (const auto &host : hosts) {
        m_listed.insert(host.id);
        m_members.addSeed(host.id, host.region, host.zone, host.peerAddress, SteadyClock().now());
    }
}

std::vector<Candidate> Fleet::candidates(TimePoint now) const
{
    std::vector<Candidate> result;
    const auto add = [&](const MemberState &state) {
        const Liveness liveness = m_members.liveness(state.id, now);
        Candidate candidate;
        candidate.member = {state.id, state.region, state.zone, state.address, state.incarnation};
        candidate.live = liveness == Liveness::Live;
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

std::optional<View> Fleet::proposal() const
{
    const TimePoint now = SteadyClock().now();
    if (m_leaving)
        return std::nullopt;
    // One host proposes, lest all write at once; if two do, the store takes one.
    for (const auto &[id, member] : m_members.others()) {
        if (id < m_settings.id && m_members.live(id, now) && !member.state.leaving)
            return std::nullopt;
    }
    const bool settled = now - m_viewAdoptedAt >= RunSettings{}.memory;
    return proposeView(m_acceptor.view(), candidates(now), settled);
}

bool Fleet::readsStore() const
{
    const TimePoint now = SteadyClock().now();
    std::size_t before = 0;
    for (const auto &[id, member] : m_members.others()) {
        const bool sameRegion = member.state.region == m_settings.region;
        if (sameRegion && id < m_settings.id && m_members.live(id, now) && !member.state.leaving)
            ++before;
    }
    return before < storeReaders;
}

void Fleet::configurationChanged(std::shared_ptr<const Declarations> declarations,
                                 Revision revision)
{
    m_declarations = std::move(declarations);
    m_revision = revision;
    const TimePoint now = SteadyClock().now();
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (m_holding[i])
            startServices(shardAt(i), now);
    }
    tellSome(rumourFanout);
}

} // namespace endivedock
