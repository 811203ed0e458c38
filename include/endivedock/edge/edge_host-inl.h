#pragma once

#include "endivedock/edge/edge_host.h"
#include "endivedock/edge/shared_placement-inl.h"
#include "endivedock/gateway/gateway_server-inl.h"

#include <algorithm>

namespace endivedock {

namespace edge_detail {

/** Hosts of a small fleet tell each other this often what they have in flight. */
constexpr Milliseconds newsInterval{100};
/** And of a larger one as much more seldom as it is larger than this, up to the longest. */
constexpr std::size_t smallFleet = 20;
constexpr Milliseconds longestNewsInterval{500};
/** Probes are started this often. */
constexpr Milliseconds tickInterval{25};
/** Requests that wait are looked at again this often, besides when a target gets room. */
constexpr Milliseconds waitingInterval{10};
/** A waiting watch is one call; its end also shows that the store still answers. */
constexpr Milliseconds watchTime{4000};
/** Changes that come within this time are fetched together. */
constexpr Milliseconds watchPause{120};
constexpr Milliseconds storeRetry{250};
/** A restarted host that has no copy by then registers without looking whether it needs to. */
constexpr Milliseconds registrationPatience{1000};
/** A host that does not read the store looks this often whether it is to begin. */
constexpr Milliseconds readerCheck{100};
/** All hosts start within this time; afterwards the first listing shows all of them. */
constexpr Milliseconds startSpread{500};
/** A host that has got no copy from a seed by then reads the store. */
constexpr Milliseconds seedPatience{1200};
constexpr Milliseconds seedRetry{200};
/** Changes up to this size fit a datagram; longer ones are asked for. */
constexpr std::size_t pushedBytes = 6000;
/** The placing host writes a verdict at once; if none is seen after this time the others do. */
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
                        answer = m_registry.deltaFrom(request->known, SteadyClock().now());
                    return answer;
                })
    , m_prober(m_executor, &P::readProbe,
               [this](const ServiceId &service, const TargetId &target,
                      const std::optional<TargetProbe> &probe,
                      const std::string &failure) { takeProbe(service, target, probe, failure); })
    , m_gateway(m_executor, m_settings.callers, {m_self, m_metrics, m_random},
                P::makeFront({m_registry, m_turns}), m_placement, m_noKeys)
    , m_readiness(m_executor, m_settings.readiness,
                  [this](HttpCall call) { return answerReadiness(std::move(call)); })
    , m_storeAnsweredAt(SteadyClock().now())
    , m_readers(m_self, m_settings.capacity)
{
    if (m_settings.admin)
        m_admin.emplace(m_executor, *m_settings.admin,
                        [this](HttpCall call) { return answerAdmin(std::move(call)); });
    startTask(m_executor, "store", followStore());
    startTask(m_executor, "registration", registerOnce());
    startTask(m_executor, "news", tradeNews());
    startTask(m_executor, "first-copy", askFirstCopy());
    m_log.info("Started", {field("name", m_settings.name), field("zone", m_settings.zone),
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
        m_log.info("Store regained",
                   {field("away_ms", toMilliseconds(now - m_storeAnsweredAt).count()),
                    field("revision", m_registry.revision())});
    }
    m_storeAnsweredAt = now;
}

template <EdgePlatform P>
void EdgeHost<P>::storeFailed(const std::string &error)
{
    m_metrics.count("endivedock_store_failures_total");
    if (!m_storeLost)
        m_log.warning("Store lost",
                      {field("error", error), field("revision", m_registry.revision())});
    m_storeLost = true;
}

template <EdgePlatform P>
Task<> EdgeHost<P>::followStore()
{
    const TimePoint startedAt = SteadyClock().now();
    const bool seeded = m_settings.firstStart && !m_settings.seeds.empty() && !m_settings.isSeed;
    if (m_settings.firstStart)
        co_await sleepFor(edge_detail::startSpread);
    while (true) {
        const TimePoint now = SteadyClock().now();
        const bool known = m_registry.table() != nullptr;
        const bool patient = seeded && now - startedAt < edge_detail::seedPatience;
        const bool reads = known ? m_readers.shouldRead(now) : !patient;
        if (reads != m_reading)
            m_log.info(reads ? "Reads the store" : "Leaves the store to other hosts",
                       {field("revision", m_registry.revision())});
        const bool begins = reads && !m_reading;
        m_reading = reads;
        if (begins)
            sendNotice(); // Else the hosts behind this one would begin as well.
        if (!reads) {
            co_await sleepFor(edge_detail::readerCheck);
            continue;
        }
        bool failed = false;
        try {
            co_await readStore();
        } catch (const HistoryGone &) {
            m_log.info("The store's history is gone; listing again",
                       {field("revision", m_registry.revision())});
            m_mustList = true;
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
Task<> EdgeHost<P>::readStore()
{
    // Another host's copy is as good to watch on from as a listing.
    if (m_mustList || m_registry.revision() == Revision(0)) {
        const StoreSnapshot snapshot = co_await m_watchStore.list("");
        storeAnswered();
        m_mustList = false;
        const Revision from = m_registry.revision();
        if (m_registry.applySnapshot(snapshot, SteadyClock().now())) {
            registryChanged();
            if (from > Revision(0))
                sendNotice();
        }
        // Whether this host goes on reading is decided anew, now that it knows the others.
        if (from == Revision(0))
            co_return;
    }
    const StoreChanges changes =
            co_await m_watchStore.watch("", m_registry.revision(), edge_detail::watchTime);
    storeAnswered();
    if (changes.changes.empty())
        co_return;
    const Revision from = m_registry.revision();
    m_registry.applyChanges(changes, SteadyClock().now());
    if (m_registry.revision() > from) {
        registryChanged();
        pushChanges(from);
    }
    co_await sleepFor(edge_detail::watchPause);
}

template <EdgePlatform P>
void EdgeHost<P>::pushChanges(Revision from)
{
    const RegistryDelta delta = m_registry.deltaFrom(from, SteadyClock().now());
    std::size_t bytes = 0;
    for (const auto &entry : delta.entries)
        bytes += entry.key.size() + entry.value.value_or("").size() + sizeof(Revision);
    if (bytes <= edge_detail::pushedBytes)
        m_peers.sendToAll(delta);
    else
        sendNotice();
}

template <EdgePlatform P>
void EdgeHost<P>::sendNotice()
{
    m_peers.sendToAll(RegistryNotice{m_registry.revision(), !m_storeLost && !m_leaving});
}

template <EdgePlatform P>
Task<> EdgeHost<P>::registerOnce()
{
    const RegisteredHost host{m_self, m_settings.peer, m_settings.capacity};
    const StoreEntry entry = P::writeHost(m_settings.name, host);
    const TimePoint copyBy = SteadyClock().now() + edge_detail::registrationPatience;
    // A host that has been restarted finds itself in its first copy, and need not write.
    while (!m_settings.firstStart && !m_registry.table() && SteadyClock().now() < copyBy)
        co_await sleepFor(edge_detail::readerCheck);
    while (true) {
        const StoreEntry *known = m_registry.find(entry.key);
        if (known != nullptr && known->value == entry.value) {
            m_log.info("Registered", {field("new", false), field("revision", known->modified)});
            co_return;
        }
        std::string failure;
        try {
            std::vector<Swap> swaps;
            swaps.push_back({entry.key, Revision(0), entry.value});
            SwapResult result = co_await m_callStore.compareAndSwap(swaps, noLease);
            if (!result.swapped && result.present && result.present->value != entry.value) {
                swaps.front().modified = result.present->modified;
                result = co_await m_callStore.compareAndSwap(swaps, noLease);
            }
            m_log.info("Registered", {field("new", result.swapped)});
            co_return;
        } catch (const Error &error) {
            failure = error.what();
        }
        m_log.warning("Not registered yet", {field("error", failure)});
        co_await sleepFor(edge_detail::storeRetry * 4);
    }
}

template <EdgePlatform P>
void EdgeHost<P>::registryChanged()
{
    const TimePoint now = SteadyClock().now();
    const auto hosts = m_registry.hosts();
    m_peers.setHosts(hosts, m_settings.capacity);
    m_readers.setHosts(hosts, now);
    m_placement.follow(m_registry, m_peers.hosts(), now);
    followOrders(now);
}

// --- Other hosts ---

template <EdgePlatform P>
Task<> EdgeHost<P>::tradeNews()
{
    TimePoint nextNews = SteadyClock().now();
    while (true) {
        const Milliseconds interval =
                m_placement.anyWaiting() ? edge_detail::waitingInterval : edge_detail::tickInterval;
        const TimePoint due = SteadyClock().now() + interval;
        co_await sleepFor(interval);
        const TimePoint woken = SteadyClock().now();
        m_metrics.observe("endivedock_loop_delay_seconds", {},
                          std::chrono::duration_cast<Microseconds>(woken - due));
        m_placement.tick(woken);
        startProbes(woken);
        if (woken < nextNews)
            continue;
        nextNews = woken + newsInterval();
        if (m_reading && woken >= m_nextNotice) {
            m_nextNotice = woken + ReaderChoice::beat;
            sendNotice();
        }
        if (m_registry.expireLapsed(woken))
            registryChanged();
        m_relay.tick(woken);
        sendNews(woken);
        settleMoves(woken);
    }
}

template <EdgePlatform P>
HostNews EdgeHost<P>::newsFor(const std::vector<ServiceId> &services, HostId placing, TimePoint now)
{
    HostNews news;
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
            takePicture(relay(m_self, news, now), now);
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
    for (const auto &service : news.services) {
        std::vector<TargetNews> granted;
        ServiceBalancer *balancer = m_placement.find(service.service);
        if (balancer != nullptr && from != m_self)
            granted = balancer->granted(from, now);
        picture.services.push_back(m_relay.exchange(from, service, granted, now));
    }
    return picture;
}

template <EdgePlatform P>
void EdgeHost<P>::take(const PeerHeader &header, const EdgeMessage &message)
{
    const TimePoint now = SteadyClock().now();
    if (const auto *news = std::get_if<HostNews>(&message)) {
        m_peers.send(header.sender, relay(header.sender, *news, now));
    } else if (const auto *picture = std::get_if<HostPicture>(&message)) {
        m_peers.heard(header.sender, now);
        takePicture(*picture, now);
    } else if (const auto *notice = std::get_if<RegistryNotice>(&message)) {
        takeNotice(header.sender, *notice, now);
    } else if (const auto *delta = std::get_if<RegistryDelta>(&message)) {
        takeDelta(header.sender, *delta, now);
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
void EdgeHost<P>::takePicture(const HostPicture &picture, TimePoint now)
{
    for (const auto &service : picture.services) {
        if (ServiceBalancer *balancer = m_placement.find(service.service))
            balancer->applyPicture(service.others, now);
        if (service.move)
            takeProgress(service.service, *service.move);
    }
}

template <EdgePlatform P>
Milliseconds EdgeHost<P>::newsInterval() const
{
    const auto factor = static_cast<std::int64_t>(m_peers.hosts() / edge_detail::smallFleet);
    return std::min(edge_detail::longestNewsInterval,
                    edge_detail::newsInterval * std::max<std::int64_t>(factor, 1));
}

template <EdgePlatform P>
void EdgeHost<P>::takeNotice(HostId from, const RegistryNotice &notice, TimePoint now)
{
    m_readers.heard(from, notice.reads, now);
    const auto address = m_peers.address(from);
    if (notice.revision > m_registry.revision() && address && !m_pulling)
        startTask(m_executor, "registry", pullRegistry(from, *address));
}

template <EdgePlatform P>
void EdgeHost<P>::takeDelta(HostId from, const RegistryDelta &delta, TimePoint now)
{
    if (delta.revision <= m_registry.revision())
        return;
    if (m_registry.applyDelta(delta, now))
        registryChanged();
    else
        takeNotice(from, {delta.revision, true}, now);
}

template <EdgePlatform P>
Task<> EdgeHost<P>::pullRegistry(HostId host, Address address)
{
    m_pulling = true;
    try {
        EdgeMessage question = RegistryRequest{m_registry.revision()};
        const EdgeMessage answer = co_await m_streams.ask(host, address, std::move(question));
        const auto *delta = std::get_if<RegistryDelta>(&answer);
        if (delta && delta->revision > m_registry.revision() &&
            m_registry.applyDelta(*delta, SteadyClock().now())) {
            m_log.info("Registry taken from a host", {field("address", formatAddress(address)),
                                                      field("revision", delta->revision),
                                                      field("entries", delta->entries.size())});
            registryChanged();
        }
    } catch (const Error &error) {
        m_log.info("A host did not give its registry",
                   {field("address", formatAddress(address)), field("error", error.what())});
    }
    m_pulling = false;
}

template <EdgePlatform P>
Task<> EdgeHost<P>::askFirstCopy()
{
    if (m_settings.seeds.empty())
        co_return;
    if (m_settings.firstStart)
        co_await sleepFor(edge_detail::startSpread);
    co_await sleepFor(edge_detail::seedRetry);
    while (!m_registry.table()) {
        const auto seed = drawBelow(m_random, m_settings.seeds.size());
        if (!m_pulling)
            co_await pullRegistry(anyHost, m_settings.seeds[seed]);
        co_await sleepFor(edge_detail::seedRetry);
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
            m_log.info("Move ordered", {field("service", service), field("to", running->to),
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
        m_log.info("Verdict written",
                   {field("service", service), field("to", order.to),
                    field("swapped", result.swapped), field("value", entry.value)});
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
        m_log.info("Probe failed",
                   {field("service", service), field("target", target), field("error", failure)});
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
    sendNotice(); // Another host reads the store from now on.
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
