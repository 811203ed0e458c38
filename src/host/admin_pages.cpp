#include "admin_pages.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace endivedock {

namespace json = boost::json;

namespace {

HttpServerResponse makeJsonPage(const json::object &object)
{
    return {200, "application/json", json::serialize(object) + "\n"};
}

json::object makeTargetStatus(const TargetStatus &target)
{
    json::object status;
    status["target"] = target.id.value();
    status["zone"] = target.zone.value();
    status["version"] = target.version.value();
    status["inFlight"] = target.inFlight.value();
    status["limit"] = target.limit.value();
    status["cold"] = target.isCold;
    status["leaving"] = target.isLeaving;
    status["ejected"] = target.isEjected;
    return status;
}

json::object makeServiceStatus(const Placer &placer)
{
    json::object status;
    status["waiting"] = placer.waiting();
    status["inFlight"] = placer.inFlight();
    json::array targets;
    for (const auto &target : placer.targets(SteadyClock().now()))
        targets.push_back(makeTargetStatus(target));
    status["targets"] = std::move(targets);
    return status;
}

HttpServerResponse renderStatusPage(const AdminPageContext &context)
{
    json::object status;
    status["host"] = context.settings.id.value();
    status["region"] = context.settings.region.value();
    status["zone"] = context.settings.zone.value();
    status["revision"] = context.configuration.revision().value();
    status["view"] = context.fleet.members().self().view.value();
    status["activeView"] = context.fleet.members().self().activeView.value();
    status["heldShards"] = context.fleet.heldShards();
    status["readsStore"] = context.fleet.readsStore();
    status["leaving"] = context.isLeaving;
    json::object services;
    for (const auto &id : context.placers.services())
        services[id.value()] = makeServiceStatus(*context.placers.placer(id));
    status["places"] = std::move(services);
    return makeJsonPage(status);
}

json::object makeMemberStatus(const MemberState &state, std::string_view liveness,
                              Duration timeSinceHeartbeat)
{
    json::object status;
    status["host"] = state.id.value();
    status["zone"] = state.zone.value();
    status["state"] = state.isLeaving ? "leaving" : liveness;
    status["revision"] = state.configuration.value();
    status["view"] = state.view.value();
    status["activeView"] = state.activeView.value();
    status["ageMs"] = toMilliseconds(timeSinceHeartbeat).count();
    return status;
}

HttpServerResponse renderFleetPage(const AdminPageContext &context)
{
    const MemberTable &members = context.fleet.members();
    const TimePoint now = SteadyClock().now();
    json::array hosts;
    hosts.push_back(makeMemberStatus(members.self(), "live", Duration::zero()));
    for (const auto &[id, member] : members.others()) {
        const Liveness liveness = members.liveness(id, now);
        hosts.push_back(makeMemberStatus(member.state, name(liveness),
                                         members.timeSinceHeartbeat(id, now)));
    }
    json::object page;
    page["hosts"] = std::move(hosts);
    return makeJsonPage(page);
}

HttpServerResponse renderRolloutsPage(const AdminPageContext &context)
{
    json::object page;
    for (const auto &id : context.placers.services()) {
        const Placer &placer = *context.placers.placer(id);
        const auto progress = placer.rolloutProgress();
        if (!progress)
            continue;
        json::object rollout;
        rollout["number"] = progress->number;
        rollout["phase"] = name(progress->phase);
        rollout["share"] = placer.newVersionShare().value();
        rollout["cause"] = name(progress->cause);
        page[id.value()] = std::move(rollout);
    }
    return makeJsonPage(page);
}

void refreshPlacerMetrics(const AdminPageContext &context)
{
    for (const auto &id : context.placers.services()) {
        const Placer &placer = *context.placers.placer(id);
        const Labels labels{{"service", id.value()}};
        const PlacerCounters &counters = placer.counters();
        const auto set = [&](std::string_view name, std::uint64_t value) {
            context.metrics.setGauge(name, labels, static_cast<double>(value));
        };
        set("endivedock_placer_waiting", placer.waiting());
        set("endivedock_placer_in_flight", placer.inFlight());
        set("endivedock_placer_granted", counters.granted);
        set("endivedock_placer_granted_cold", counters.coldGrants);
        set("endivedock_placer_queued", counters.queuedRequests);
        set("endivedock_placer_evicted", counters.evicted);
        set("endivedock_placer_overdue", counters.expiredRequests);
        set("endivedock_placer_expired_grants", counters.expiredGrants);
        set("endivedock_placer_ejections", counters.ejections);
        set("endivedock_placer_chills", counters.markedCold);
        set("endivedock_placer_probes", counters.probes);
        set("endivedock_placer_retries", counters.retriesGranted);
    }
}

void refreshHostMetrics(const AdminPageContext &context)
{
    const auto set = [&](std::string_view name, std::uint64_t value) {
        context.metrics.setGauge(name, {}, static_cast<double>(value));
    };
    const TransportCounters &peers = context.fleet.counters();
    set("endivedock_peer_sent_bytes", peers.sentBytes);
    set("endivedock_peer_sent_datagrams", peers.sentDatagrams);
    set("endivedock_peer_received_bytes", peers.receivedBytes);
    set("endivedock_peer_unauthentic_datagrams", peers.unauthenticDatagrams);
    set("endivedock_peer_replayed_datagrams", peers.replayedDatagrams);
    set("endivedock_peer_malformed_datagrams", peers.malformedDatagrams);
    set("endivedock_peer_failed_datagrams", peers.failedDatagrams);
    set("endivedock_peer_too_long_datagrams", peers.tooLongDatagrams);
    set("endivedock_peer_send_failures", peers.sendFailures);
    set("endivedock_store_calls", context.storeCalls);
    set("endivedock_held_shards", context.fleet.heldShards());
}

HttpServerResponse renderReadyPage(const AdminPageContext &context)
{
    const bool isReady = !context.isLeaving && context.configuration.declarations() != nullptr &&
                         context.fleet.isReady();
    const char *text = context.isLeaving ? "leaving\n" : isReady ? "ready\n" : "starting\n";
    return {isReady ? 200u : 503u, "text/plain", text};
}

} // namespace

HttpServerResponse renderAdminPage(const std::string &path, const AdminPageContext &context)
{
    if (path == "/ready")
        return renderReadyPage(context);
    if (path == "/status")
        return renderStatusPage(context);
    if (path == "/fleet")
        return renderFleetPage(context);
    if (path == "/moves")
        return renderRolloutsPage(context);
    if (path != "/metrics")
        return {404, "text/plain", "no such page\n"};
    refreshPlacerMetrics(context);
    refreshHostMetrics(context);
    return {200, "text/plain; version=0.0.4", context.metrics.text()};
}

} // namespace endivedock
