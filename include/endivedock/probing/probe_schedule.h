#pragma once

#include "endivedock/core.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace endivedock {

/**
 * Decides when a target is probed. Only the placing host of a service measures its targets, so the
 * cost for a target does not grow with the hosts; and what answers tell makes a probe needless.
 */
class ProbeSchedule
{
public:
    explicit ProbeSchedule(PerSecond rate) { setRate(rate); }

    /** @param rate  probes of one target; 0 for none */
    void setRate(PerSecond rate)
    {
        m_interval.reset();
        if (rate.value() > 0)
            m_interval = Microseconds(static_cast<std::int64_t>(1e6 / rate.value()));
    }

    /** An answer or a probe has just told the target's state. */
    void recordObservation(const TargetId &target, TimePoint now) { m_lastSeen[target] = now; }
    void forget(const TargetId &target) { m_lastSeen.erase(target); }

    /** @return whether to probe the target now; counts as observed if so */
    bool tryStartProbe(const TargetId &target, TimePoint now)
    {
        if (!m_interval)
            return false;
        const auto [seen, isNew] = m_lastSeen.try_emplace(target, now);
        if (!isNew && now - seen->second < *m_interval)
            return false;
        seen->second = now;
        return true;
    }

private:
    std::optional<Microseconds> m_interval;
    std::unordered_map<TargetId, TimePoint> m_lastSeen;
};

} // namespace endivedock
