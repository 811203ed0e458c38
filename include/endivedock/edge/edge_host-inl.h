#pragma once

#include "endivedock/edge/edge_host.h"
#include "endivedock/edge/shared_placement-inl.h"
#include "endivedock/gateway/gateway_server-inl.h"

#include <algorithm>

namespace endivedock {

namespace edge_detail {

/** Hosts tell each other what they have in flight this often; see docs/DESIGN.md. */
constexpr Milliseconds newsInterval{100};
/** Probes are started this often. */
constexpr Milliseconds tickInterval{25};
/** Requests that wait are looked at again this often, besides when a target gets room. */
constexpr Milliseconds waitingInterval{10};
/** A waiting watch is one call; long waits keep their number low. */
constexpr Milliseconds watchTime{10'000};
/** Changes that come within this time are fetched together. */
constexpr Milliseconds watchPause{60};
constexpr Milliseconds storeRetry{250};
/** The store counts as lost after this time without an answer that was due. */
constexpr Milliseconds storePatience{700};
constexpr Milliseconds registrationTerm{12'000};
/** Renewals also show whether the store answers. */
constexpr Milliseconds renewalInterval{2500};
constexpr Milliseconds peerCheck{300};
/** The relay writes a verdict at once; if none is seen after this time the others do. */
constexpr Milliseconds verdictPatience{700};
constexpr Milliseconds verdictRetry{1500};
constexpr Milliseconds drainCheck{20};

} // namespace edge_detail

template <EdgePlatform P>
EdgeHost<P>::EdgeHost(asio::io_context &context, EdgeSettings settings)
    : m_context(context)
    , m_executor(context.get_executor())
    , m_settings(std::move(settings))
    , m_self(hostIdOf(m_settings.name))
    , m_registry(&P::read)
    , m_turns(drawUnit(m_random))
    , m_watchStore(m_executor, m_settings.store)
    , m_callStore(m_executor, m_settings.store)
    , m_sealer({m_settings.peerKey})
    , m_peers(m_executor, m_settings.peer, m_self,
              Incarnation(static_cast<std::uint64_t>(wallMilliseconds())), m_sealer,
              [this](const PeerHeader &header, EdgeMessage message, const Address &) {
                  take(header, message);
              })
    , m_placement(m_executor, m_self, m_settings.balancing, m_random, m_metrics, m_peers)
    , m_streams(m_executor, m_settings.peer, m_self,
                Incarnation(static_cast<std::uint64_t>(wallMilliseconds())), m_sealer,
                [this](const PeerHeader &, const EdgeMessage &question) {
                    std::optional<EdgeMessage> answer;
                    const auto *request = std::get_if<RegistryRequest>(&question);
                    if (request && m_registry.revision() > request->known)
                        answer = m_registry.copy();
                    return answer;
                })
    , m_prober(m_executor, &P::readProbe,
               [this](const ServiceId &service, const TargetId &target,
                      const std::optional<TargetProbe> &probe, const std::string &failure) {
                   takeProbe(service, target, probe, failure);
               })
    , m_gateway(m_executor, m_settings.callers, {m_self, m_metrics, m_random},
                P::makeFront({m_registry, m_turns}), m_placement, m_noKeys)
    , m_readiness(m_executor, m_settings.readiness,
                  [this](HttpCall call) { return answerReadiness(std::move(call)); })
    , m_storeAnsweredAt(SteadyClock().now())
{
    if (m_settings.admin)
        m_admin.emplace(m_executor, *m_settings.admin,
                        [this](HttpCall call) { return answerAdmin(std::move(call)); });
    startTask(m_executor, "store", followStore());
    startTask(m_executor, "registration", keepRegistered());
    startTask(m_executor, "news", tradeNews());
    startTask(m_executor, "peers", followPeers());
    m_log.info("Started",
               {field("name", m_settings.name), field("zone", m_settings.zone),
                field("callers", formatAddress(m_settings.callers)),
                field("peer", formatAddress(m_settings.peer)),
                field("store", formatAddress(m_settings.store))});
}

template <EdgePlatform P>
bool EdgeHost<P>::ready() const
{
    return m_registry.table() != nullptr && !m_leaving;
}

template <EdgePlatform P>
void EdgeHost<P>::reload(const EdgeSettings &settings)
{
    m_log.info("Settings read again", {field("name", settings.name)});
}

// --- The platform's store ---

template <EdgePlatform P>
void EdgeHost<P>::storeAnswered()
{
    const TimePoint now = SteadyClock().now();
    if (m_storeLost) {
        m_storeLost = false;
        m_registry.storeReturned(now);
        m_log.info("Store regained", {field("away_ms", toMilliseconds(now - m_storeAnsweredAt).count()),
                                      field("revision", m_registry.revision())});
    }
    m_storeAnsweredAt = now;
}

template <EdgePlatform P>
void EdgeHost<P>::storeFailed(const std::string &error)
{
    m_metrics.count("endivedock_store_failures_total");
    if (!m_storeLost)
        m_log.warning("Store lost", {field("error", error),
                                     field("revision", m_registry.revision())});
    m_storeLost = true;
}

template <EdgePlatform P>
Task<> EdgeHost<P>::followStore()
{
    bool listed = false;
    while (true) {
        bool failed = false;
        try {
            if (!listed) {
                const StoreSnapshot snapshot = co_await m_watchStore.list("");
                storeAnswered();
                listed = true;
                if (m_registry.applySnapshot(snapshot, SteadyClock().now()))
                    registryChanged();
            }
            const StoreChanges changes = co_await m_watchStore.watch(
                    "", m_registry.revision(), edge_detail::watchTime);
            storeAnswered();
            m_registry.applyChanges(changes, SteadyClock().now());
            if (!changes.changes.empty()) {
                registryChanged();
                co_await sleepFor(edge_detail::watchPause);
            }
        } catch (const HistoryGone &) {
            m_log.info("The store's history is gone; listing again",
                       {field("revision", m_registry.revision())});
            listed = false;
        } catch (const Error &error) {
            storeFailed(error.what());
            failed = true;
        }
        if (failed)
            co_await sleepFor(edge_detail::storeRetry +
                              Milliseconds(drawBelow(m_random, edge_detail::storeRetry.count())));
    }
}

template <EdgePlatform P>
Task<> EdgeHost<P>::keepRegistered()
{
    while (!m_leaving) {
        try {
            if (!m_lease)
                co_await registerOnce();
            else if (!co_await m_callStore.keepAlive(*m_lease))
                m_lease.reset();
            storeAnswered();
            if (!m_lease)
                continue;
        } catch (const Error &error) {
            storeFailed(error.what());
        }
        co_await sleepFor(edge_detail::renewalInterval);
    }
}

template <EdgePlatform P>
Task<> EdgeHost<P>::registerOnce()
{
    const LeaseId lease = co_await m_callStore.grantLease(edge_detail::registrationTerm);
    const RegisteredHost host{m_self, m_settings.peer};
    const StoreEntry entry = P::writeHost(m_settings.name, host);
    const auto present = co_await m_callStore.get(entry.key);
    std::vector<Swap> swaps;
    swaps.push_back({entry.key, present ? present->modified : Revision(0), entry.value});
    const SwapResult result = co_await m_callStore.compareAndSwap(std::move(swaps), lease);
    if (!result.swapped)
        throw StoreUnavailable("the host's own entry changed meanwhile");
    m_lease = lease;
    m_log.info("Registered", {field("revision", result.revision)});
}

template <EdgePlatform P>
void EdgeHost<P>::registryChanged()
{
    const TimePoint now = SteadyClock().now();
    m_peers.setHosts(m_registry.hosts(), m_self);
    m_placement.follow(m_registry, m_peers.hosts(), now);
    followOrders(now);
}

// --- Other hosts ---

template <EdgePlatform P>
Task<> EdgeHost<P>::tradeNews()
{
    TimePoint nextNews = SteadyClock().now();
    while (true) {
        const Milliseconds interval = m_placement.anyWaiting() ? edge_detail::waitingInterval
                                                               : edge_detail::tickInterval;
        const TimePoint due = SteadyClock().now() + interval;
        co_await sleepFor(interval);
        const TimePoint woken = SteadyClock().now();
        m_metrics.observe("endivedock_loop_delay_seconds", {},
                          std::chrono::duration_cast<Microseconds>(woken - due));
        m_placement.tick(woken);
        startProbes(woken);
        if (woken < nextNews)
            continue;
        nextNews = woken + edge_detail::newsInterval;
        if (m_registry.expireLapsed(woken))
            registryChanged();
        m_relay.tick(woken);
        sendNews(woken);
        settleMoves(woken);
    }
}

template <EdgePlatform P>
HostNews EdgeHost<P>::newsFor(const std::vector<ServiceId> &services, HostId placing,
                              TimePoint now)
{
    HostNews news;
    news.registry = m_registry.revision();
    for (const auto &service : services) {
        ServiceBalancer *balancer = m_placement.find(service);
        ServiceNews entry;
        entry.service = service;
        entry.targets = balancer->news(placing, now);
        entry.answers = balancer->takeMoveAnswers();
        const auto move = m_moves.find(service);
        if (move != m_moves.end())
            entry.move = move->second.progress;
        news.services.push_back(std::move(entry));
    }
    return news;
}

template <EdgePlatform P>
void EdgeHost<P>::sendNews(TimePoint now)
{
    std::map<HostId, std::vector<ServiceId>> byRelay;
    for (const auto &[service, balancer] : m_placement.balancers())
        byRelay[m_peers.placingHost(service, now)].push_back(service);
    for (const auto &[host, services] : byRelay) {
        const HostNews news = newsFor(services, host, now);
        if (host == m_self) {
            takePicture(m_self, relay(m_self, news, now), now);
            continue;
        }
        m_peers.asked(host, now);
        m_peers.send(host, news);
    }
}

template <EdgePlatform P>
HostPicture EdgeHost<P>::relay(HostId from, const HostNews &news, TimePoint now)
{
    HostPicture picture;
    picture.registry = m_registry.revision();
    for (const auto &service : news.services)
    {
        std::vector<TargetNews> granted;
        ServiceBalancer *balancer = m_placement.find(service.service);
        if (balancer != nullptr && from != m_self)
            granted = balancer->granted(from);
        picture.services.push_back(m_relay.exchange(from, service, granted, now));
    }
    return picture;
}

template <EdgePlatform P>
void EdgeHost<P>::take(const PeerHeader &header, const EdgeMessage &message)
{
    const TimePoint now = SteadyClock().now();
    if (const auto *news = std::get_if<HostNews>(&message)) {
        if (news->registry > m_newest) {
            m_newest = news->registry;
            m_newestAt = header.sender;
        }
        m_peers.send(header.sender, relay(header.sender, *news, now));
    } else if (const auto *picture = std::get_if<HostPicture>(&message)) {
        m_peers.heard(header.sender, now);
        takePicture(header.sender, *picture, now);
    } else if (const auto *request = std::get_if<PlacementRequest>(&message)) {
        m_placement.take(header.sender, *request, now);
    } else if (const auto *answer = std::get_if<PlacementAnswer>(&message)) {
        m_peers.heard(header.sender, now);
        m_placement.take(header.sender, *answer, now);
    } else if (const auto *report = std::get_if<AttemptReport>(&message)) {
        m_placement.take(header.sender, *report, now);
    } else if (const auto *cancel = std::get_if<PlacementCancel>(&message)) {
        m_placement.take(header.sender, *cancel, now);
    }
}

template <EdgePlatform P>
void EdgeHost<P>::takePicture(HostId from, const HostPicture &picture, TimePoint now)
{
    if (picture.registry > m_newest) {
        m_newest = picture.registry;
        m_newestAt = from;
    }
    for (const auto &service : picture.services) {
        if (ServiceBalancer *balancer = m_placement.find(service.service))
            balancer->applyPicture(service.others, now);
        if (service.move)
            takeProgress(service.service, *service.move);
    }
}

template <EdgePlatform P>
Task<> EdgeHost<P>::followPeers()
{
    while (true) {
        co_await sleepFor(edge_detail::peerCheck);
        const TimePoint now = SteadyClock().now();
        const bool away = m_storeLost && now - m_storeAnsweredAt > edge_detail::storePatience;
        const bool unknown = !m_registry.table() && !m_settings.seeds.empty();
        if (!away || (m_newest <= m_registry.revision() && !unknown))
            continue;
        HostId asked = m_newestAt;
        Address address;
        const auto known = m_peers.address(asked);
        if (m_newest > m_registry.revision() && known) {
            address = *known;
        } else if (unknown) {
            asked = anyHost;
            address = m_settings.seeds[drawBelow(m_random, m_settings.seeds.size())];
        } else {
            continue;
        }
        try {
            EdgeMessage question = RegistryRequest{m_registry.revision()};
            const EdgeMessage answer = co_await m_streams.ask(asked, address, std::move(question));
            const auto *copy = std::get_if<RegistryCopy>(&answer);
            if (!copy)
                continue;
            StoreSnapshot snapshot;
            snapshot.revision = copy->revision;
            for (const auto &entry : copy->entries)
                snapshot.entries.push_back({entry.key, entry.value, entry.modified});
            if (m_registry.applySnapshot(snapshot, SteadyClock().now())) {
                m_log.info("Registry taken from a host", {field("host", asked),
                                                          field("revision", copy->revision)});
                registryChanged();
            }
        } catch (const Error &error) {
            m_log.info("A host did not give its registry", {field("host", asked),
                                                            field("error", error.what())});
        }
    }
}

// --- Version moves ---

template <EdgePlatform P>
void EdgeHost<P>::followOrders(TimePoint now)
{
    for (const auto &[service, balancer] : m_placement.balancers()) {
        const auto &running = balancer->versions().running();
        const auto known = m_moves.find(service);
        if (!running) {
            if (known != m_moves.end()) {
                m_log.info("Move settled", {field("service", service)});
                m_moves.erase(known);
                m_relay.setOrder(service, std::nullopt, now);
            }
            continue;
        }
        if (known == m_moves.end() || known->second.order.revision != running->revision) {
            m_log.info("Move ordered",
                       {field("service", service), field("to", running->to),
                        field("duration_ms", running->duration.count()),
                        field("revision", running->revision)});
            m_moves[service] = Move{*running, now, std::nullopt, {}, {}, false};
            balancer->setMoveShare(Share(0));
            startTask(m_executor, "verdict", writeVerdict(service, MoveState::Running));
        }
        m_relay.setOrder(service, running, m_moves.at(service).seenAt);
    }
}

template <EdgePlatform P>
void EdgeHost<P>::takeProgress(const ServiceId &service, const MoveProgress &progress)
{
    const auto found = m_moves.find(service);
    if (found == m_moves.end())
        return;
    Move &move = found->second;
    if (progress.number != static_cast<std::uint64_t>(move.order.revision.value()))
        return;
    const MoveProgress merged = move.progress ? mergeProgress(*move.progress, progress) : progress;
    if (merged == move.progress)
        return;
    m_log.info("Move proceeds",
               {field("service", service), field("to", move.order.to),
                field("phase", name(merged.phase)), field("share", shareOf(merged).value()),
                field("cause", name(merged.cause))});
    if (merged.phase >= MovePhase::Done && move.endedAt == TimePoint{})
        move.endedAt = SteadyClock().now();
    move.progress = merged;
    if (ServiceBalancer *balancer = m_placement.find(service))
        balancer->setMoveShare(shareOf(merged));
}

template <EdgePlatform P>
void EdgeHost<P>::settleMoves(TimePoint now)
{
    for (auto &[service, move] : m_moves) {
        if (move.endedAt == TimePoint{} || move.writing || now < move.writeAt)
            continue;
        const bool mine = m_peers.placingHost(service, now) == m_self;
        if (!mine && now - move.endedAt < edge_detail::verdictPatience)
            continue;
        move.writing = true;
        move.writeAt = now + edge_detail::verdictRetry;
        const bool done = move.progress->phase == MovePhase::Done;
        startTask(m_executor, "verdict",
                  writeVerdict(service, done ? MoveState::Done : MoveState::TakenBack));
    }
}

template <EdgePlatform P>
Task<> EdgeHost<P>::writeVerdict(ServiceId service, MoveState state)
{
    const auto found = m_moves.find(service);
    if (found == m_moves.end())
        co_return;
    const MoveOrder order = found->second.order;
    const bool mine = m_peers.placingHost(service, SteadyClock().now()) == m_self;
    if (state == MoveState::Running && !mine)
        co_return;
    const StoreEntry entry = P::writeVerdict(service, order.to, state);
    const StoreEntry *known = m_registry.find(entry.key);
    std::vector<Swap> swaps;
    swaps.push_back({entry.key, known ? known->modified : Revision(0), entry.value});
    try {
        const SwapResult result = co_await m_callStore.compareAndSwap(std::move(swaps), noLease);
        m_log.info("Verdict written", {field("service", service), field("to", order.to),
                                       field("swapped", result.swapped),
                                       field("value", entry.value)});
    } catch (const Error &error) {
        m_log.warning("A verdict could not be written",
                      {field("service", service), field("error", error.what())});
    }
    const auto still = m_moves.find(service);
    if (still != m_moves.end())
        still->second.writing = false;
}

// --- Probes ---

template <EdgePlatform P>
void EdgeHost<P>::startProbes(TimePoint now)
{
    for (const auto &[service, balancer] : m_placement.balancers()) {
        const bool placing = m_peers.placingHost(service, now) == m_self;
        for (const auto &target : balancer->dueProbes(placing, now))
            m_prober.ask(service, target, m_placement.healthPath(service));
    }
}

template <EdgePlatform P>
void EdgeHost<P>::takeProbe(const ServiceId &service, const TargetId &target,
                            const std::optional<TargetProbe> &probe, const std::string &failure)
{
    if (!probe)
        m_log.info("Probe failed", {field("service", service), field("target", target),
                                    field("error", failure)});
    if (ServiceBalancer *balancer = m_placement.find(service))
        balancer->probed(target, probe, SteadyClock().now());
}

// --- Shutdown and pages ---

template <EdgePlatform P>
void EdgeHost<P>::stop()
{
    if (m_leaving)
        return;
    m_leaving = true;
    m_log.info("Stopping", {field("name", m_settings.name)});
    startTask(m_executor, "shutdown", shutDown());
}

template <EdgePlatform P>
Task<> EdgeHost<P>::shutDown()
{
    const TimePoint toldAt = SteadyClock().now();
    m_gateway.discourage();
    if (m_lease) {
        try {
            co_await m_callStore.revoke(*m_lease);
        } catch (const Error &error) {
            m_log.info("The registration ends by itself", {field("error", error.what())});
        }
    }
    const TimePoint leaveAt = toldAt + m_settings.leaveTime;
    if (SteadyClock().now() < leaveAt)
        co_await sleepFor(leaveAt - SteadyClock().now());
    m_gateway.stopAccepting();
    while (m_gateway.activity().openConnections > 0 &&
           SteadyClock().now() - toldAt < m_settings.stopTime)
        co_await sleepFor(edge_detail::drainCheck);
    m_log.info("Stopped", {field("name", m_settings.name),
                           field("open", m_gateway.activity().openConnections)});
    m_context.stop();
}

template <EdgePlatform P>
Task<HttpResult> EdgeHost<P>::answerReadiness(HttpCall call)
{
    HttpResult result;
    result.contentType = "text/plain";
    if (call.path != P::readinessPath())
        result.status = 404;
    else
        result.status = ready() ? 200 : 503;
    co_return result;
}

template <EdgePlatform P>
Task<HttpResult> EdgeHost<P>::answerAdmin(HttpCall call)
{
    HttpResult result;
    result.contentType = "text/plain; version=0.0.4";
    if (call.path != "/metrics") {
        result.status = 404;
        co_return result;
    }
    for (const auto &[service, balancer] : m_placement.balancers()) {
        const Labels labels{{"service", service.value()}};
        const BalancerCounters &counters = balancer->counters();
        m_metrics.setGauge("endivedock_chosen", labels, static_cast<double>(counters.chosen));
        m_metrics.setGauge("endivedock_chosen_cold", labels, static_cast<double>(counters.cold));
        m_metrics.setGauge("endivedock_rejected", labels, static_cast<double>(counters.rejected));
        m_metrics.setGauge("endivedock_probes", labels, static_cast<double>(counters.probes));
    }
    m_metrics.setGauge("endivedock_datagrams_sent", {},
                       static_cast<double>(m_peers.counters().sent));
    m_metrics.setGauge("endivedock_datagrams_refused", {},
                       static_cast<double>(m_peers.counters().unauthentic +
                                           m_peers.counters().replayed +
                                           m_peers.counters().malformed));
    result.body = m_metrics.text();
    co_return result;
}

} // namespace endivedock
