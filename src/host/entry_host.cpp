#include "endivedock/host/entry_host.h"

#include "endivedock/directory.h"
#include "endivedock/dispatch/placement_client-inl.h"
#include "endivedock/gateway/gateway_server-inl.h"
#include "endivedock/store.h"

#include "host_link.h"

#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace endivedock {

namespace {

constexpr Milliseconds directoryInterval{300};
constexpr Milliseconds placerTick{10};
constexpr Milliseconds watchTimeout{30'000};
constexpr Milliseconds storeRetry{500};

std::int64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now).count();
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
        , m_link(m_settings.id)
        , m_placers(m_random, [this](const PlacementAnswer &answer) { m_client.deliver(answer); })
        , m_client(m_executor, {m_settings.id, m_configuration, m_metrics, m_random}, m_placers,
                   m_link)
        , m_gateway(m_executor, m_settings.listen,
                    {m_settings.id, m_configuration, m_metrics, m_random}, m_client, m_runs)
        , m_admin(m_executor, m_settings.admin,
                  [this](const HttpCall &call) { return adminPage(call); })
    {
        startTask(m_executor, "configuration", followStore());
        startTask(m_executor, "directory", followDirectory());
        startTask(m_executor, "placers", tickPlacers());
        startTask(m_executor, "reports", resendReports());
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

private:
    Task<> followStore()
    {
        while (true) {
            try {
                const StoreSnapshot snapshot =
                        co_await m_store.list(std::string(declarationPrefix));
                ConfigurationCopy copy{snapshot.revision, {}};
                for (const auto &entry : snapshot.entries)
                    copy.entries.push_back({entry.key, entry.value});
                offer(std::move(copy));
                co_await m_store.awaitChange(std::string(declarationPrefix), snapshot.revision,
                                             watchTimeout);
                continue;
            } catch (const Error &error) {
                m_metrics.count("endivedock_store_failures_total");
                m_log.warning("The store failed", {field("error", error.what())});
            }
            co_await sleepFor(storeRetry);
        }
    }

    void offer(ConfigurationCopy copy)
    {
        const OfferOutcome outcome = m_configuration.offer(std::move(copy));
        if (outcome == OfferOutcome::Invalid) {
            m_metrics.count("endivedock_configurations_rejected_total");
            m_log.error("Rejected a configuration", {field("error", m_configuration.lastError())});
        }
        if (outcome != OfferOutcome::Accepted)
            return;
        m_log.info("Configuration in force", {field("revision", m_configuration.revision())});
        const auto declarations = m_configuration.declarations();
        const TimePoint now = SteadyClock().now();
        m_placers.configure(declarations, now, wallMilliseconds());
        for (const auto &[id, service] : declarations->services)
            m_placers.start(id, now, now, wallMilliseconds());
    }

    Task<> followDirectory()
    {
        while (true) {
            try {
                Listing listing = co_await m_directory.list();
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
            co_await sleepFor(placerTick);
            m_placers.tick(SteadyClock().now());
        }
    }

    Task<> resendReports()
    {
        while (true) {
            co_await sleepFor(m_client.resendTime);
            m_client.resendReports();
        }
    }

    /** Serves until the balancer has stopped sending, then finishes what is open. */
    Task<> shutDown()
    {
        const TimePoint toldAt = SteadyClock().now();
        while (true) {
            const TimePoint now = SteadyClock().now();
            const bool quiet = now - m_gateway.lastArrival() >= m_settings.drainDelay;
            const bool longEnough = now - toldAt >= m_settings.drainDelay * mostDrainDelays;
            if (now - toldAt >= m_settings.drainDelay && (quiet || longEnough))
                break;
            co_await sleepFor(Milliseconds(20));
        }
        m_gateway.stopAccepting();
        while (m_gateway.openConnections() > 0)
            co_await sleepFor(Milliseconds(20));
        m_log.info("Stopped");
        m_context.stop();
    }

    Task<HttpResult> adminPage(HttpCall call)
    {
        if (call.path == "/metrics")
            co_return HttpResult{200, "text/plain; version=0.0.4", m_metrics.text()};
        if (call.path == "/ready")
            co_return HttpResult{m_leaving || !m_configuration.declarations() ? 503u : 200u,
                                 "text/plain", m_leaving ? "leaving\n" : "ready\n"};
        if (call.path == "/status")
            co_return HttpResult{200, "application/json", statusText()};
        if (call.path == "/fleet")
            co_return HttpResult{200, "application/json", fleetText()};
        co_return HttpResult{404, "text/plain", "no such page\n"};
    }

    std::string fleetText() const
    {
        boost::json::object self;
        self["host"] = m_settings.id.value();
        self["zone"] = m_settings.zone.value();
        self["state"] = m_leaving ? "leaving" : "live";
        self["revision"] = m_configuration.revision().value();
        self["ageMs"] = 0;
        boost::json::object fleet;
        fleet["hosts"] = boost::json::array{self};
        return boost::json::serialize(fleet) + "\n";
    }

    std::string statusText()
    {
        boost::json::object status;
        status["host"] = m_settings.id.value();
        status["zone"] = m_settings.zone.value();
        status["revision"] = m_configuration.revision().value();
        status["leaving"] = m_leaving;
        boost::json::object services;
        for (const auto &id : m_placers.services())
            services[id.value()] = serviceStatus(*m_placers.placer(id));
        status["places"] = std::move(services);
        return boost::json::serialize(status) + "\n";
    }

    static boost::json::object serviceStatus(const Placer &placer)
    {
        boost::json::object status;
        status["waiting"] = placer.waiting();
        status["inFlight"] = placer.inFlight();
        boost::json::array targets;
        for (const auto &target : placer.targets(SteadyClock().now())) {
            boost::json::object entry;
            entry["target"] = target.id.value();
            entry["zone"] = target.zone.value();
            entry["version"] = target.version.value();
            entry["inFlight"] = target.inFlight.value();
            entry["limit"] = target.limit.value();
            entry["cold"] = target.cold;
            entry["leaving"] = target.leaving;
            entry["ejected"] = target.ejected;
            targets.push_back(std::move(entry));
        }
        status["targets"] = std::move(targets);
        return status;
    }

    static constexpr int mostDrainDelays = 20;

    asio::io_context &m_context;
    asio::any_io_executor m_executor;
    HostSettings m_settings;
    Random m_random = systemRandom();
    Metrics m_metrics;
    NewestConfiguration m_configuration;
    EtcdStore m_store;
    HttpDirectory m_directory;
    HostLink m_link;
    HostRuns m_runs;
    PlacementHost m_placers;
    PlacementClient<HostLink> m_client;
    GatewayServer<PlacementClient<HostLink>, HostRuns> m_gateway;
    HttpServer m_admin;
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

} // namespace endivedock
