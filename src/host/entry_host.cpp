#include "endivedock/host/entry_host.h"

#include "endivedock/directory.h"
#include "endivedock/dispatch/placement_client-inl.h"
#include "endivedock/gateway/gateway_server-inl.h"
#include "endivedock/store.h"

#include "admin_pages.h"
#include "fleet_agent.h"
#include "quorum_run_guard.h"

namespace endivedock {

namespace {

constexpr Milliseconds directoryPollInterval{300};
constexpr Milliseconds placerTickInterval{10};
constexpr Milliseconds probeTickInterval{100};
constexpr Milliseconds watchTimeout{20'000};
constexpr Milliseconds storeRetryInterval{500};
constexpr Milliseconds viewCheckInterval{500};
constexpr Milliseconds rolloutCheckInterval{300};
constexpr Milliseconds probeTimeout{500};
constexpr Milliseconds drainCheckInterval{20};
/** A shutdown waits at most this many drain delays for callers to stop sending requests. */
constexpr int maxDrainDelays = 20;

/**
 * @return the start time, so that a restarted host has a greater incarnation than before, unless
 * the clock was set back by more than the time between the two starts
 */
Incarnation newIncarnation()
{
    return Incarnation(static_cast<std::uint64_t>(unixTimeMilliseconds()));
}

} // namespace

class EntryHost::Impl
{
public:
    Impl(asio::io_context &context, HostSettings settings)
        : m_context(context)
        , m_executor(context.get_executor())
        , m_settings(std::move(settings))
        , m_store(m_executor, m_settings.store, m_settings.storeTimeout)
        , m_directory(m_executor, m_settings.directory, m_settings.storeTimeout)
        , m_placers(m_random,
                    [this](const PlacementAnswer &answer) { deliverPlacementAnswer(answer); })
        , m_fleet(m_executor, m_settings, newIncarnation(), m_placers, m_random, m_metrics,
                  makeFleetCallbacks())
        , m_client(m_executor, {m_settings.id, m_configuration, m_metrics, m_random}, m_placers,
                   m_fleet)
        , m_runGuard(m_executor, m_settings.id, m_fleet, m_metrics)
        , m_gateway(m_executor, m_settings.listen,
                    {m_settings.id, m_metrics, m_random, nullptr, m_settings.machine},
                    NativeFrontEnd(m_configuration), m_client, m_runGuard)
        , m_admin(m_executor, m_settings.admin,
                  [this](const HttpServerRequest &request) { return handleAdminRequest(request); })
    {
        startTask(m_executor, "configuration", watchStore());
        startTask(m_executor, "directory", pollDirectory());
        startTask(m_executor, "placers", tickPlacers());
        startTask(m_executor, "probes", probeTargets());
        startTask(m_executor, "reports", resendReports());
        startTask(m_executor, "view", maintainView());
        startTask(m_executor, "moves", recordRolloutStatuses());
        m_log.info("Listening", {field("host", m_settings.id),
                                 field("callers", formatAddress(m_gateway.localAddress())),
                                 field("admin", formatAddress(m_admin.localAddress()))});
    }

    void stop()
    {
        if (m_isLeaving)
            return;
        m_isLeaving = true;
        m_log.info("Shutdown started");
        startTask(m_executor, "shutdown", shutDown());
    }

    void setKeys(const std::vector<std::string> &keys)
    {
        m_fleet.setKeys(keys);
        m_log.info("Peer keys replaced", {field("keys", keys.size())});
    }

private:
    FleetCallbacks makeFleetCallbacks()
    {
        FleetCallbacks callbacks;
        callbacks.onConfigurationUpdate = [this](ConfigurationUpdate update) {
            handleConfigurationUpdate(std::move(update));
        };
        callbacks.makeConfigurationUpdate = [this] {
            return ConfigurationUpdate{m_configuration.snapshot(), m_fleet.acceptor().view()};
        };
        callbacks.onPlacementAnswer = [this](const PlacementAnswer &answer) {
            m_client.deliver(answer);
        };
        callbacks.onReportAck = [this](const AttemptReportAck &ack) { m_client.deliver(ack); };
        callbacks.inFlight = [this](const ServiceId &service) {
            return m_client.inFlight(service);
        };
        callbacks.onClaimAnswer = [this](HostId replica, const ClaimAnswer &answer) {
            m_runGuard.deliver(replica, answer);
        };
        return callbacks;
    }

