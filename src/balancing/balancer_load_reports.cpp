#include "endivedock/balancing/service_balancer.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

// Health and load probes, and the load that hosts report to each other.

namespace endivedock {

namespace {

/**
 * The placing host probes loads only if the last request of the service was placed within this
 * time.
 */
constexpr Milliseconds activeServiceWindow{1500};
/**
 * Capacity of the token bucket for load probes, as the time in which loadProbeRate fills it, in
 * seconds.
 */
constexpr double maxTokenSeconds = 0.05;

} // namespace

TargetHash hashTarget(const RegisteredTarget &target)
{
    const std::string &id = target.id.value();
    const auto incarnation = static_cast<XXH64_hash_t>(target.startedAt.value_or(0));
    const XXH64_hash_t hash = XXH3_64bits_withSeed(id.data(), id.size(), incarnation);
    return TargetHash(static_cast<std::uint32_t>(hash));
}

std::vector<DueProbe> ServiceBalancer::dueProbes(bool isPlacingHost, TimePoint now)
{
    std::vector<DueProbe> result;
    std::vector<std::pair<TimePoint, TargetState *>> staleLoads;
    const bool isActive = isPlacingHost && now - m_lastPlacementAt < activeServiceWindow;
    const double loadProbeRate =
            m_settings.loadProbeRate.value() / static_cast<double>(m_division.placingZoneCount());
    for (auto &[id, target] : m_targets) {
        const RegisteredTarget &entry = target.registered();
        if (m_suspects.needsVerification(id, now)) {
            result.push_back({id, entry.address});
            continue;
        }
        if (target.isDraining() || now < target.pause().until() ||
            m_evacuatedZones.contains(entry.zone))
            continue;
        // A probe shows whether an unreachable target is reachable again, and how long a cold
        // target stays cold. Only the placing host probes cold targets; otherwise, all hosts would
        // connect to a new target at the same time.
        const bool isPlacedHereNow = isPlacingHost && isPlacedHere(target);
        const bool needsHealthProbe =
                target.isUnreachable() || (isPlacedHereNow && target.isCold(now));
        const Milliseconds interval =
                target.isUnreachable() ? m_settings.probeInterval : m_settings.probeInterval * 4;
        if (needsHealthProbe && target.tryStartProbe(now, interval)) {
            result.push_back({id, entry.address});
            continue;
        }
        const TimePoint reportedAt = target.slowdown().at;
        if (isActive && isPlacedHereNow && !target.isUnreachable() &&
            now - reportedAt > m_settings.maxSlowdownReportAge)
            staleLoads.emplace_back(reportedAt, &target);
    }
    const std::chrono::duration<double> elapsed = now - m_loadProbeTokensAt;
    m_loadProbeTokensAt = now;
    const double maxTokens = loadProbeRate * maxTokenSeconds;
    m_loadProbeTokens = std::min(maxTokens, m_loadProbeTokens + elapsed.count() * loadProbeRate);
    std::sort(staleLoads.begin(), staleLoads.end());
    for (const auto &[reportedAt, target] : staleLoads) {
        if (m_loadProbeTokens < 1)
            break;
        if (!target->tryStartProbe(now, m_settings.maxSlowdownReportAge))
            continue;
        m_loadProbeTokens -= 1;
        result.push_back({target->registered().id, target->registered().address});
    }
    m_counters.probes += result.size();
    return result;
}

void ServiceBalancer::applyProbeResult(const TargetId &id, const std::optional<ProbeResult> &probe,
                                       TimePoint now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    TargetState &target = found->second;
    if (probe && probe->id == id && probe->load)
        target.recordSlowdown({probe->load->slowdown, now});
    if (!probe || !probe->isHealthy || probe->id != id) {
        // A health response can be wrong in either direction, so only a failed connection
        // makes a target unreachable.
        if (!probe && target.isUnreachable())
            target.recordConnectFailure(now, m_settings);
        else if (probe && probe->id == id)
            target.markReachable();
        return;
    }
    const bool wasUnreachable = target.isUnreachable();
    target.markReachable();
    const Milliseconds remainingWarmup = probe->remainingWarmup.value_or(Milliseconds(0));
    target.setColdUntil(now + remainingWarmup);
    if (wasUnreachable && remainingWarmup.count() > 0)
        delayFirstColdRequest(target, now);
}

std::vector<TargetLoad> ServiceBalancer::loadReport(HostId placingHost, TimePoint now) const
{
    std::map<TargetId, int> inFlightByTarget;
    for (const auto &[id, grant] : m_grants) {
        if (grant.sentBy == m_self && grant.placedBy != placingHost)
            ++inFlightByTarget[grant.target];
    }
    std::vector<TargetLoad> result;
    for (const auto &[id, count] : inFlightByTarget) {
        const auto target = m_targets.find(id);
        if (target != m_targets.end() && isPlacedHere(target->second))
            result.push_back(
                    loadOf(target->second, hashTarget(target->second.registered()), count, now));
    }
    return result;
}

TargetLoad ServiceBalancer::loadOf(const TargetState &target, TargetHash hash, int inFlight,
                                   TimePoint now) const
{
    TargetLoad entry;
    entry.target = hash;
    entry.inFlight = static_cast<std::uint16_t>(inFlight);
    const SlowdownReport &report = target.slowdown();
    const Milliseconds age = toMilliseconds(now - report.at);
    if (report.at == TimePoint{} || age > m_settings.slowdownDecayTime * 4)
        return entry;
    entry.slowdown = static_cast<std::uint16_t>(std::clamp(report.slowdown * 100, 1.0, 60'000.0));
    entry.age = age;
    return entry;
}

std::vector<TargetLoad> ServiceBalancer::grantedLoads(HostId excludedHost, TimePoint now) const
{
    std::map<const TargetState *, int> excludedCounts;
    for (auto position = m_grantsBySender.lower_bound({excludedHost, GrantId(0)});
         position != m_grantsBySender.end() && position->first == excludedHost; ++position) {
        const auto target = m_targets.find(m_grants.at(position->second).target);
        if (target != m_targets.end())
            ++excludedCounts[&target->second];
    }
    std::vector<TargetLoad> result;
    result.reserve(m_targetsByHash.size());
    for (const auto &[hash, target] : m_targetsByHash) {
        int count = target->placedInFlight();
        if (const auto excluded = excludedCounts.find(target); excluded != excludedCounts.end())
            count -= excluded->second;
        const TargetLoad entry = loadOf(*target, hash, count, now);
        if ((entry.inFlight > 0 || entry.slowdown > 0) && isPlacedHere(*target))
            result.push_back(entry);
    }
    return result;
}

void ServiceBalancer::applyAggregatedLoad(std::span<const TargetLoad> others,
                                          const TargetRange &range, TimePoint now)
{
    auto position = others.begin();
    for (const auto &[hash, target] : m_targetsByHash) {
        if (hash < range.first || hash > range.last)
            continue;
        while (position != others.end() && position->target < hash)
            ++position;
        if (position == others.end() || position->target != hash) {
            target->setInFlightOfOthers(Slots(0), now);
            continue;
        }
        target->setInFlightOfOthers(Slots(position->inFlight), now);
        if (position->slowdown > 0)
            target->recordSlowdown({position->slowdown / 100.0, now - position->age});
    }
}

std::vector<RolloutSample> ServiceBalancer::takeRolloutSamples()
{
    return std::exchange(m_rolloutSamples, {});
}

} // namespace endivedock
