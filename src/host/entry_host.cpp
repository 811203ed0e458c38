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

constexpr Milliseconds directoryInterval{300};
constexpr Milliseconds placerTick{10};
constexpr Milliseconds probeTick{100};
constexpr Milliseconds watchTimeout{20'000};
constexpr Milliseconds storeRetry{500};
constexpr Milliseconds viewCheck{500};
constexpr Milliseconds moveCheck{300};
constexpr Milliseconds probeTimeout{500};
constexpr Milliseconds drainCheck{20};
/** Connections that keep arriving hold up a shutdown no longer than this many drain delays. */
constexpr int mostDrainDelays = 20;

/** A restart gets a greater one, as long as the clock does not go back by the time of a restart. */
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
        , m_placers(m_random, [this](const PlacementAnswer &answer) { passOn(answer); })
        , m_fleet(m_executor, m_settings, newIncarnation(), m_placers, m_random, m_metrics,
                  fleetEvents())
        , m_client(m_executor, {m_settings.id, m_configuration, m_metrics, m_random}, m_placers,
                   m_fleet)
        , m_runs(m_executor, m_settings.id, m_fleet, m_metrics)
        , m_gateway(m_executor, m_settings.listen, {m_settings.id, m_metrics, m_random},
                    NativeFrontEnd(m_configuration), m_client, m_runs)
        , m_admin(m_executor, m_settings.admin,
                  [this](const HttpServerRequest &call) { return adminPage(call); })
    {
        startTask(m_executor, "configuration", followStore());
        startTask(m_executor, "directory", followDirectory());
        startTask(m_executor, "placers", tickPlacers());
        startTask(m_executor, "probes", probeTargets());
        startTask(m_executor, "reports", resendReports());
        startTask(m_executor, "view", keepView());
        startTask(m_executor, "moves", settleMoves());
        m_log.info("Listening", {field("host", m_settings.id),
                                 field("callers", formatAddress(m_gateway.localAddress())),
                                 field("admin", formatAddress(m_admin.localAddress()))});
    }

    void stop()
    {
        if (m_leaving)
            return;
        m_leaving = true;
        m_log.info("Shutting down");
        startTask(m_executor, "shutdown", shutDown());
    }

    void setKeys(const std::vector<std::string> &keys)
    {
        m_fleet.setKeys(keys);
        m_log.info("Peer keys replaced", {field("keys", keys.size())});
    }

private:
    FleetCallbacks fleetEvents()
    {
        FleetCallbacks events;
        events.onCopy = [this](ConfigurationUpdate copy) { takeCopy(std::move(copy)); };
        events.currentCopy = [this] {
            return ConfigurationUpdate{m_configuration.copy(), m_fleet.acceptor().view()};
        };
        events.onPlacementAnswer = [this](const PlacementAnswer &answer) {
            m_client.deliver(answer);
        };
        events.onReceipt = [this](const AttemptReportAck &receipt) { m_client.deliver(receipt); };
        events.inFlight = [this](const ServiceId &service) { return m_client.inFlight(service); };
        events.onClaimAnswer = [this](HostId replica, const ClaimAnswer &answer) {
            m_runs.deliver(replica, answer);
        };
        return events;
    }

    void passOn(const PlacementAnswer &answer)
    {
        if (answer.attempt.host == m_settings.id)
            m_client.deliver(answer);
        else
            m_fleet.send(answer.attempt.host, answer);
    }

    // --- Configuration ---

    Task<> followStore()
    {
        while (true) {
            // Few hosts read the store, so that its load does not grow with the fleet; a host that
            // cannot get a configuration from its peers reads as well.
            if (!m_fleet.readsStore() && m_configuration.declarations()) {
                co_await sleepFor(storeRetry);
                continue;
            }
            try {
                const Revision seen = co_await readStore();
                co_await m_store.awaitChange("/endivedock/", seen, watchTimeout);
                continue;
            } catch (const Error &error) {
                m_metrics.count("endivedock_store_failures_total");
                m_log.warning("The store failed", {field("error", error.what())});
            }
            co_await sleepFor(storeRetry);
        }
    }

    /** @return the store's revision from which on changes are news */
    Task<Revision> readStore()
    {
        const StoreSnapshot snapshot = co_await m_store.list(std::string(declarationPrefix));
        ConfigurationSnapshot copy;
        for (const auto &entry : snapshot.entries) {
            copy.entries.push_back({entry.key, entry.value});
            copy.revision = std::max(copy.revision, entry.modRevision);
        }
        const auto view = co_await m_store.get(std::string(viewKey));
        if (view)
            m_fleet.adoptView(parseView(view->value, ViewNumber(view->modRevision.value())));
        m_viewRead = true;
        applyIfNewer(std::move(copy));
        co_return snapshot.revision;
    }

    void takeCopy(ConfigurationUpdate copy)
    {
        m_fleet.adoptView(copy.view);
        applyIfNewer(std::move(copy.configuration));
    }

    void applyIfNewer(ConfigurationSnapshot copy)
    {
        const ApplyOutcome outcome = m_configuration.applyIfNewer(std::move(copy));
        if (outcome == ApplyOutcome::Invalid) {
            m_metrics.count("endivedock_configurations_rejected_total");
            m_log.error("Rejected a configuration", {field("error", m_configuration.lastError())});
        }
        if (outcome != ApplyOutcome::Accepted)
            return;
        m_log.info("Configuration in force", {field("revision", m_configuration.revision())});
        const auto declarations = m_configuration.declarations();
        m_placers.configure(declarations, SteadyClock().now(), unixTimeMilliseconds());
        m_fleet.configurationChanged(declarations, m_configuration.revision());
    }

    /** Writes a new view when hosts have come or gone. */
    Task<> keepView()
    {
        while (true) {
            co_await sleepFor(viewCheck);
            if (!m_viewRead)
                continue;
            const auto next = m_fleet.proposal();
            if (!next)
                continue;
            try {
                const Revision known(next->previousNumber.value());
                std::vector<ConditionalPut> conditionalPuts{
                        {std::string(viewKey), known, formatView(*next)}};
                const CompareAndSwapResult result =
                        co_await compareAndSwapWithReadBack(m_store, std::move(conditionalPuts));
                const auto present = co_await m_store.get(std::string(viewKey));
                if (present)
                    m_fleet.adoptView(
                            parseView(present->value, ViewNumber(present->modRevision.value())));
                m_metrics.count("endivedock_view_changes_total",
                                {{"outcome", result.swapped ? "made" : "lost"}});
            } catch (const Error &error) {
                m_log.warning("The view could not be written", {field("error", error.what())});
            }
        }
    }

    // --- Targets ---

    Task<> followDirectory()
    {
        while (true) {
            try {
                DirectoryListing listing = co_await m_directory.list();
                m_fleet.listingChanged(listing.hosts);
                m_placers.setTargets(listing.targets, SteadyClock().now());
                m_client.setTargets(std::move(listing.targets));
            } catch (const DirectoryError &error) {
                m_metrics.count("endivedock_directory_failures_total");
                m_log.debug("The directory failed", {field("error", error.what())});
            }
            co_await sleepFor(directoryInterval);
        }
    }

    Task<> tickPlacers()
    {
        while (true) {
            const TimePoint due = SteadyClock().now() + placerTick;
            co_await sleepFor(placerTick);
            const TimePoint now = SteadyClock().now();
            m_metrics.observe("endivedock_loop_delay_seconds", {},
                              std::chrono::duration_cast<Microseconds>(now - due));
            m_placers.tick(now);
        }
    }

    Task<> probeTargets()
    {
        while (true) {
            co_await sleepFor(probeTick);
            for (const auto &service : m_placers.services()) {
                for (auto &order : m_placers.placer(service)->dueProbes(SteadyClock().now()))
                    startTask(m_executor, "probe", probe(service, std::move(order)));
            }
        }
    }

    Task<> probe(ServiceId service, ProbeRequest order)
    {
        std::optional<Incarnation> incarnation;
        bool draining = false;
        try {
            TargetConnection connection(m_executor);
            const TimePoint deadline = SteadyClock().now() + probeTimeout;
            co_await connection.connect(order.address, deadline);
            connection.setDeadline(deadline);
            RequestHead head;
            head.method = "GET";
            head.path = order.path;
            co_await connection.sendHead(head);
            co_await connection.endRequest();
            const ResponseHead answer = co_await connection.readHead();
            const TargetReport report = parseTargetReport(answer.fields);
            incarnation = report.incarnation.value_or(Incarnation(0));
            draining = report.draining;
        } catch (const Error &) {
            m_metrics.count("endivedock_probe_failures_total", {{"service", service.value()}});
        }
        if (Placer *placer = m_placers.placer(service))
            placer->applyProbeResult(order.target, incarnation, draining, SteadyClock().now());
    }

    Task<> resendReports()
    {
        while (true) {
            co_await sleepFor(m_client.initialResendInterval);
            m_client.resendReports();
        }
    }

    /** Writes the verdicts of ended moves to the store, as soon as it can be reached. */
    Task<> settleMoves()
    {
        while (true) {
            co_await sleepFor(moveCheck);
            for (const auto &service : m_placers.services()) {
                try {
                    co_await settleMove(service);
                } catch (const Error &error) {
                    m_log.warning("A verdict could not be written",
                                  {field("service", service), field("error", error.what())});
                }
            }
        }
    }

    Task<> settleMove(ServiceId service)
    {
        const auto declarations = m_configuration.declarations();
        const Service *declared = declarations ? declarations->find(service) : nullptr;
        Placer *placer = m_placers.placer(service);
        if (declared == nullptr || placer == nullptr || !declared->rollout)
            co_return;
        const auto progress = placer->rolloutProgress();
        const bool ended = progress && progress->phase >= RolloutPhase::Done;
        if (!ended || declared->rollout->state != RolloutState::Running)
            co_return;
        Rollout move = *declared->rollout;
        const bool done = progress->phase == RolloutPhase::Done;
        move.state = done ? RolloutState::Done : RolloutState::RolledBack;
        if (!done)
            move.cause = name(progress->cause);
        const auto present = co_await m_store.get(rolloutKey(service));
        if (!present)
            co_return;
        const auto value = parseJson(present->value, present->key);
        const Rollout stored = parseRollout(JsonNode(value, present->key));
        if (stored.number != move.number || stored.state != RolloutState::Running)
            co_return;
        std::vector<ConditionalPut> conditionalPuts{
                {present->key, present->modRevision, formatRollout(move)}};
        const CompareAndSwapResult result =
                co_await compareAndSwapWithReadBack(m_store, std::move(conditionalPuts));
        if (result.swapped)
            m_log.info("Move ended",
                       {field("service", service), field("verdict", name(progress->phase)),
                        field("cause", name(progress->cause))});
    }

    // --- Shutdown ---

    /** Hands on what this host holds, serves until the balancer has stopped sending, and ends. */
    Task<> shutDown()
    {
        m_fleet.leave();
        const TimePoint toldAt = SteadyClock().now();
        while (true) {
            const TimePoint now = SteadyClock().now();
            const bool quiet = now - m_gateway.activity().lastArrival >= m_settings.drainDelay;
            const bool longEnough = now - toldAt >= m_settings.drainDelay * mostDrainDelays;
            if (now - toldAt >= m_settings.drainDelay && (quiet || longEnough))
                break;
            co_await sleepFor(drainCheck);
        }
        m_gateway.stopAccepting();
        while (m_gateway.activity().openConnections > 0 || m_client.unconfirmedReports() > 0)
            co_await sleepFor(drainCheck);
        m_log.info("Stopped");
        m_context.stop();
    }

    Task<HttpServerResponse> adminPage(HttpServerRequest call)
    {
        const AdminPageContext view{m_settings, m_configuration, m_placers, m_fleet,
                                    m_metrics,  m_store.calls(), m_leaving};
        co_return renderAdminPage(call.path, view);
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
    QuorumRunGuard m_runs;
    GatewayServer<NativeFrontEnd, PlacementClient<FleetAgent>, QuorumRunGuard> m_gateway;
    HttpServer m_admin;
    bool m_viewRead = false;
    bool m_leaving = false;
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