    void deliverPlacementAnswer(const PlacementAnswer &answer)
    {
        if (answer.attempt.host == m_settings.id)
            m_client.deliver(answer);
        else
            m_fleet.send(answer.attempt.host, answer);
    }

    // --- Configuration ---

    Task<> watchStore()
    {
        while (true) {
            // Few hosts read the store, so that its load does not grow with the fleet. A host that
            // has no configuration yet reads the store as well, since its peers may not have one.
            if (!m_fleet.readsStore() && m_configuration.declarations()) {
                co_await sleepFor(storeRetryInterval);
                continue;
            }
            try {
                const Revision storeRevision = co_await readStore();
                co_await m_store.awaitChange("/endivedock/", storeRevision, watchTimeout);
                continue;
            } catch (const Error &error) {
                m_metrics.count("endivedock_store_failures_total");
                m_log.warning("Store read failed", {field("error", error.what())});
            }
            co_await sleepFor(storeRetryInterval);
        }
    }

    /** Reads the declarations and the view. @return the revision of the store that was read */
    Task<Revision> readStore()
    {
        const StoreSnapshot snapshot = co_await m_store.list(std::string(declarationPrefix));
        ConfigurationSnapshot configuration;
        for (const auto &entry : snapshot.entries) {
            configuration.entries.push_back({entry.key, entry.value});
            configuration.revision = std::max(configuration.revision, entry.modRevision);
        }
        const auto view = co_await m_store.get(std::string(viewKey));
        if (view)
            m_fleet.installView(parseView(view->value, ViewNumber(view->modRevision.value())));
        m_hasReadView = true;
        applyConfiguration(std::move(configuration));
        co_return snapshot.revision;
    }

    void handleConfigurationUpdate(ConfigurationUpdate update)
    {
        m_fleet.installView(update.view);
        applyConfiguration(std::move(update.configuration));
    }

    void applyConfiguration(ConfigurationSnapshot configuration)
    {
        const ApplyOutcome outcome = m_configuration.applyIfNewer(std::move(configuration));
        if (outcome == ApplyOutcome::Invalid) {
            m_metrics.count("endivedock_configurations_rejected_total");
            m_log.error("Configuration rejected", {field("error", m_configuration.lastError())});
        }
        if (outcome != ApplyOutcome::Accepted)
            return;
        m_log.info("Configuration applied", {field("revision", m_configuration.revision())});
        const auto declarations = m_configuration.declarations();
        m_placers.configure(declarations, SteadyClock().now(), unixTimeMilliseconds());
        m_fleet.applyConfiguration(declarations, m_configuration.revision());
    }

    /** Writes a new view to the store if hosts have come or gone and this host is to propose it. */
    Task<> maintainView()
    {
        while (true) {
            co_await sleepFor(viewCheckInterval);
            if (!m_hasReadView)
                continue;
            const auto proposed = m_fleet.viewToPropose();
            if (!proposed)
                continue;
            try {
                const Revision knownRevision(proposed->previousNumber.value());
                std::vector<ConditionalPut> conditionalPuts{
                        {std::string(viewKey), knownRevision, formatView(*proposed)}};
                const CompareAndSwapResult result =
                        co_await compareAndSwapWithReadBack(m_store, std::move(conditionalPuts));
                const auto current = co_await m_store.get(std::string(viewKey));
                if (current)
                    m_fleet.installView(
                            parseView(current->value, ViewNumber(current->modRevision.value())));
                m_metrics.count("endivedock_view_changes_total",
                                {{"outcome", result.wasSwapped ? "made" : "lost"}});
            } catch (const Error &error) {
                m_log.warning("View write failed", {field("error", error.what())});
            }
        }
    }

