#include "endivedock/edge/local_placement.h"

namespace endivedock {

Task<std::variant<PlacedTarget, Refusal>> LocalPlacement::place(PlacementRequest request, TimePoint)
{
    ServiceBalancer *balancer = find(request.service);
    if (balancer == nullptr)
        co_return Refusal{RefusalReason::NoTarget, RunCertainty::NotRun};
    auto placed = balancer->place(request, SteadyClock().now());
    if (const auto *refusal = std::get_if<Refusal>(&placed))
        co_return *refusal;
    const BalancedChoice &choice = std::get<BalancedChoice>(placed);
    m_log.info("Target chosen",
               {field("id", request.attempt.request), field("service", request.service),
                field("target", choice.target.id), field("attempt", int(request.attempt.number)),
                field("in_flight", choice.inFlight.value()),
                field("slots", choice.target.slots.value()),
                field("expected_ms", choice.expected.count()),
                field("load_age_ms", choice.slowdownAge.count()), field("cold", choice.cold),
                field("left_ms", request.remaining.count())});
    PlacedTarget target;
    target.placement = {choice.grant, choice.target.id, !choice.cold};
    target.address = choice.target.address;
    target.connectionLimit = choice.connections;
    target.connectTimeout = m_settings.connectTimeout;
    co_return target;
}

void LocalPlacement::report(AttemptReport report)
{
    if (ServiceBalancer *balancer = find(report.service))
        balancer->finish(report, SteadyClock().now());
}

void LocalPlacement::follow(const Registry &registry, std::size_t hosts, TimePoint now)
{
    const auto table = registry.table();
    if (!table)
        return;
    const std::set<ZoneId> zonesOut = registry.zonesOut();
    for (const auto &service : registry.services()) {
        auto &balancer = m_balancers[service];
        if (!balancer)
            balancer = std::make_unique<ServiceBalancer>(service, m_settings, m_random);
        const auto rules = table->services().find(service);
        if (rules != table->services().end()) {
            balancer->setRules(rules->second);
            m_healthPaths[service] = rules->second.healthPath;
        }
        balancer->setHosts(hosts);
        balancer->versions().setOrder(registry.order(service), now);
        balancer->versions().setVerdict(registry.verdict(service));
        balancer->setTargets(registry.targetsOf(service), now);
        balancer->setZonesOut(zonesOut, now);
    }
}

ServiceBalancer *LocalPlacement::find(const ServiceId &service)
{
    const auto found = m_balancers.find(service);
    return found == m_balancers.end() ? nullptr : found->second.get();
}

std::string LocalPlacement::healthPath(const ServiceId &service) const
{
    const auto found = m_healthPaths.find(service);
    return found == m_healthPaths.end() ? std::string("/") : found->second;
}

} // namespace endivedock
