#include "endivedock/loadreports/load_aggregator.h"

#include <algorithm>

namespace endivedock {

AggregatedServiceLoad LoadAggregator::applyReport(HostId from, const ServiceLoadReport &news,
                                                  std::span<const TargetLoad> granted,
                                                  TimePoint now)
{
    ServiceState &state = m_services[news.service];
    state.hosts[from] = {news.targets, now};
    std::erase_if(state.hosts,
                  [now](const auto &item) { return now - item.second.at > maxReportAge; });
    if (state.mover) {
        state.hasReports = true;
        if (news.rollout)
            state.mover->merge(*news.rollout);
        for (const auto &answer : news.rolloutSamples)
            recordSample(news.service, *state.mover, answer, now);
    }
    std::map<TargetHash, TargetLoad> sums;
    for (const auto &entry : granted)
        sums[entry.target] = entry;
    for (const auto &[host, report] : state.hosts) {
        const Milliseconds older = toMilliseconds(now - report.at);
        for (const auto &entry : report.targets) {
            const auto [position, added] = sums.try_emplace(entry.target);
            TargetLoad &sum = position->second;
            sum.target = entry.target;
            if (host != from)
                sum.inFlight = static_cast<std::uint16_t>(sum.inFlight + entry.inFlight);
            const Milliseconds age = entry.age + older;
            if (entry.slowdown > 0 && (sum.slowdown == 0 || age < sum.age)) {
                sum.slowdown = entry.slowdown;
                sum.age = age;
            }
        }
    }
    AggregatedServiceLoad picture;
    picture.service = news.service;
    picture.targets.reserve(sums.size());
    for (const auto &[key, sum] : sums)
        picture.targets.push_back(sum);
    picture.rollout = progress(news.service);
    return picture;
}

void LoadAggregator::recordSample(const ServiceId &service, RolloutController &mover,
                                  const RolloutSample &answer, TimePoint now)
{
    const bool hasEnded = mover.hasEnded();
    mover.recordResponse(answer.role, RouteIndex(answer.route), answer.failed, answer.time, now);
    if (hasEnded || !mover.fault())
        return;
    const FaultEvidence &fault = *mover.fault();
    m_log.info("Fault found",
               {field("service", service), field("route", fault.route.value()),
                field("window", fault.window), field("new_bad", fault.newVersion.bad),
                field("new_answers", fault.newVersion.answers),
                field("old_bad", fault.oldVersion.bad),
                field("old_answers", fault.oldVersion.answers)});
}

void LoadAggregator::setRolloutOrder(const ServiceId &service,
                                     const std::optional<RolloutOrder> &order, TimePoint startedAt)
{
    ServiceState &state = m_services[service];
    if (!order) {
        state.mover.reset();
        state.hasReports = false;
        return;
    }
    const auto number = static_cast<std::uint64_t>(order->revision.value());
    if (state.mover && state.mover->progress().number == number)
        return;
    state.hasReports = false;
    const RolloutProgress fresh{number, RolloutPhase::Canary, 0, RollbackCause::None};
    state.mover.emplace(fresh, RolloutTimes{startedAt, startedAt + order->duration});
}

void LoadAggregator::tick(TimePoint now)
{
    for (auto &[service, state] : m_services) {
        if (state.mover && state.hasReports)
            state.mover->tick(now);
    }
}

std::optional<RolloutProgress> LoadAggregator::progress(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.mover || !found->second.hasReports)
        return std::nullopt;
    return found->second.mover->progress();
}

} // namespace endivedock
