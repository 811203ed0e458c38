#pragma once

#include "endivedock/edge/edge_host.h"
#include "endivedock/edge/shared_placement-inl.h"
#include "endivedock/gateway/gateway_server-inl.h"

#include <algorithm>

namespace endivedock {

namespace edge_detail {

/**
 * Interval of runPeriodicTasks(), which places waiting requests, starts probes, and sends load
 * reports when they are due.
 */
constexpr Milliseconds tickInterval{25};
/**
 * Interval of runPeriodicTasks() while requests wait for placement. In addition, waiting requests
 * are placed as soon as a target has a free slot.
 */
constexpr Milliseconds waitingRequestTickInterval{10};
/**
 * Delay between a watch that returned changes and the next watch, so that all changes within this
 * time are fetched together.
 */
constexpr Milliseconds watchBatchDelay{120};
/**
 * Delay before a failed call to the store is repeated, and before the next listing if the store has
 * compacted the changes after a listing. The store reader adds a random delay of up to the same
 * length, and the registration of the host waits four times as long.
 */
constexpr Milliseconds storeRetryDelay{250};
/**
 * A restarted host that has no registry copy after this time writes its entry to the store without
 * knowing whether the store already contains the entry.
 */
constexpr Milliseconds initialRegistryTimeout{1000};
/**
 * Interval at which a host that does not read the store checks whether it is to start reading. The
 * registration of the host checks for the first registry copy at the same interval.
 */
constexpr Milliseconds readerCheckInterval{100};
/**
 * When a fleet starts for the first time, all hosts start within this time, so that a listing of
 * the store made afterwards contains all of them.
 */
constexpr Milliseconds fleetStartWindow{500};
/**
 * When a fleet starts for the first time, a host that has received no registry copy from a seed
 * within this time after its own start reads the store. Seeds do not wait.
 */
constexpr Milliseconds seedTimeout{1200};
/**
 * Delay after which a host that got no registry changes asks another host; up to twice as long, at
 * random.
 */
constexpr Milliseconds registryRetryDelay{50};
/** Interval between requests for the first registry copy, each to a random seed. */
constexpr Milliseconds seedRetryInterval{200};
/**
 * Each host with crash records sends them to this many random hosts at this interval, so that a
 * host that has missed the broadcast of a change learns of it within about a second.
 */
constexpr std::size_t crashGossipFanout = 2;
constexpr Milliseconds crashGossipInterval{1000};
/**
 * Registry changes up to this size are broadcast in a datagram. For larger changes only a notice is
 * broadcast, and the other hosts request the changes over a stream.
 */
constexpr std::size_t maxPushedBytes = 6000;
/** Interval at which a draining host checks whether connections are still open. */
constexpr Milliseconds drainCheckInterval{20};

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
    , m_peers(
              m_executor, m_settings.peer, m_self,
              Incarnation(static_cast<std::uint64_t>(unixTimeMilliseconds())), m_sealer,
              [this](const PeerHeader &header, EdgeMessage message, const Address &) {
                  handle(header, message);
              },
              m_settings.zone)
    , m_placement(m_executor, m_self, m_settings.balancing, m_random, m_metrics, m_peers)
    , m_streams(m_executor, m_settings.peer, m_self,
                Incarnation(static_cast<std::uint64_t>(unixTimeMilliseconds())), m_sealer,
                [this](const PeerHeader &header, const EdgeMessage &message) {
                    return respond(header.sender, message);
                })
    , m_crashArchive(m_executor, m_self, m_writeStore, m_registry, m_peers, m_placement, m_random)
    , m_zones(m_self, m_peers, m_placement)
    , m_rollouts(m_executor, m_self, m_writeStore, m_registry, m_peers, m_placement, m_aggregator)
    , m_restorer(m_executor, m_self, m_writeStore, m_registry, m_peers, m_random)
    , m_loadReporter(m_self, m_peers, m_placement, m_aggregator, m_rollouts)
    , m_prober(m_executor, &P::parseProbeResponse,
               [this](const ServiceId &service, const TargetId &target,
                      const std::variant<ProbeResult, ProbeFailure> &outcome) {
                   handleProbeResult(service, target, outcome);
               })
    , m_readerSelector(m_self, m_settings.capacity)
    , m_freshness(m_executor, m_settings, m_registry, m_peers, m_readerSelector, m_random,
                  m_metrics, [this] { applyRegistryChange(); })
    , m_gateway(m_executor, m_settings.callers,
                {m_self, m_metrics, m_random, startUsageAgent(), m_settings.machine},
                P::makeFrontEnd({m_registry, m_roundRobin, m_freshness.freshness()}), m_placement,
                m_runGuard)
    , m_readinessServer(m_executor, m_settings.readiness,
                        [this](HttpServerRequest request) {
                            return handleReadinessRequest(std::move(request));
                        })
    , m_storeAnsweredAt(SteadyClock().now())
{
    if (m_settings.admin)
        m_adminServer.emplace(m_executor, *m_settings.admin, [this](HttpServerRequest request) {
            return handleAdminRequest(std::move(request));
        });
    startTask(m_executor, "store", runStoreReader());
    startTask(m_executor, "registration", registerHost());
    startTask(m_executor, "periodic", runPeriodicTasks());
    startTask(m_executor, "initial-registry", fetchInitialRegistry());
    m_log.info("Edge host started", {field("name", m_settings.name), field("zone", m_settings.zone),
                                     field("callers", formatAddress(m_settings.callers)),
                                     field("peer", formatAddress(m_settings.peer)),
                                     field("store", formatAddress(m_settings.store))});
}

template <EdgePlatform P>
OwnUsage *EdgeHost<P>::startUsageAgent()
{
    if (!m_settings.usage)
        return nullptr;
    m_usage.emplace(m_executor, typename UsageAgent<P>::Context{m_settings, m_self, m_registry,
                                                                m_peers, m_metrics, m_random});
    return &m_usage->own();
}

template <EdgePlatform P>
bool EdgeHost<P>::isReady() const
{
    return m_registry.table() != nullptr && !m_isDraining;
}

template <EdgePlatform P>
void EdgeHost<P>::reload(const EdgeSettings &settings)
{
    m_log.info("Settings read again; changes apply at the next start",
               {field("name", settings.name)});
}

// --- The platform's store ---

template <EdgePlatform P>
void EdgeHost<P>::recordStoreSuccess()
{
    const TimePoint now = SteadyClock().now();
    if (m_isStoreUnreachable) {
        m_isStoreUnreachable = false;
        m_registry.recordStoreReconnect(now);
        m_log.info("Store reachable again",
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
        m_log.warning("Store unreachable",
                      {field("error", error), field("revision", m_registry.revision())});
    m_isStoreUnreachable = true;
}

template <EdgePlatform P>
Task<> EdgeHost<P>::runStoreReader()
{
    const TimePoint startedAt = SteadyClock().now();
    const bool usesSeeds =
            m_settings.isFleetBootstrap && !m_settings.seeds.empty() && !m_settings.isSeed;
    if (m_settings.isFleetBootstrap)
        co_await sleepFor(edge_detail::fleetStartWindow);
    bool wasCompacted = false;
    while (true) {
        const TimePoint now = SteadyClock().now();
        const bool hasRegistry = m_registry.table() != nullptr;
        const bool waitsForSeed = usesSeeds && now - startedAt < edge_detail::seedTimeout;
        const bool readsStore = hasRegistry ? m_readerSelector.shouldRead(now) : !waitsForSeed;
        if (readsStore != m_isReadingStore)
            m_log.info(readsStore ? "Store reading started" : "Store reading stopped",
                       {field("revision", m_registry.revision()),
                        field("answer_age_ms",
                              m_readerSelector.answerAge(now).value_or(Milliseconds(-1)).count())});
        const bool startsReading = readsStore && !m_isReadingStore;
        m_isReadingStore = readsStore;
        if (startsReading) {
            m_readingSince = now;
            broadcastNotice(); // Keeps the hosts ranked after this one from reading as well.
        }
        if (!readsStore) {
            co_await sleepFor(edge_detail::readerCheckInterval);
            continue;
        }
        bool retriesLater = false;
        try {
            co_await readStore();
            wasCompacted = false;
        } catch (const RevisionCompacted &) {
            m_log.info("Store compacted the changes since the local revision; listing all entries",
                       {field("revision", m_registry.revision())});
            m_needsListing = true;
            retriesLater = wasCompacted;
            wasCompacted = true;
        } catch (const Error &error) {
            recordStoreFailure(error.what());
            retriesLater = true;
        }
        if (retriesLater)
            co_await sleepFor(
                    edge_detail::storeRetryDelay +
                    Milliseconds(drawBelow(m_random, edge_detail::storeRetryDelay.count())));
    }
}

template <EdgePlatform P>
Task<> EdgeHost<P>::readStore()
{
    // A watch can start at the revision of a copy from another host, without a listing.
    if (m_needsListing || m_registry.revision() == Revision(0)) {
        const BootTime sentAt = BootClock::now();
        const StoreSnapshot snapshot = co_await m_watchStore.list("");
        recordStoreSuccess();
        m_needsListing = false;
        const Revision from = m_registry.revision();
        if (m_registry.applySnapshot(snapshot, SteadyClock().now())) {
            applyRegistryChange();
            m_freshness.recordStoreAnswer(sentAt, Milliseconds(0));
            if (from > Revision(0))
                broadcastNotice();
        }
        // The first listing contains the other hosts, so runStoreReader() decides again whether
        // this host reads the store.
        if (from == Revision(0))
            co_return;
    }
    // The first watch ends early, to show whether this host reaches the store.
    const Milliseconds watchTimeout = m_storeAnsweredAt < m_readingSince
                                              ? StoreReaderSelector::answerInterval
                                              : m_readerSelector.watchTimeout(SteadyClock().now());
    const BootTime sentAt = BootClock::now();
    const StoreChanges changes =
            co_await m_watchStore.watch("", m_registry.revision(), watchTimeout);
    recordStoreSuccess();
    if (changes.changes.empty()) {
        m_freshness.recordStoreAnswer(sentAt, watchTimeout);
        broadcastNotice();
        co_return;
    }
    const Revision from = m_registry.revision();
    m_registry.applyChanges(changes, SteadyClock().now());
    if (m_registry.revision() > from) {
        applyRegistryChange();
        broadcastChanges(from);
    }
    m_freshness.recordStoreAnswer(sentAt, Milliseconds(0));
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
    const TimePoint now = SteadyClock().now();
    m_nextNoticeAt = now + StoreReaderSelector::noticeInterval;
    m_peers.broadcast(
            RegistryNotice{m_registry.revision(), !m_isStoreUnreachable && !m_isDraining,
                           toMilliseconds(now - std::max(m_storeAnsweredAt, m_readingSince))});
}

template <EdgePlatform P>
Task<> EdgeHost<P>::registerHost()
{
    const RegisteredHost host{m_self, m_settings.peer, m_settings.capacity, m_settings.zone};
    const StoreEntry entry = P::makeHostEntry(m_settings.name, host);
    const TimePoint registryDeadline = SteadyClock().now() + edge_detail::initialRegistryTimeout;
    // A restarted host finds its own entry in its first registry copy and need not write it.
    while (!m_settings.isFleetBootstrap && !m_registry.table() &&
           SteadyClock().now() < registryDeadline)
        co_await sleepFor(edge_detail::readerCheckInterval);
    while (true) {
        const StoreEntry *stored = m_registry.find(entry.key);
        if (stored != nullptr && stored->value == entry.value) {
            m_log.info("Registered", {field("new", false), field("revision", stored->modRevision)});
            co_return;
        }
        std::string failure;
        try {
            std::vector<ConditionalPut> conditionalPuts;
            conditionalPuts.push_back({entry.key, Revision(0), entry.value});
            CompareAndSwapResult result =
                    co_await m_writeStore.compareAndSwap(conditionalPuts, noLease);
            if (!result.wasSwapped && result.current && result.current->value != entry.value) {
                conditionalPuts.front().modRevision = result.current->modRevision;
                result = co_await m_writeStore.compareAndSwap(conditionalPuts, noLease);
            }
            m_log.info("Registered", {field("new", result.wasSwapped)});
            co_return;
        } catch (const Error &error) {
            failure = error.what();
        }
        m_log.warning("Registration failed; retrying", {field("error", failure)});
        co_await sleepFor(edge_detail::storeRetryDelay * 4);
    }
}

template <EdgePlatform P>
void EdgeHost<P>::applyRegistryChange()
{
    const TimePoint now = SteadyClock().now();
    const auto hosts = m_registry.hosts();
    m_freshness.applyRegistry();
    m_peers.setHosts(hosts, m_settings.capacity);
    m_readerSelector.setHosts(hosts, now);
    m_placement.applyRegistry(m_registry, m_peers.hostCount(), now);
    m_zones.applyDivisions();
    m_crashArchive.applyRegistry(now);
    m_rollouts.applyOrders(now);
}

// --- Other hosts ---

template <EdgePlatform P>
Task<> EdgeHost<P>::runPeriodicTasks()
{
    TimePoint nextReportAt = SteadyClock().now();
    while (true) {
        const Milliseconds interval = m_placement.hasWaitingRequests()
                                              ? edge_detail::waitingRequestTickInterval
                                              : edge_detail::tickInterval;
        const TimePoint due = SteadyClock().now() + interval;
        co_await sleepFor(interval);
        const TimePoint now = SteadyClock().now();
        m_metrics.observe("endivedock_loop_delay_seconds", {},
                          std::chrono::duration_cast<Microseconds>(now - due));
        m_placement.tick(now);
        startProbes(now);
        shareCrashRecords(now);
        m_zones.stateRooms(now);
        m_freshness.tick(m_isReadingStore, now);
        for (const auto &notice : m_placement.takeDrainingNotices(now))
            m_peers.broadcast(notice);
        if (now < nextReportAt)
            continue;
        nextReportAt = now + m_loadReporter.interval();
        if (m_isReadingStore && now >= m_nextNoticeAt)
            broadcastNotice();
        if (m_registry.removeExpiredEntries(now))
            applyRegistryChange();
        m_rollouts.updateCapacities(now);
        m_aggregator.tick(now);
        m_loadReporter.sendReports(now);
        m_rollouts.writeFinalStatuses(now);
        m_crashArchive.tick(now);
        m_restorer.tick(now);
    }
}

template <EdgePlatform P>
void EdgeHost<P>::handle(const PeerHeader &header, const EdgeMessage &message)
{
    const TimePoint now = SteadyClock().now();
    if (const auto *loadReport = std::get_if<HostLoadReport>(&message)) {
        m_loadReporter.handle(header.sender, *loadReport, now);
    } else if (const auto *aggregated = std::get_if<AggregatedLoad>(&message)) {
        m_peers.recordResponse(header.sender, now);
        m_loadReporter.apply(*aggregated, now);
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
    } else if (const auto *records = std::get_if<CrashRecords>(&message)) {
        handleCrashRecords(header.sender, *records, now);
    } else if (const auto *draining = std::get_if<DrainingNotice>(&message)) {
        m_placement.handle(header.sender, *draining, now);
    } else if (const auto *counts = std::get_if<UsageCounts>(&message); counts && m_usage) {
        m_usage->handle(header.sender, *counts);
    } else if (const auto *room = std::get_if<ZoneRoom>(&message)) {
        m_zones.handle(*room, now);
    } else if (const auto *question = std::get_if<FreshnessQuestion>(&message)) {
        m_freshness.handle(header.sender, *question);
    } else if (const auto *evidence = std::get_if<FreshnessAnswer>(&message)) {
        m_freshness.handle(*evidence);
    }
}

template <EdgePlatform P>
void EdgeHost<P>::shareCrashRecords(TimePoint now)
{
    if (!m_hasRequestedCrashRecords && m_peers.hostCount() > 1) {
        m_hasRequestedCrashRecords = true;
        m_peers.broadcast(CrashRecords{});
    }
    const CrashRecords changes = m_placement.takeCrashChanges(now);
    if (!changes.records.empty())
        m_peers.broadcast(changes);
    if (now < m_nextCrashGossipAt)
        return;
    m_nextCrashGossipAt = now + edge_detail::crashGossipInterval;
    const CrashRecords records = m_placement.crashRecords(now);
    if (!records.records.empty())
        m_peers.sendToRandom(records, edge_detail::crashGossipFanout, m_random);
}

template <EdgePlatform P>
void EdgeHost<P>::handleCrashRecords(HostId from, const CrashRecords &message, TimePoint now)
{
    m_placement.handle(from, message, now);
    if (!message.records.empty())
        return;
    const CrashRecords records = m_placement.crashRecords(now);
    if (!records.records.empty())
        m_peers.send(from, records);
}

template <EdgePlatform P>
void EdgeHost<P>::handleNotice(HostId from, const RegistryNotice &notice, TimePoint now)
{
    m_readerSelector.recordNotice(from, notice.readsStore, now - notice.sinceStoreAnswer, now);
    m_registrySources.recordNotice(from, notice.revision, now);
    if (notice.revision > m_registry.revision() && !m_isFetchingRegistry)
        startTask(m_executor, "registry", fetchAnnouncedChanges());
}

template <EdgePlatform P>
void EdgeHost<P>::handleDelta(HostId from, const RegistryDelta &delta, TimePoint now)
{
    // A reader sends the changes as soon as the store has answered with them.
    m_readerSelector.recordStoreAnswer(from, now);
    if (delta.revision <= m_registry.revision())
        return;
    if (m_registry.applyDelta(delta, now))
        applyRegistryChange();
    else
        handleNotice(from, {delta.revision, true, Milliseconds(0)}, now);
}

template <EdgePlatform P>
std::optional<EdgeMessage> EdgeHost<P>::respond(HostId from, const EdgeMessage &message)
{
    const auto *request = std::get_if<RegistryRequest>(&message);
    if (request == nullptr || m_registry.revision() <= request->knownRevision)
        return std::nullopt;
    RegistryDelta delta = m_registry.deltaSince(request->knownRevision, SteadyClock().now());
    if (delta.from == Revision(0))
        m_log.info("All registry entries requested",
                   {field("by", from), field("known", request->knownRevision),
                    field("revision", delta.revision), field("entries", delta.entries.size())});
    return delta;
}

template <EdgePlatform P>
Task<> EdgeHost<P>::fetchAnnouncedChanges()
{
    const FlagScope fetching(m_isFetchingRegistry);
    while (true) {
        const std::vector<HostId> hosts = m_peers.hosts();
        const auto source =
                m_registrySources.source(m_registry.revision(), hosts, SteadyClock().now());
        const auto address = source ? m_peers.address(*source) : std::nullopt;
        if (!address)
            break;
        const bool isUpdated = co_await fetchRegistry(*source, *address);
        if (isUpdated)
            continue;
        m_registrySources.recordFailure(*source, SteadyClock().now());
        co_await sleepFor(
                edge_detail::registryRetryDelay +
                Milliseconds(drawBelow(m_random, edge_detail::registryRetryDelay.count())));
    }
}

template <EdgePlatform P>
Task<bool> EdgeHost<P>::fetchRegistry(HostId host, Address address)
{
    const TimePoint startedAt = SteadyClock().now();
    const Revision known = m_registry.revision();
    try {
        EdgeMessage request = RegistryRequest{m_registry.requestRevision()};
        const EdgeMessage response = co_await m_streams.request(host, address, std::move(request));
        const auto *delta = std::get_if<RegistryDelta>(&response);
        const TimePoint now = SteadyClock().now();
        if (delta && delta->revision > m_registry.revision() &&
            m_registry.applyDelta(*delta, now)) {
            m_log.info("Registry updated from another host",
                       {field("address", formatAddress(address)),
                        field("revision", delta->revision), field("from", delta->from),
                        field("entries", delta->entries.size()),
                        field("ms", toMilliseconds(now - startedAt).count())});
            applyRegistryChange();
            co_return true;
        }
    } catch (const Error &error) {
        m_log.info("Registry request to another host failed",
                   {field("address", formatAddress(address)), field("known", known),
                    field("ms", toMilliseconds(SteadyClock().now() - startedAt).count()),
                    field("error", error.what())});
    }
    co_return m_registry.revision() > known;
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
        co_await fetchRegistry(anyHost, m_settings.seeds[seed]);
        co_await sleepFor(edge_detail::seedRetryInterval);
    }
}

// --- Probes ---

template <EdgePlatform P>
void EdgeHost<P>::startProbes(TimePoint now)
{
    for (const auto &[service, balancer] : m_placement.balancers()) {
        const bool isPlacingHost = m_peers.placingHost(service, now) == m_self;
        for (const auto &target : balancer->dueProbes(isPlacingHost, now))
            m_prober.startProbe(service, target, m_placement.healthPath(service));
    }
}

template <EdgePlatform P>
void EdgeHost<P>::handleProbeResult(const ServiceId &service, const TargetId &target,
                                    const std::variant<ProbeResult, ProbeFailure> &outcome)
{
    if (const auto *failure = std::get_if<ProbeFailure>(&outcome))
        m_log.info("Probe failed", {field("service", service), field("target", target),
                                    field("error", failure->cause)});
    m_placement.applyProbe(service, target, outcome, SteadyClock().now());
}

// --- Shutdown and HTTP pages ---

template <EdgePlatform P>
void EdgeHost<P>::stop()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    if (m_usage)
        m_usage->stop();
    m_log.info("Shutdown started", {field("name", m_settings.name)});
    startTask(m_executor, "shutdown", shutDown());
}

template <EdgePlatform P>
Task<> EdgeHost<P>::shutDown()
{
    const TimePoint drainStartedAt = SteadyClock().now();
    m_gateway.disableKeepAlive();
    broadcastNotice(); // Tells the other hosts that this host no longer reads the store.
    const TimePoint stopAcceptingAt = drainStartedAt + m_settings.drainDelay;
    if (SteadyClock().now() < stopAcceptingAt)
        co_await sleepFor(stopAcceptingAt - SteadyClock().now());
    m_gateway.stopAccepting();
    while (m_gateway.activity().openConnectionCount > 0 &&
           SteadyClock().now() - drainStartedAt < m_settings.shutdownTimeout)
        co_await sleepFor(edge_detail::drainCheckInterval);
    if (m_usage)
        m_usage->sendCounts();
    m_log.info("Shutdown finished", {field("name", m_settings.name),
                                     field("open", m_gateway.activity().openConnectionCount)});
    m_context.stop();
}

template <EdgePlatform P>
Task<HttpServerResponse> EdgeHost<P>::handleReadinessRequest(HttpServerRequest request)
{
    HttpServerResponse result;
    result.contentType = "text/plain";
    if (request.path != P::readinessPath())
        result.status = 404;
    else
        result.status = isReady() ? 200 : 503;
    co_return result;
}

template <EdgePlatform P>
Task<HttpServerResponse> EdgeHost<P>::handleAdminRequest(HttpServerRequest request)
{
    HttpServerResponse result;
    result.contentType = "text/plain; version=0.0.4";
    if (request.path != "/metrics") {
        result.status = 404;
        co_return result;
    }
    for (const auto &[service, balancer] : m_placement.balancers()) {
        const Labels labels{{"service", service.value()}};
        const BalancerCounters &counters = balancer->counters();
        m_metrics.setGauge("endivedock_chosen", labels, static_cast<double>(counters.chosen));
        m_metrics.setGauge("endivedock_chosen_cold", labels,
                           static_cast<double>(counters.coldGrants));
        m_metrics.setGauge("endivedock_rejected", labels, static_cast<double>(counters.refusals));
        m_metrics.setGauge("endivedock_probes", labels, static_cast<double>(counters.probes));
    }
    m_metrics.setGauge("endivedock_datagrams_sent", {},
                       static_cast<double>(m_peers.counters().sentDatagrams));
    m_metrics.setGauge("endivedock_datagrams_refused", {},
                       static_cast<double>(m_peers.counters().unauthenticDatagrams +
                                           m_peers.counters().replayedDatagrams +
                                           m_peers.counters().malformedDatagrams));
    m_metrics.setGauge("endivedock_datagrams_failed", {},
                       static_cast<double>(m_peers.counters().failedDatagrams));
    result.body = m_metrics.text();
    co_return result;
}

} // namespace endivedock
