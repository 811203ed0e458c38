#include "endivedock/loadreports/messages.h"

#include <iterator>

namespace endivedock {

namespace {

/** @return both halves of the services in @p message, which has at least two */
template <typename Message>
std::pair<Message, Message> divideByService(const Message &message)
{
    const auto middle =
            message.services.begin() + static_cast<std::ptrdiff_t>(message.services.size() / 2);
    return {Message{{message.services.begin(), middle}}, Message{{middle, message.services.end()}}};
}

} // namespace

std::optional<std::pair<AggregatedLoad, AggregatedLoad>> divide(const AggregatedLoad &aggregated)
{
    if (aggregated.services.size() > 1)
        return divideByService(aggregated);
    if (aggregated.services.empty() || aggregated.services.front().targets.size() < 2)
        return std::nullopt;
    const AggregatedServiceLoad &whole = aggregated.services.front();
    const auto middle =
            whole.targets.begin() + static_cast<std::ptrdiff_t>(whole.targets.size() / 2);
    AggregatedServiceLoad lower;
    lower.service = whole.service;
    lower.range = {whole.range.first, TargetHash(middle->target.value() - 1)};
    lower.targets.assign(whole.targets.begin(), middle);
    lower.rollout = whole.rollout;
    lower.serviceTimes = whole.serviceTimes;
    AggregatedServiceLoad upper;
    upper.service = whole.service;
    upper.range = {middle->target, whole.range.last};
    upper.targets.assign(middle, whole.targets.end());
    upper.rollout = whole.rollout;
    return std::pair(AggregatedLoad{{std::move(lower)}}, AggregatedLoad{{std::move(upper)}});
}

std::optional<std::pair<HostLoadReport, HostLoadReport>> divide(const HostLoadReport &report)
{
    if (report.services.size() < 2)
        return std::nullopt;
    return divideByService(report);
}

} // namespace endivedock
