#include "endivedock/dispatch/local_placers.h"

namespace endivedock {

void LocalPlacers::configure(std::shared_ptr<const Declarations> declarations, TimePoint now,
                             std::int64_t wallMs)
{
    m_declarations = std::move(declarations);
    std::vector<ServiceId> removedServices;
    for (auto &[id, placer] : m_placers) {
        const Service *service = m_declarations->find(id);
        if (service != nullptr)
            placer->configure(*service, now, wallMs);
        else
            removedServices.push_back(id);
    }
    for (const auto &id : removedServices)
        stop(id);
}

void LocalPlacers::setTargets(const std::vector<ListedTarget> &listed, TimePoint now)
{
    // Grouped by service once, so that each placer reads only its own targets.
    m_listed.clear();
    for (const auto &target : listed)
        m_listed[target.service].push_back(target);
    for (auto &[id, placer] : m_placers)
        placer->setTargets(listedFor(id), now);
}

const std::vector<ListedTarget> &LocalPlacers::listedFor(const ServiceId &service) const
{
    static const std::vector<ListedTarget> noTargets;
    const auto found = m_listed.find(service);
    return found == m_listed.end() ? noTargets : found->second;
}

void LocalPlacers::start(const ServiceId &id, TimePoint coldAllowedFrom, TimePoint now,
                         std::int64_t wallMs)
{
    const Service *service = m_declarations ? m_declarations->find(id) : nullptr;
    if (service == nullptr || m_placers.contains(id))
        return;
    auto placer = std::make_unique<Placer>(*service, m_random);
    placer->configure(*service, now, wallMs);
    placer->setTargets(listedFor(id), now);
    placer->beginTakeover(coldAllowedFrom);
    m_placers.emplace(id, std::move(placer));
}

void LocalPlacers::stop(const ServiceId &service)
{
    const auto found = m_placers.find(service);
    if (found == m_placers.end())
        return;
    const auto placer = std::move(found->second);
    m_placers.erase(found);
    deliver(placer->redirectQueuedRequests());
}

Placer *LocalPlacers::placer(const ServiceId &service)
{
    const auto found = m_placers.find(service);
    return found == m_placers.end() ? nullptr : found->second.get();
}

std::vector<ServiceId> LocalPlacers::services() const
{
    std::vector<ServiceId> result;
    for (const auto &[id, placer] : m_placers)
        result.push_back(id);
    return result;
}

void LocalPlacers::request(const PlacementRequest &request, TimePoint now)
{
    if (Placer *found = placer(request.service))
        deliver(found->request(request, now));
    else
        m_onAnswer(
                {request.attempt, request.service, request.transmissionNumber, NotPlacingHost{}});
}

void LocalPlacers::finish(const AttemptReport &report, TimePoint now)
{
    if (Placer *found = placer(report.service))
        deliver(found->finish(report, now));
}

void LocalPlacers::cancel(const PlacementCancel &cancel, TimePoint now)
{
    if (Placer *found = placer(cancel.service))
        deliver(found->cancel(cancel.attempt, now));
}

void LocalPlacers::tick(TimePoint now)
{
    for (auto &[id, placer] : m_placers)
        deliver(placer->tick(now));
}

void LocalPlacers::deliver(PlacementAnswers answers)
{
    for (auto &answer : answers)
        m_onAnswer(std::move(answer));
}

} // namespace endivedock
