#include "endivedock/loadnews/news_relay.h"

#include <algorithm>

namespace endivedock {

ServicePicture NewsRelay::exchange(HostId from, const ServiceNews &news,
                                   std::span<const TargetNews> granted, TimePoint now)
{
    ServiceState &state = m_services[news.service];
    state.hosts[from] = {news.targets, now};
    std::erase_if(state.hosts, [now](const auto &item) { return now - item.second.at > newsAge; });
    if (state.mover) {
        state.judging = true;
        if (news.move)
            state.mover->merge(*news.move);
        for (const auto &answer : news.answers)
            takeAnswer(news.service, *state.mover, answer, now);
    }
    std::map<TargetKey, TargetNews> sums;
    for (const auto &entry : granted)
        sums[entry.target] = entry;
    for (const auto &[host, told] : state.hosts) {
        const Milliseconds older = toMilliseconds(now - told.at);
        for (const auto &entry : told.targets) {
            const auto [position, added] = sums.try_emplace(entry.target);
            TargetNews &sum = position->second;
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
    ServicePicture picture;
    picture.service = news.service;
    picture.others.reserve(sums.size());
    for (const auto &[key, sum] : sums)
        picture.others.push_back(sum);
    picture.move = progress(news.service);
    return picture;
}

void NewsRelay::takeAnswer(const ServiceId &service, VersionMover &mover, const MoveAnswer &answer,
                           TimePoint now)
{
    const bool ended = mover.ended();
    mover.answered(answer.side, RouteIndex(answer.route), answer.failed, answer.time, now);
    if (ended || !mover.fault())
        return;
    const FaultEvidence &fault = *mover.fault();
    m_log.info("Fault found",
               {field("service", service), field("route", fault.route.value()),
                field("window", fault.window), field("new_bad", fault.fresh.bad),
                field("new_answers", fault.fresh.answers), field("old_bad", fault.old.bad),
                field("old_answers", fault.old.answers)});
}

void NewsRelay::setOrder(const ServiceId &service, const std::optional<MoveOrder> &order,
                         TimePoint startedAt)
{
    ServiceState &state = m_services[service];
    if (!order) {
        state.mover.reset();
        state.judging = false;
        return;
    }
    const auto number = static_cast<std::uint64_t>(order->revision.value());
    if (state.mover && state.mover->progress().number == number)
        return;
    state.judging = false;
    const MoveProgress fresh{number, MovePhase::Canary, 0, TakeBackCause::None};
    state.mover.emplace(fresh, MoveTimes{startedAt, startedAt + order->duration});
}

void NewsRelay::tick(TimePoint now)
{
    for (auto &[service, state] : m_services) {
        if (state.mover && state.judging)
            state.mover->tick(now);
    }
}

std::optional<MoveProgress> NewsRelay::progress(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.mover || !found->second.judging)
        return std::nullopt;
    return found->second.mover->progress();
}

} // namespace endivedock
