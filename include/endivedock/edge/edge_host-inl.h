#pragma once

#include "endivedock/edge/edge_host.h"
#include "endivedock/edge/shared_placement-inl.h"
#include "endivedock/gateway/gateway_server-inl.h"

#include <algorithm>

namespace endivedock {

namespace edge_detail {

/** Hosts of a small fleet tell each other this often what they have in flight. */
constexpr Milliseconds loadReportInterval{100};
/** And of a larger one as much more seldom as it is larger than this, up to the longest. */
constexpr std::size_t smallFleetSize = 20;
constexpr Milliseconds maxLoadReportInterval{500};
/** Probes are started this often. */
constexpr Milliseconds tickInterval{25};
/** Requests that wait are looked at again this often, besides when a target gets room. */
constexpr Milliseconds waitingRequestTickInterval{10};
/** A waiting watch is one call; its end also shows that the store still answers. */
constexpr Milliseconds watchTimeout{4000};
/** Changes that come within this time are fetched together. */
constexpr Milliseconds watchBatchDelay{120};
constexpr Milliseconds storeRetry{250};
/** A restarted host that has no copy by then registers without looking whether it needs to. */
constexpr Milliseconds initialRegistryTimeout{1000};
/** A host that does not read the store looks this often whether it is to begin. */
constexpr Milliseconds readerCheckInterval{100};
/** All hosts start within this time; afterwards the first listing shows all of them. */
constexpr Milliseconds fleetStartWindow{500};
/** A host that has got no copy from a seed by then reads the store. */
constexpr Milliseconds seedTimeout{1200};
constexpr Milliseconds seedRetryInterval{200};
/** Changes up to this size fit a datagram; longer ones are asked for. */
constexpr std::size_t maxPushedBytes = 6000;
/** The placing host writes a verdict at once; if none is seen after this time the others do. */
constexpr Milliseconds verdictTakeoverDelay{700};
constexpr Milliseconds verdictRetryInterval{1500};
constexpr Milliseconds drainCheck{20};

} // namespace edge_detail

template <EdgePlatform P>
EdgeHost<P>::EdgeHost(asio::io_context &context, EdgeSettings settings)
    : m_context(context)
    , m_executor(context.get_executor())
    , m_settings(std::move(settings))
    , m_self(hostIdOf(m_settings.name))
    , m_registry(&P::parseRecord)
    , m_roundRobin(drawUnitInterval(m_random))
    , m_watchStore(m_executor, m_settings.store)
    , m_writeStore(m_executor, m_settings.store)
    , m_sealer({m_settings.peerKey})
    , m_peers(m_executor, m_settings.peer, m_self,
              Incarnation(static_cast<std::uint64_t>(unixTimeMilliseconds())), m_sealer,
              [this](const PeerHeader &header, EdgeMessage message, const Address &) {
                  handle(header, message);
              })
    , m_placement(m_executor, m_self, m_settings.balancing, m_random, m_metrics, m_peers)
    , m_streams(m_executor, m_settings.peer, m_self,
                Incarnation(static_cast<std::uint64_t>(unixTimeMilliseconds())), m_sealer,
                [this](const PeerHeader &, const EdgeMessage &question) {
                    std::optional<EdgeMessage> answer;
                    const auto *request = std::get_if<RegistryRequest>(&question);
                    if (request && m_registry.revision() > request->known)
                        answer = m_registry.deltaSince(request->known, SteadyClock().now());
                    return answer;
                })
    , m_prober(m_executor, &P::parseProbeResponse,
               [this](const ServiceId &service, const TargetId &target,
                      const std::optional<ProbeResult> &probe,
                      const std::string &failure) { takeProbe(service, target, probe, failure); })
    , m_gateway(m_executor, m_settings.callers, {m_self, m_metrics, m_random},
                P::makeFrontEnd({m_registry, m_roundRobin}), m_placement, m_noKeys)
    , m_readiness(m_executor, m_settings.readiness,
                  [this](HttpServerRequest call) { return answerReadiness(std::move(call)); })
    , m_storeAnsweredAt(SteadyClock().now())
    , m_readerSelector(m_self, m_settings.capacity)
{
    if (m_settings.admin)
        m_admin.emplace(m_executor, *m_settings.admin,
                        [this](HttpServerRequest call) { return answerAdmin(std::move(call)); });
    startTask(m_executor, "store", followStore());
    startTask(m_executor, "registration", registerHost());
    startTask(m_executor, "news", runPeriodicTasks());
    startTask(m_executor, "first-copy", fetchInitialRegistry());
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
void EdgeHost<P>::recordStoreSuccess()
{
    const TimePoint now = SteadyClock().now();
    if (m_isStoreUnreachable) {
        m_isStoreUnreachable = false;
        m_registry.recordStoreReconnect(now);
        m_log.info("Store regained",
                   {field("away_ms", toMilliseconds(now - m_storeAnsweredAt).count()),
                    field("revision", m_registry.revision())});
    }
    m_storeAnsweredAt = now;
}

template <EdgePlatform P>
void EdgeHost<P>::recordStoreFailure(const std::string &error)
{
    m_metrics.count("endivedock_store_failures_total");
    if (!m_isStoreUnreachable)
        m_log.warning("Store lost",
                      {field("error", error), field("revision", m_registry.revision())});
    m_isStoreUnreachable = true;
}

template <EdgePlatform P>
Task<> EdgeHost<P>::followStore()
{
    const TimePoint startedAt = SteadyClock().now();
    const bool seeded =
            m_settings.isFleetBootstrap && !m_settings.seeds.empty() && !m_settings.isSeed;
    if (m_settings.isFleetBootstrap)
        co_await sleepFor(edge_detail::fleetStartWindow);
    while (true) {
        const TimePoint now = SteadyClock().now();
        const bool known = m_registry.table() != nullptr;
        const bool patient = seeded && now - startedAt < edge_detail::seedTimeout;
        const bool readsStore = known ? m_readerSelector.shouldRead(now) : !patient;
        if (readsStore != m_isReadingStore)
            m_log.info(readsStore ? "Reads the store" : "Leaves the store to other hosts",
                       {field("revision", m_registry.revision())});
        const bool begins = readsStore && !m_isReadingStore;
        m_isReadingStore = readsStore;
        if (begins)
            broadcastNotice(); // Else the hosts behind this one would begin as well.
        if (!readsStore) {
            co_await sleepFor(edge_detail::readerCheckInterval);
            continue;
        }
        bool failed = false;
        try {
            co_await readStore();
        } catch (const RevisionCompacted &) {
            m_log.info("The store's history is gone; listing again",
                       {field("revision", m_registry.revision())});
            m_needsListing = true;
        } catch (const Error &error) {
            recordStoreFailure(error.what());
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
    if (m_needsListing || m_registry.revision() == Revision(0)) {
        const StoreSnapshot snapshot = co_await m_watchStore.list("");
        recordStoreSuccess();
        m_needsListing = false;
        const Revision from = m_registry.revision();
        if (m_registry.applySnapshot(snapshot, SteadyClock().now())) {
            applyRegistryChange();
            if (from > Revision(0))
                broadcastNotice();
        }
        // Whether this host goes on reading is decided anew, now that it knows the others.
        if (from == Revision(0))
            co_return;
    }
    const StoreChanges changes =
            co_await m_watchStore.watch("", m_registry.revision(), edge_detail::watchTimeout);
    recordStoreSuccess();
    if (changes.changes.empty())
        co_return;
    const Revision from = m_registry.revision();
    m_registry.applyChanges(changes, SteadyClock().now());
    if (m_registry.revision() > from) {
        applyRegistryChange();
        broadcastChanges(from);
    }
    co_await sleepFor(edge_detail::watchBatchDelay);
}

template <EdgePlatform P>
void EdgeHost<P>::broadcastChanges(Revision from)
{
    const RegistryDelta delta = m_registry.deltaSince(from, SteadyClock().now());
    std::size_t bytes = 0;
    for (const auto &entry : delta.entries)
        bytes += entry.key.size() + entry.value.value_or("").size() + sizeof(Revision);
    if (bytes <= edge_detail::maxPushedBytes)
        m_peers.broadcast(delta);
    else
        broadcastNotice();
}

template <EdgePlatform P>
void EdgeHost<P>::broadcastNotice()
{
    m_peers.broadcast(RegistryNotice{m_registry.revision(), !m_isStoreUnreachable && !m_leaving});
}

template <EdgePlatform P>
Task<> EdgeHost<P>::registerHost()
{
    const RegisteredHost host{m_self, m_settings.peer, m_settings.capacity};
    const StoreEntry entry = P::makeHostEntry(m_settings.name, host);
    const TimePoint copyBy = SteadyClock().now() + edge_detail::initialRegistryTimeout;
    // A host that has been restarted finds itself in its first copy, and need not write.
    while (!m_settings.isFleetBootstrap && !m_registry.table() && SteadyClock().now() < copyBy)
        co_await sleepFor(edge_detail::readerCheckInterval);
    while (true) {
        const StoreEntry *known = m_registry.find(entry.key);
        if (known != nullptr && known->value == entry.value) {
            m_log.info("Registered", {field("new", false), field("revision", known->modRevision)});
            co_return;
        }
        std::string failure;
        try {
            std::vector<ConditionalPut> conditionalPuts;
            conditionalPuts.push_back({entry.key, Revision(0), entry.value});
            CompareAndSwapResult result =
                    co_await m_writeStore.compareAndSwap(conditionalPuts, noLease);
            if (!result.swapped && result.present && result.present->value != entry.value) {
                conditionalPuts.front().modRevision = result.present->modRevision;
                result = co_await m_writeStore.compareAndSwap(conditionalPuts, noLease);
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
void EdgeHost<P>::applyRegistryChange()
{
    const TimePoint now = SteadyClock().now();
    const auto hosts = m_registry.hosts();
    m_peers.setHosts(hosts, m_settings.capacity);
    m_readerSelector.setHosts(hosts, now);
    m_placement.applyRegistry(m_registry, m_peers.hosts(), now);
    applyRolloutOrders(now);
}

// --- Other hosts ---

template <EdgePlatform P>
Task<> EdgeHost<P>::runPeriodicTasks()
{
    TimePoint nextNews = SteadyClock().now();
    while (true) {
        const Milliseconds interval = m_placement.hasWaitingRequests()
                                              ? edge_detail::waitingRequestTickInterval
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
        nextNews = woken + loadReportInterval();
        if (m_isReadingStore && woken >= m_nextNoticeAt) {
            m_nextNoticeAt = woken + StoreReaderSelector::noticeInterval;
            broadcastNotice();
        }
        if (m_registry.removeExpiredTargets(woken))
            applyRegistryChange();
        m_aggregator.tick(woken);
        sendLoadReports(woken);
        settleMoves(woken);
    }
}

template <EdgePlatform P>
HostLoadReport EdgeHost<P>::makeLoadReport(const std::vector<ServiceId> &services, HostId placing,
                                           TimePoint now)
{
    HostLoadReport loadReport;
    for (const auto &service : services) {
        ServiceBalancer *balancer = m_placement.find(service);
        ServiceLoadReport entry;
        entry.service = service;
        entry.targets = balancer->loadReport(placing, now);
        entry.rolloutSamples = balancer->takeRolloutSamples();
        const auto move = m_moves.find(service);
        if (move != m_moves.end())
            entry.rollout = move->second.progress;
        loadReport.services.push_back(std::move(entry));
    }
    return loadReport;
}

template <EdgePlatform P>
void EdgeHost<P>::sendLoadReports(TimePoint now)
{
    std::map<HostId, std::vector<ServiceId>> byRelay;
    for (const auto &[service, balancer] : m_placement.balancers())
        byRelay[m_peers.placingHost(service, now)].push_back(service);
    for (const auto &[host, services] : byRelay) {
        const HostLoadReport loadReport = makeLoadReport(services, host, now);
        if (host == m_self) {
            applyAggregatedLoad(aggregateLoad(m_self, loadReport, now), now);
            continue;
        }
        m_peers.recordRequest(host, now);
        m_peers.send(host, loadReport);
    }
}

template <EdgePlatform P>
AggregatedLoad EdgeHost<P>::aggregateLoad(HostId from, const HostLoadReport &loadReport,
                                          TimePoint now)
{
    AggregatedLoad picture;
    for (const auto &service : loadReport.services) {
        std::vector<TargetLoad> grantedLoads;
        ServiceBalancer *balancer = m_placement.find(service.service);
        if (balancer != nullptr && from != m_self)
            grantedLoads = balancer->grantedLoads(from, now);
        picture.services.push_back(m_aggregator.applyReport(from, service, grantedLoads, now));
    }
    return picture;
}

template <EdgePlatform P>
void EdgeHost<P>::handle(const PeerHeader &header, const EdgeMessage &message)
{
    const TimePoint now = SteadyClock().now();
    if (const auto *loadReport = std::get_if<HostLoadReport>(&message)) {
        m_peers.send(header.sender, aggregateLoad(header.sender, *loadReport, now));
    } else if (const auto *picture = std::get_if<AggregatedLoad>(&message)) {
        m_peers.recordResponse(header.sender, now);
        applyAggregatedLoad(*picture, now);
    } else if (const auto *notice = std::get_if<RegistryNotice>(&message)) {
        handleNotice(header.sender, *notice, now);
    } else if (const auto *delta = std::get_if<RegistryDelta>(&message)) {
        handleDelta(header.sender, *delta, now);
    } else if (const auto *request = std::get_if<PlacementRequest>(&message)) {
        m_placement.handle(header.sender, *request, now);
    } else if (const auto *answer = std::get_if<PlacementAnswer>(&message)) {
        m_peers.recordResponse(header.sender, now);
        m_placement.handle(header.sender, *answer, now);
    } else if (const auto *report = std::get_if<AttemptReport>(&message)) {
        m_placement.handle(header.sender, *report, now);
    } else if (const auto *cancel = std::get_if<PlacementCancel>(&message)) {
        m_placement.handle(header.sender, *cancel, now);
    }
}

template <EdgePlatform P>
void EdgeHost<P>::applyAggregatedLoad(const AggregatedLoad &picture, TimePoint now)
{
    for (const auto &service : picture.services) {
        if (ServiceBalancer *balancer = m_placement.find(service.service))
            balancer->applyAggregatedLoad(service.targets, now);
        if (service.rollout)
            applyRolloutProgress(service.service, *service.rollout);
    }
}

template <EdgePlatform P>
Milliseconds EdgeHost<P>::loadReportInterval() const
{
    const auto factor = static_cast<std::int64_t>(m_peers.hosts() / edge_detail::smallFleetSize);
    return std::min(edge_detail::maxLoadReportInterval,
                    edge_detail::loadReportInterval * std::max<std::int64_t>(factor, 1));
}

template <EdgePlatform P>
void EdgeHost<P>::handleNotice(HostId from, const RegistryNotice &notice, TimePoint now)
{
    m_readerSelector.recordResponse(from, notice.readsStore, now);
    const auto address = m_peers.address(from);
    if (notice.revision > m_registry.revision() && address && !m_isFetchingRegistry)
        startTask(m_executor, "registry", fetchRegistry(from, *address));
}

template <EdgePlatform P>
void EdgeHost<P>::handleDelta(HostId from, const RegistryDelta &delta, TimePoint now)
{
    if (delta.revision <= m_registry.revision())
        return;
    if (m_registry.applyDelta(delta, now))
        applyRegistryChange();
    else
        handleNotice(from, {delta.revision, true}, now);
}

template <EdgePlatform P>
Task<> EdgeHost<P>::fetchRegistry(HostId host, Address address)
{
    m_isFetchingRegistry = true;
    try {
        EdgeMessage question = RegistryRequest{m_registry.revision()};
        const EdgeMessage answer = co_await m_streams.request(host, address, std::move(question));
        const auto *delta = std::get_if<RegistryDelta>(&answer);
        if (delta && delta->revision > m_registry.revision() &&
            m_registry.applyDelta(*delta, SteadyClock().now())) {
            m_log.info("Registry taken from a host", {field("address", formatAddress(address)),
                                                      field("revision", delta->revision),
                                                      field("entries", delta->entries.size())});
            applyRegistryChange();
        }
    } catch (const Error &error) {
        m_log.info("A host did not give its registry",
                   {field("address", formatAddress(address)), field("error", error.what())});
    }
    m_isFetchingRegistry = false;
}

template <EdgePlatform P>
Task<> EdgeHost<P>::fetchInitialRegistry()
{
    if (m_settings.seeds.empty())
        co_return;
    if (m_settings.isFleetBootstrap)
        co_await sleepFor(edge_detail::fleetStartWindow);
    co_await sleepFor(edge_detail::seedRetryInterval);
    while (!m_registry.table()) {
        const auto seed = drawBelow(m_random, m_settings.seeds.size());
        if (!m_isFetchingRegistry)
            co_await fetchRegistry(anyHost, m_settings.seeds[seed]);
        co_await sleepFor(edge_detail::seedRetryInterval);
    }
}

// --- Version moves ---

template <EdgePlatform P>
void EdgeHost<P>::applyRolloutOrders(TimePoint now)
{
    for (const auto &[service, balancer] : m_placement.balancers()) {
        const auto &running = balancer->versions().running();
        const auto known = m_moves.find(service);
        if (!running) {
            if (known != m_moves.end()) {
                m_log.info("Move settled", {field("service", service)});
                m_moves.erase(known);
                m_aggregator.setRolloutOrder(service, std::nullopt, now);
            }
            continue;
        }
        if (known == m_moves.end() || known->second.order.revision != running->revision) {
            m_log.info("Move ordered", {field("service", service), field("to", running->to),
                                        field("duration_ms", running->duration.count()),
                                        field("revision", running->revision)});
            m_moves[service] = Move{*running, now, std::nullopt, {}, {}, false};
            balancer->setRolloutShare(Share(0));
            startTask(m_executor, "verdict", writeVerdict(service, RolloutState::Running));
        }
        m_aggregator.setRolloutOrder(service, running, m_moves.at(service).seenAt);
    }
}

template <EdgePlatform P>
void EdgeHost<P>::applyRolloutProgress(const ServiceId &service, const RolloutProgress &progress)
{
    const auto found = m_moves.find(service);
    if (found == m_moves.end())
        return;
    Move &move = found->second;
    if (progress.number != static_cast<std::uint64_t>(move.order.revision.value()))
        return;
    const RolloutProgress merged =
            move.progress ? mergeProgress(*move.progress, progress) : progress;
    if (merged == move.progress)
        return;
    m_log.info("Move proceeds",
               {field("service", service), field("to", move.order.to),
                field("phase", name(merged.phase)), field("share", trafficShareOf(merged).value()),
                field("cause", name(merged.cause))});
    if (merged.phase >= RolloutPhase::Done && move.endedAt == TimePoint{})
        move.endedAt = SteadyClock().now();
    move.progress = merged;
    if (ServiceBalancer *balancer = m_placement.find(service))
        balancer->setRolloutShare(trafficShareOf(merged));
}

template <EdgePlatform P>
void EdgeHost<P>::settleMoves(TimePoint now)
{
    for (auto &[service, move] : m_moves) {
        if (move.endedAt == TimePoint{} || move.writing || now < move.writeAt)
            continue;
        const bool mine = m_peers.placingHost(service, now) == m_self;
        if (!mine && now - move.endedAt < edge_detail::verdictTakeoverDelay)
            continue;
        move.writing = true;
        move.writeAt = now + edge_detail::verdictRetryInterval;
        const bool done = move.progress->phase == RolloutPhase::Done;
        startTask(m_executor, "verdict",
                  writeVerdict(service, done ? RolloutState::Done : RolloutState::RolledBack));
    }
}

template <EdgePlatform P>
Task<> EdgeHost<P>::writeVerdict(ServiceId service, RolloutState state)
{
    const auto found = m_moves.find(service);
    if (found == m_moves.end())
        co_return;
    const RolloutOrder order = found->second.order;
    const bool mine = m_peers.placingHost(service, SteadyClock().now()) == m_self;
    if (state == RolloutState::Running && !mine)
        co_return;
    const StoreEntry entry = P::makeVerdictEntry(service, order.to, state);
    const StoreEntry *known = m_registry.find(entry.key);
    std::vector<ConditionalPut> conditionalPuts;
    conditionalPuts.push_back({entry.key, known ? known->modRevision : Revision(0), entry.value});
    try {
        const CompareAndSwapResult result =
                co_await m_writeStore.compareAndSwap(std::move(conditionalPuts), noLease);
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
            m_prober.request(service, target, m_placement.healthPath(service));
    }
}

template <EdgePlatform P>
void EdgeHost<P>::takeProbe(const ServiceId &service, const TargetId &target,
                            const std::optional<ProbeResult> &probe, const std::string &failure)
{
    if (!probe)
        m_log.info("Probe failed",
                   {field("service", service), field("target", target), field("error", failure)});
    if (ServiceBalancer *balancer = m_placement.find(service))
        balancer->applyProbeResult(target, probe, SteadyClock().now());
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
    m_gateway.disableKeepAlive();
    broadcastNotice(); // Another host reads the store from now on.
    const TimePoint leaveAt = toldAt + m_settings.drainDelay;
    if (SteadyClock().now() < leaveAt)
        co_await sleepFor(leaveAt - SteadyClock().now());
    m_gateway.stopAccepting();
    while (m_gateway.activity().openConnections > 0 &&
           SteadyClock().now() - toldAt < m_settings.shutdownTimeout)
        co_await sleepFor(edge_detail::drainCheck);
    m_log.info("Stopped", {field("name", m_settings.name),
                           field("open", m_gateway.activity().openConnections)});
    m_context.stop();
}

template <EdgePlatform P>
Task<HttpServerResponse> EdgeHost<P>::answerReadiness(HttpServerRequest call)
{
    HttpServerResponse result;
    result.contentType = "text/plain";
    if (call.path != P::readinessPath())
        result.status = 404;
    else
        result.status = ready() ? 200 : 503;
    co_return result;
}

template <EdgePlatform P>
Task<HttpServerResponse> EdgeHost<P>::answerAdmin(HttpServerRequest call)
{
    HttpServerResponse result;
    result.contentType = "text/plain; version=0.0.4";
    if (call.path != "/metrics") {
        result.status = 404;
        co_return result;
    }
    for (const auto &[service, balancer] : m_placement.balancers()) {
        const Labels labels{{"service", service.value()}};
        const BalancerCounters &counters = balancer->counters();
        m_metrics.setGauge("endivedock_chosen", labels, static_cast<double>(counters.chosen));
        m_metrics.setGauge("endivedock_chosen_cold", labels,
                           static_cast<double>(counters.chosenCold));
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
