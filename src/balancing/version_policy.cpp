#include "endivedock/balancing/version_policy.h"

namespace endivedock {

void VersionPolicy::setTargets(std::span<const VersionId> versions)
{
    m_targetCounts.clear();
    for (const auto &version : versions)
        ++m_targetCounts[version];
    updateCurrent();
}

void VersionPolicy::setOrder(const std::optional<RolloutOrder> &order, TimePoint)
{
    m_order = order;
    updateCurrent();
}

void VersionPolicy::setStatus(const std::optional<RolloutStatus> &status)
{
    m_status = status;
    updateCurrent();
}

void VersionPolicy::updateCurrent()
{
    const bool concernsOrder = !m_order || (m_status && m_status->to == m_order->to &&
                                            m_status->revision > m_order->revision);
    const bool isSettled = m_status && m_status->state != RolloutState::Running && concernsOrder;
    m_running = isSettled ? std::nullopt : m_order;
    if (isSettled && m_status->state == RolloutState::RolledBack)
        m_rolledBackVersions.insert(m_status->to);
    if (isSettled && m_status->state == RolloutState::Done) {
        m_rolledBackVersions.erase(m_status->to);
        m_current = m_status->to;
        return;
    }
    // The current version stays while any target runs it, so that a new version never takes over
    // only because more targets run it.
    if (m_current && m_targetCounts.contains(*m_current) &&
        !m_rolledBackVersions.contains(*m_current) && !(m_running && m_running->to == *m_current))
        return;
    int maxCount = 0;
    std::optional<VersionId> chosen;
    for (const auto &[version, count] : m_targetCounts) {
        const bool isOrdered = m_running && m_running->to == version;
        if (!isOrdered && !m_rolledBackVersions.contains(version) && count > maxCount) {
            maxCount = count;
            chosen = version;
        }
    }
    if (chosen)
        m_current = chosen;
}

std::optional<VersionRole> VersionPolicy::role(const VersionId &version) const
{
    if (m_running && version == m_running->to)
        return VersionRole::New;
    if (m_current && version == *m_current)
        return VersionRole::Old;
    return std::nullopt;
}

} // namespace endivedock
