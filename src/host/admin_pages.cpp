#include "admin_pages.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace endivedock {

namespace json = boost::json;

namespace {

HttpServerResponse jsonPage(const json::object &object)
{
    return {200, "application/json", json::serialize(object) + "\n"};
}

json::object targetStatus(const TargetStatus &target)
{
    json::object status;
    status["target"] = target.id.value();
    status["zone"] = target.zone.value();
    status["version"] = target.version.value();
    status["inFlight"] = target.inFlight.value();
    status["limit"] = target.limit.value();
    status["cold"] = target.cold;
    status["leaving"] = target.leaving;
    status["ejected"] = target.ejected;
    return status;
}

json::object serviceStatus(const Placer &placer)
{
    json::object status;
    status["waiting"] = placer.waiting();
    status["inFlight"] = placer.inFlight();
    json::array targets;
    for (const auto &target : placer.targets(SteadyClock().now()))
        targets.push_back(targetStatus(target));
    status["targets"] = std::move(targets);
    return status;
}

HttpServerResponse statusPage(const AdminPageContext &host)
{
    json::object status;
    status["host"] = host.settings.id.value();
    status["region"] = host.settings.region.value();
    status["zone"] = host.settings.zone.value();
    status["revision"] = host.configuration.revision().value();
    status["view"] = host.fleet.members().self().view.value();
    status["activeView"] = host.fleet.members().self().activeView.value();
    status["heldShards"] = host.fleet.heldShards();
    status["readsStore"] = host.fleet.readsStore();
    status["leaving"] = host.leaving;
    json::object services;
    for (const auto &id : host.placers.services())
        services[id.value()] = serviceStatus(*host.placers.placer(id));
    status["places"] = std::move(services);
    return jsonPage(status);
}

json::object memberStatus(const MemberState &state, std::string_view liveness,
                          Duration timeSinceHeartbeat)
{
    json::object status;
    status["host"] = state.id.value();
    status["zone"] = state.zone.value();
    status["state"] = state.leaving ? "leaving" : liveness;
    status["revision"] = state.configuration.value();
    status["view"] = state.view.value();
    status["activeView"] = state.activeView.value();
    status["ageMs"] = toMilliseconds(timeSinceHeartbeat).count();
    return status;
}

HttpServerResponse fleetPage(const AdminPageContext &host)
{
    const MemberTable &members = host.fleet.members();
    const TimePoint now = SteadyClock().now();
    json::array hosts;
    hosts.push_back(memberStatus(members.self(), "live", Duration::zero()));
    for (const auto &[id, member] : members.others()) {
        const Liveness liveness = members.liveness(id, now);
        hosts.push_back(
                memberStatus(member.state, name(liveness), members.timeSinceHeartbeat(id, now)));
    }
    json::object page;
    page["hosts"] = std::move(hosts);
    return jsonPage(page);
}

HttpServerResponse movesPage(const AdminPageContext &host)
{
    json::object page;
    for (const auto &id : host.placers.services()) {
        const Placer &placer = *host.placers.placer(id);
        const auto progress = placer.rolloutProgress();
        if (!progress)
            continue;
        json::object move;
        move["number"] = progress->number;
        move["phase"] = name(progress->phase);
        move["share"] = placer.newVersionShare().value();
        move["cause"] = name(progress->cause);
        page[id.value()] = std::move(move);
    }
    return jsonPage(page);
}

void refreshPlacerMetrics(const AdminPageContext &host)
{
    for (const auto &id : host.placers.services()) {
        const Placer &placer = *host.placers.placer(id);
        const Labels labels{{"service", id.value()}};
        const PlacerCounters &counters = placer.counters();
        const auto set = [&](std::string_view name, std::uint64_t value) {
            host.metrics.setGauge(name, labels, static_cast<double>(value));
        };
        set("endivedock_placer_waiting", placer.waiting());
        set("endivedock_placer_in_flight", placer.inFlight());
        set("endivedock_placer_granted", counters.granted);
        set("endivedock_placer_granted_cold", counters.grantedCold);
        set("endivedock_placer_queued", counters.queued);
        set("endivedock_placer_evicted", counters.evicted);
        set("endivedock_placer_overdue", counters.overdue);
        set("endivedock_placer_expired_grants", counters.expiredGrants);
        set("endivedock_placer_ejections", counters.ejections);
        set("endivedock_placer_chills", counters.markedCold);
        set("endivedock_placer_probes", counters.probes);
        set("endivedock_placer_retries", counters.retriesGranted);
    }
}

void refreshHostMetrics(const AdminPageContext &host)
{
    const auto set = [&](std::string_view name, std::uint64_t value) {
        host.metrics.setGauge(name, {}, static_cast<double>(value));
    };
    const TransportCounters &peers = host.fleet.counters();
    set("endivedock_peer_sent_bytes", peers.sentBytes);
    set("endivedock_peer_sent_datagrams", peers.sent);
    set("endivedock_peer_received_bytes", peers.receivedBytes);
    set("endivedock_peer_unauthentic_datagrams", peers.unauthentic);
    set("endivedock_peer_replayed_datagrams", peers.replayed);
    set("endivedock_peer_malformed_datagrams", peers.malformed);
    set("endivedock_peer_too_long_datagrams", peers.tooLong);
    set("endivedock_peer_send_failures", peers.sendFailures);
    set("endivedock_store_calls", host.storeCalls);
    set("endivedock_held_shards", host.fleet.heldShards());
}

HttpServerResponse readyPage(const AdminPageContext &host)
{
    const bool ready =
            !host.leaving && host.configuration.declarations() != nullptr && host.fleet.ready();
    const char *text = host.leaving ? "leaving\n" : ready ? "ready\n" : "starting\n";
    return {ready ? 200u : 503u, "text/plain", text};
}

} // namespace

HttpServerResponse renderAdminPage(const std::string &path, const AdminPageContext &host)
{
    if (path == "/ready")
        return readyPage(host);
    if (path == "/status")
        return statusPage(host);
    if (path == "/fleet")
        return fleetPage(host);
    if (path == "/moves")
        return movesPage(host);
    if (path != "/metrics")
        return {404, "text/plain", "no such page\n"};
    refreshPlacerMetrics(host);
    refreshHostMetrics(host);
    return {200, "text/plain; version=0.0.4", host.metrics.text()};
}

} // namespace endivedock
