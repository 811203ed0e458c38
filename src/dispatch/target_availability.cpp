#include "endivedock/dispatch/target_availability.h"

#include <algorithm>
#include <set>

namespace endivedock {

namespace {

/** @return whether requests to the service may use targets of the version */
bool isUsed(const VersionId &version, const Service &service)
{
    if (service.rollout)
        return version == service.rollout->from || version == service.rollout->to;
    return !service.version || version == *service.version;
}

} // namespace

void TargetAvailability::setTargets(std::vector<ListedTarget> listed, TimePoint now)
{
    m_listed = std::move(listed);
    m_index.clear();
    m_indexesByService.clear();
    for (std::size_t i = 0; i < m_listed.size(); ++i) {
        m_index[m_listed[i].id] = i;
        m_indexesByService[m_listed[i].service].push_back(i);
    }
    const std::set<TargetId> paused = m_statements.pausedTargets();
    for (const auto &id : paused) {
        if (!m_index.contains(id))
            m_statements.forgetEndedPause(id, now);
    }
}

const ListedTarget *TargetAvailability::find(const TargetId &id) const
{
    const auto found = m_index.find(id);
    return found == m_index.end() ? nullptr : &m_listed[found->second];
}

void TargetAvailability::recordStart(const TargetId &id)
{
    Slots &inFlight = m_inFlight.try_emplace(id, 0).first->second;
    inFlight = inFlight + Slots(1);
}

void TargetAvailability::recordEnd(const TargetId &id)
{
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end())
        return;
    found->second = found->second - Slots(1);
    if (found->second <= Slots(0))
        m_inFlight.erase(found);
}

std::optional<DrainingProcess> TargetAvailability::findDraining(const ListedTarget &target,
                                                                TimePoint now) const
{
    return m_statements.findDraining(target.id, target.address, now);
}

bool TargetAvailability::isPaused(const TargetId &id, TimePoint now) const
{
    const ListedTarget *target = find(id);
    const TargetPause *pause =
            target == nullptr ? nullptr : m_statements.findPause(id, target->address);
    return pause != nullptr && now < pause->until();
}

bool TargetAvailability::isClosed(const ListedTarget &target, TimePoint now) const
{
    const TargetPause *pause = m_statements.findPause(target.id, target.address);
    if (pause == nullptr)
        return false;
    const auto inFlight = m_inFlight.find(target.id);
    return pause->isClosed(now, inFlight == m_inFlight.end() ? Slots(0) : inFlight->second);
}

std::vector<TargetId> TargetAvailability::closedTargets(const ServiceId &service,
                                                        TimePoint now) const
{
    std::vector<TargetId> result;
    for (const auto &id : m_statements.pausedTargets()) {
        const ListedTarget *target = find(id);
        if (target != nullptr && target->service == service && isClosed(*target, now))
            result.push_back(id);
    }
    return result;
}

std::optional<TimePoint> TargetAvailability::allClosedUntil(const Service &service,
                                                            TimePoint now) const
{
    const auto indexes = m_indexesByService.find(service.id);
    if (m_statements.pausedTargets().empty() || indexes == m_indexesByService.end())
        return std::nullopt;
    std::optional<TimePoint> opensAt;
    for (const std::size_t index : indexes->second) {
        const ListedTarget &target = m_listed[index];
        if (target.state != ListedState::Live || service.evacuatedZones.contains(target.zone) ||
            !isUsed(target.version, service) || findDraining(target, now))
            continue;
        if (!isClosed(target, now))
            return std::nullopt;
        const TimePoint until = m_statements.findPause(target.id, target.address)->until();
        opensAt = std::min(opensAt.value_or(TimePoint::max()), until);
    }
    return opensAt;
}

} // namespace endivedock
