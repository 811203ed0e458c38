#include "endivedock/balancing/service_balancer.h"

// Targets that have stated in a response that they are draining.

namespace endivedock {

std::optional<TargetProcess> ServiceBalancer::recordDrainingResponse(GrantId id, TimePoint now)
{
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end())
        return std::nullopt;
    const TargetProcess &process = grant->second.process;
    const bool isNew = grant->second.sentBy == m_self
                               ? m_drainingTargets.recordResponse(process, now)
                               : m_drainingTargets.recordNotice(process, now);
    if (!isNew)
        return std::nullopt;
    applyDraining(process);
    return process;
}

std::vector<DrainingProcess>
ServiceBalancer::applyDrainingNotice(std::span<const DrainingProcess> targets, TimePoint now)
{
    std::vector<DrainingProcess> result;
    for (const auto &each : targets) {
        if (!m_drainingTargets.recordNotice(each.process, now - each.age))
            continue;
        applyDraining(each.process);
        result.push_back(each);
    }
    return result;
}

bool ServiceBalancer::isDraining(const TargetId &id) const
{
    const auto target = m_targets.find(id);
    return target != m_targets.end() && target->second.isDraining();
}

std::optional<DrainingProcess> ServiceBalancer::findStatedDraining(const TargetId &id,
                                                                   TimePoint now) const
{
    const auto target = m_targets.find(id);
    if (target == m_targets.end())
        return std::nullopt;
    return m_drainingTargets.find(processOf(target->second.registered()), now);
}

void ServiceBalancer::applyDraining(const TargetProcess &process)
{
    const auto target = m_targets.find(process.id);
    if (target != m_targets.end() && processOf(target->second.registered()) == process)
        target->second.setStatedDraining(true);
}

} // namespace endivedock
