#include "endivedock/loadreports/load_totals.h"

#include <algorithm>
#include <tuple>

namespace endivedock {

bool LoadTotals::Slowdown::operator<(const Slowdown &other) const
{
    return std::tie(other.observedAt, reportedBy) < std::tie(observedAt, other.reportedBy);
}

LoadTotals::Slowdown LoadTotals::slowdownOf(const TargetLoad &entry, HostId from,
                                            TimePoint receivedAt)
{
    return {receivedAt - entry.age, from, entry.slowdown};
}

void LoadTotals::add(HostId from, const Report &report)
{
    for (const auto &entry : report.targets) {
        Total &total = m_totals[entry.target];
        total.inFlight = static_cast<std::uint16_t>(total.inFlight + entry.inFlight);
        ++total.entries;
        if (entry.slowdown > 0)
            total.slowdowns.insert(slowdownOf(entry, from, report.receivedAt));
    }
}

void LoadTotals::subtract(HostId from, const Report &report)
{
    for (const auto &entry : report.targets) {
        const auto position = m_totals.find(entry.target);
        Total &total = position->second;
        total.inFlight = static_cast<std::uint16_t>(total.inFlight - entry.inFlight);
        if (entry.slowdown > 0)
            total.slowdowns.erase(total.slowdowns.find(slowdownOf(entry, from, report.receivedAt)));
        if (--total.entries == 0)
            m_totals.erase(position);
    }
}

void LoadTotals::replaceReport(HostId from, const std::vector<TargetLoad> &targets, TimePoint now)
{
    const auto [position, added] = m_reports.try_emplace(from);
    Report &report = position->second;
    if (added) {
        report.arrival = m_arrivals.insert(m_arrivals.end(), from);
    } else {
        subtract(from, report);
        m_arrivals.splice(m_arrivals.end(), m_arrivals, report.arrival);
    }
    report.targets = targets;
    report.receivedAt = now;
    add(from, report);
}

void LoadTotals::removeOlderThan(TimePoint oldest)
{
    while (!m_arrivals.empty()) {
        const auto position = m_reports.find(m_arrivals.front());
        if (position->second.receivedAt >= oldest)
            return;
        subtract(position->first, position->second);
        m_reports.erase(position);
        m_arrivals.pop_front();
    }
}

void LoadTotals::addTo(TargetLoad &load, const Total &total, TimePoint now)
{
    load.inFlight = static_cast<std::uint16_t>(load.inFlight + total.inFlight);
    if (total.slowdowns.empty())
        return;
    const Slowdown &latest = *total.slowdowns.begin();
    const Milliseconds age = toMilliseconds(now - latest.observedAt);
    if (load.slowdown == 0 || age < load.age) {
        load.slowdown = latest.slowdown;
        load.age = age;
    }
}

std::vector<TargetLoad> LoadTotals::sumWithout(HostId excluded,
                                               std::span<const TargetLoad> grantedLoads,
                                               TimePoint now) const
{
    std::vector<TargetLoad> result;
    result.reserve(std::max(m_totals.size(), grantedLoads.size()));
    auto granted = grantedLoads.begin();
    for (const auto &[target, total] : m_totals) {
        for (; granted != grantedLoads.end() && granted->target < target; ++granted)
            result.push_back(*granted);
        TargetLoad load;
        load.target = target;
        if (granted != grantedLoads.end() && granted->target == target)
            load = *granted++;
        addTo(load, total, now);
        result.push_back(load);
    }
    result.insert(result.end(), granted, grantedLoads.end());
    const auto own = m_reports.find(excluded);
    if (own == m_reports.end())
        return result;
    for (const auto &entry : own->second.targets) {
        const auto position = std::lower_bound(
                result.begin(), result.end(), entry.target,
                [](const TargetLoad &load, TargetHash target) { return load.target < target; });
        position->inFlight = static_cast<std::uint16_t>(position->inFlight - entry.inFlight);
    }
    return result;
}

} // namespace endivedock