    // --- Targets ---

    Task<> pollDirectory()
    {
        while (true) {
            try {
                DirectoryListing listing = co_await m_directory.list();
                m_fleet.applyDirectoryListing(listing.hosts);
                m_placers.setTargets(listing.targets, SteadyClock().now());
                m_client.setTargets(std::move(listing.targets));
            } catch (const DirectoryError &error) {
                m_metrics.count("endivedock_directory_failures_total");
                m_log.debug("Directory listing failed", {field("error", error.what())});
            }
            co_await sleepFor(directoryPollInterval);
        }
    }

    Task<> tickPlacers()
    {
        while (true) {
            const TimePoint due = SteadyClock().now() + placerTickInterval;
            co_await sleepFor(placerTickInterval);
            const TimePoint now = SteadyClock().now();
            m_metrics.observe("endivedock_loop_delay_seconds", {},
                              std::chrono::duration_cast<Microseconds>(now - due));
            m_placers.tick(now);
        }
    }

    Task<> probeTargets()
    {
        while (true) {
            co_await sleepFor(probeTickInterval);
            for (const auto &service : m_placers.services()) {
                for (auto &request : m_placers.placer(service)->dueProbes(SteadyClock().now())) {
                    if (!m_client.isPaused(request.target))
                        startTask(m_executor, "probe", probe(service, std::move(request)));
                }
            }
        }
    }

    Task<> probe(ServiceId service, ProbeRequest request)
    {
        std::optional<Incarnation> incarnation;
        bool isDraining = false;
        try {
            TargetConnection connection(m_executor);
            const TimePoint deadline = SteadyClock().now() + probeTimeout;
            co_await connection.connect(request.address, deadline);
            connection.setDeadline(deadline);
            RequestHead head;
            head.method = "GET";
            head.path = request.path;
            co_await connection.sendHead(head);
            co_await connection.endRequest();
            const ResponseHead response = co_await connection.readHead();
            const TargetReport report = parseTargetReport(response.fields);
            incarnation = report.incarnation.value_or(Incarnation(0));
            isDraining = report.isDraining;
        } catch (const Error &) {
            m_metrics.count("endivedock_probe_failures_total", {{"service", service.value()}});
        }
        if (Placer *placer = m_placers.placer(service))
            placer->applyProbeResult(request.target, incarnation, isDraining, SteadyClock().now());
    }

    Task<> resendReports()
    {
        while (true) {
            co_await sleepFor(m_client.initialResendInterval);
            m_client.resendReports();
        }
    }

    /** Writes the status of each ended rollout to the store; retries until the write succeeds. */
    Task<> recordRolloutStatuses()
    {
        while (true) {
            co_await sleepFor(rolloutCheckInterval);
            for (const auto &service : m_placers.services()) {
                try {
                    co_await recordRolloutStatus(service);
                } catch (const Error &error) {
                    m_log.warning("Rollout status write failed",
                                  {field("service", service), field("error", error.what())});
                }
            }
        }
    }

