#include "endivedock/balancing/version_policy.h"

namespace endivedock {

void VersionPolicy::setTargets(std::span<const VersionId> versions)
{
    m_counts.clear();
    for (const auto &version : versions)
        ++m_counts[version];
    decide();
}

void VersionPolicy::setOrder(const std::optional<RolloutOrder> &order, TimePoint)
{
    m_order = order;
    decide();
}

void VersionPolicy::setVerdict(const std::optional<RolloutVerdict> &verdict)
{
    m_verdict = verdict;
    decide();
}

void VersionPolicy::decide()
{
    const bool ofThisOrder = !m_order || (m_verdict && m_verdict->to == m_order->to &&
                                          m_verdict->revision > m_order->revision);
    const bool settled = m_verdict && m_verdict->state != RolloutState::Running && ofThisOrder;
    m_running = settled ? std::nullopt : m_order;
    if (settled && m_verdict->state == RolloutState::RolledBack)
        m_bad.insert(m_verdict->to);
    if (settled && m_verdict->state == RolloutState::Done) {
        m_bad.erase(m_verdict->to);
        m_current = m_verdict->to;
        return;
    }
    // What is in force stays so while any target has it, so that a new version never wins by count.
    if (m_current && m_counts.contains(*m_current) && !m_bad.contains(*m_current) &&
        !(m_running && m_running->to == *m_current))
        return;
    int most = 0;
    std::optional<VersionId> chosen;
    for (const auto &[version, count] : m_counts) {
        const bool ordered = m_running && m_running->to == version;
        if (!ordered && !m_bad.contains(version) && count > most) {
            most = count;
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
