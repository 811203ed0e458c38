#pragma once

#include "endivedock/core.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace endivedock {

/**
 * Decides when a target is probed. Only the placing host of a service probes its targets, so that
 * the load on a target does not grow with the number of hosts. After a response has shown the state
 * of a target, the target needs no probe for one interval. Not thread-safe.
 */
class ProbeSchedule
{
public:
    explicit ProbeSchedule(PerSecond rate) { setRate(rate); }

    /** @param rate  rate of the probes of each target; 0 disables probes */
    void setRate(PerSecond rate)
    {
        m_interval.reset();
        if (rate.value() > 0)
            m_interval = Microseconds(static_cast<std::int64_t>(1e6 / rate.value()));
    }

    /** Records that a response or a probe has shown the target's state. */
    void recordObservation(const TargetId &target, TimePoint now)
    {
        m_lastObservedAt[target] = now;
    }
    void forget(const TargetId &target) { m_lastObservedAt.erase(target); }

    /** @return whether to probe the target now; if so, the target counts as observed at @p now */
    bool tryStartProbe(const TargetId &target, TimePoint now)
    {
        if (!m_interval)
            return false;
        const auto [lastObserved, isNew] = m_lastObservedAt.try_emplace(target, now);
        if (!isNew && now - lastObserved->second < *m_interval)
            return false;
        lastObserved->second = now;
        return true;
    }

private:
    std::optional<Microseconds> m_interval;
    std::unordered_map<TargetId, TimePoint> m_lastObservedAt;
};

} // namespace endivedock
