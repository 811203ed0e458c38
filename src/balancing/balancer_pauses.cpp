#include "endivedock/balancing/service_balancer.h"

#include <algorithm>

// Targets that want no requests from this host for a while.

namespace endivedock {

namespace {

/**
 * Jitter and lower bound of the retry delay of a caller that was refused since all targets are
 * closed.
 */
constexpr Milliseconds reopenDelay{250};

} // namespace

std::vector<TargetId> ServiceBalancer::closedTargets(TimePoint now) const
{
    std::vector<TargetId> result;
    for (const auto &[id, target] : m_targets) {
        if (target.isClosed(now))
            result.push_back(id);
    }
    return result;
}

bool ServiceBalancer::isClosed(const TargetId &id, TimePoint now) const
{
    const auto target = m_targets.find(id);
    return target != m_targets.end() && target->second.isClosed(now);
}

std::optional<Refusal> ServiceBalancer::refusalIfAllClosed(TimePoint now)
{
    std::optional<TimePoint> opensAt;
    for (const auto &[id, target] : m_targets) {
        const RegisteredTarget &entry = target.registered();
        if (target.isDraining() || m_evacuatedZones.contains(entry.zone) ||
            !m_versions.role(entry.version) || target.isUnavailable(now))
            continue;
        if (!target.isClosed(now))
            return std::nullopt;
        opensAt = std::min(opensAt.value_or(TimePoint::max()), target.pause().until());
    }
    if (!opensAt)
        return std::nullopt;
    ++m_counters.refusals;
    const Milliseconds untilOpen = std::max(toMilliseconds(*opensAt - now), reopenDelay);
    const auto jitter = static_cast<std::int64_t>(drawUnitInterval(m_random) *
                                                  static_cast<double>(reopenDelay.count()));
    return Refusal{RefusalReason::NoTarget, RunCertainty::NotRun, untilOpen + Milliseconds(jitter)};
}

} // namespace endivedock