    Task<> recordRolloutStatus(ServiceId service)
    {
        const auto declarations = m_configuration.declarations();
        const Service *declared = declarations ? declarations->find(service) : nullptr;
        Placer *placer = m_placers.placer(service);
        if (declared == nullptr || placer == nullptr || !declared->rollout)
            co_return;
        const auto progress = placer->rolloutProgress();
        const bool hasEnded = progress && progress->phase >= RolloutPhase::Done;
        if (!hasEnded || declared->rollout->state != RolloutState::Running)
            co_return;
        Rollout rollout = *declared->rollout;
        const bool isDone = progress->phase == RolloutPhase::Done;
        rollout.state = isDone ? RolloutState::Done : RolloutState::RolledBack;
        if (!isDone)
            rollout.cause = name(progress->cause);
        const auto fault = placer->rolloutFault();
        const auto current = co_await m_store.get(rolloutKey(service));
        if (!current)
            co_return;
        const auto value = parseJson(current->value, current->key);
        const Rollout stored = parseRollout(JsonNode(value, current->key));
        if (stored.number != rollout.number || stored.state != RolloutState::Running)
            co_return;
        std::vector<ConditionalPut> conditionalPuts{
                {current->key, current->modRevision, formatRollout(rollout)}};
        const CompareAndSwapResult result =
                co_await compareAndSwapWithReadBack(m_store, std::move(conditionalPuts));
        if (!result.wasSwapped)
            co_return;
        if (fault)
            m_log.info("Rollout fault detected",
                       {field("service", service), field("route", fault->route.value()),
                        field("step", progress->step), field("window", fault->window),
                        field("new_bad", fault->newVersion.badResponses),
                        field("new_answers", fault->newVersion.responses),
                        field("old_bad", fault->oldVersion.badResponses),
                        field("old_answers", fault->oldVersion.responses),
                        field("old_compared", fault->isOldCompared)});
        m_log.info("Rollout ended",
                   {field("service", service), field("verdict", name(progress->phase)),
                    field("cause", name(progress->cause))});
    }

    // --- Shutdown ---

    /**
     * Releases the leases, serves until the balancer in front has stopped sending requests, and
     * stops the context when no connection is open and all reports are acknowledged.
     */
    Task<> shutDown()
    {
        m_fleet.leave();
        const TimePoint startedAt = SteadyClock().now();
        while (true) {
            const TimePoint now = SteadyClock().now();
            const bool isIdle = now - m_gateway.activity().lastArrival >= m_settings.drainDelay;
            const bool hasReachedLimit = now - startedAt >= m_settings.drainDelay * maxDrainDelays;
            if (now - startedAt >= m_settings.drainDelay && (isIdle || hasReachedLimit))
                break;
            co_await sleepFor(drainCheckInterval);
        }
        m_gateway.stopAccepting();
        while (m_gateway.activity().openConnectionCount > 0 || m_client.unacknowledgedReports() > 0)
            co_await sleepFor(drainCheckInterval);
        m_log.info("Shutdown completed");
        m_context.stop();
    }

    Task<HttpServerResponse> handleAdminRequest(HttpServerRequest request)
    {
        const AdminPageContext context{m_settings, m_configuration, m_placers,  m_fleet,
                                       m_metrics,  m_store.calls(), m_isLeaving};
        co_return renderAdminPage(request.path, context);
    }

    asio::io_context &m_context;
    asio::any_io_executor m_executor;
    HostSettings m_settings;
    Random m_random = systemRandom();
    Metrics m_metrics;
    NewestConfiguration m_configuration;
    EtcdStore m_store;
    HttpDirectory m_directory;
    LocalPlacers m_placers;
    FleetAgent m_fleet;
    PlacementClient<FleetAgent> m_client;
    QuorumRunGuard m_runGuard;
    GatewayServer<NativeFrontEnd, PlacementClient<FleetAgent>, QuorumRunGuard> m_gateway;
    HttpServer m_admin;
    bool m_hasReadView = false;
    bool m_isLeaving = false;
    Log m_log{"host"};
};

EntryHost::EntryHost(asio::io_context &context, HostSettings settings)
    : m_impl(std::make_unique<Impl>(context, std::move(settings)))
{
}

EntryHost::~EntryHost() = default;

void EntryHost::stop()
{
    m_impl->stop();
}

void EntryHost::setKeys(const std::vector<std::string> &keys)
{
    m_impl->setKeys(keys);
}

} // namespace endivedock
