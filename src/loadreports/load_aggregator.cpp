#include "endivedock/loadreports/load_aggregator.h"

namespace endivedock {

AggregatedServiceLoad LoadAggregator::applyReport(HostId from, const ServiceLoadReport &report,
                                                  std::span<const TargetLoad> grantedLoads,
                                                  TimePoint now)
{
    ServiceState &state = m_services[report.service];
    state.totals.replaceReport(from, report.targets, now);
    state.totals.removeOlderThan(now - maxReportAge);
    if (state.controller) {
        state.hasReports = true;
        if (report.rollout)
            state.controller->merge(*report.rollout);
        for (const auto &sample : report.rolloutSamples)
            recordSample(report.service, *state.controller, sample, now);
    }
    AggregatedServiceLoad aggregated;
    aggregated.service = report.service;
    aggregated.targets = state.totals.sumWithout(from, grantedLoads, now);
    aggregated.rollout = progress(report.service);
    return aggregated;
}

void LoadAggregator::recordSample(const ServiceId &service, RolloutController &controller,
                                  const RolloutSample &sample, TimePoint now)
{
    const bool hasEnded = controller.hasEnded();
    controller.recordResponse(sample.role, RouteIndex(sample.route), sample.isFailure, sample.time,
                              now);
    if (hasEnded || !controller.fault())
        return;
    const FaultEvidence &fault = *controller.fault();
    m_log.info("Rollout fault detected",
               {field("service", service), field("route", fault.route.value()),
                field("window", fault.window), field("new_bad", fault.newVersion.badResponses),
                field("new_answers", fault.newVersion.responses),
                field("old_bad", fault.oldVersion.badResponses),
                field("old_answers", fault.oldVersion.responses),
                field("old_compared", fault.isOldCompared)});
}

void LoadAggregator::setRolloutOrder(const ServiceId &service,
                                     const std::optional<RolloutOrder> &order, TimePoint startedAt)
{
    ServiceState &state = m_services[service];
    if (!order) {
        state.controller.reset();
        state.hasReports = false;
        return;
    }
    const auto number = static_cast<std::uint64_t>(order->revision.value());
    if (state.controller && state.controller->progress().number == number)
        return;
    state.hasReports = false;
    const RolloutProgress fresh{number, RolloutPhase::Canary, 0, RollbackCause::None};
    state.controller.emplace(fresh, RolloutTimes{startedAt, startedAt + order->duration});
}

void LoadAggregator::setNewVersionCapacity(const ServiceId &service, bool hasCapacity)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.controller)
        return;
    RolloutController &controller = *found->second.controller;
    if (controller.hasNewVersionCapacity() == hasCapacity)
        return;
    controller.setNewVersionCapacity(hasCapacity);
    m_log.info("Rollout capacity changed",
               {field("service", service), field("sufficient", hasCapacity)});
}

void LoadAggregator::tick(TimePoint now)
{
    for (auto &[service, state] : m_services) {
        if (state.controller && state.hasReports)
            state.controller->tick(now);
    }
}

std::optional<RolloutProgress> LoadAggregator::progress(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.controller || !found->second.hasReports)
        return std::nullopt;
    return found->second.controller->progress();
}

} // namespace endivedock
