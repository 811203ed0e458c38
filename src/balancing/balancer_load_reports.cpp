#include "endivedock/balancing/service_balancer.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

// What a balancer asks of targets, and what hosts tell each other of them.

namespace endivedock {

namespace {

/** Loads are asked for as long as requests have come within this time. */
constexpr Milliseconds busyTime{1500};
/** Questions for loads that were not asked are made up for within this time, in seconds. */
constexpr double mostTokenSeconds = 0.05;

} // namespace

TargetHash hashTarget(const RegisteredTarget &target)
{
    const std::string &id = target.id.value();
    const auto life = static_cast<XXH64_hash_t>(target.startedAt.value_or(0));
    const XXH64_hash_t hash = XXH3_64bits_withSeed(id.data(), id.size(), life);
    return TargetHash(static_cast<std::uint32_t>(hash));
}

std::vector<DueProbe> ServiceBalancer::dueProbes(bool placing, TimePoint now)
{
    std::vector<DueProbe> result;
    std::vector<std::pair<TimePoint, TargetState *>> unknownLoads;
    const bool busy = placing && now - m_placedAt < busyTime;
    for (auto &[id, target] : m_targets) {
        const RegisteredTarget &entry = target.registered();
        if (entry.draining || m_evacuatedZones.contains(entry.zone))
            continue;
        // An absent target tells whether it is back; a cold one how long it stays cold. If all
        // hosts asked the cold ones, each new target would meet a connection of every host at once.
        const bool doubtful = target.unverified() || (placing && target.isCold(now));
        const Milliseconds interval =
                target.unverified() ? m_settings.probeInterval : m_settings.probeInterval * 4;
        if (doubtful && target.tryStartProbe(now, interval)) {
            result.push_back({id, entry.address});
            continue;
        }
        const TimePoint reportedAt = target.slowdown().at;
        if (busy && !target.unverified() && now - reportedAt > m_settings.reportAge)
            unknownLoads.emplace_back(reportedAt, &target);
    }
    const std::chrono::duration<double> passed = now - m_reportTokensAt;
    m_reportTokensAt = now;
    const double most = m_settings.reportRate.value() * mostTokenSeconds;
    m_reportTokens =
            std::min(most, m_reportTokens + passed.count() * m_settings.reportRate.value());
    std::sort(unknownLoads.begin(), unknownLoads.end());
    for (const auto &[reportedAt, target] : unknownLoads) {
        if (m_reportTokens < 1)
            break;
        if (!target->tryStartProbe(now, m_settings.reportAge))
            continue;
        m_reportTokens -= 1;
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
        target.noteSlowdown({probe->load->slowdown, now});
    if (!probe || !probe->healthy || probe->id != id) {
        // Health answers can be false either way, so only a connection that fails counts as
        // absence.
        if (!probe && target.unverified())
            target.connectionFailed(now, m_settings);
        else if (probe && probe->id == id)
            target.verified();
        return;
    }
    const bool wasAbsent = target.unverified();
    target.verified();
    const Milliseconds left = probe->remainingWarmup.value_or(Milliseconds(0));
    target.warmAt(now + left);
    if (wasAbsent && left.count() > 0)
        openColdAtRandom(target, now);
}

std::vector<TargetLoad> ServiceBalancer::loadReport(HostId placing, TimePoint now) const
{
    std::map<TargetId, int> unknown;
    for (const auto &[id, grant] : m_grants) {
        if (grant.sentBy == m_self && grant.placedBy != placing)
            ++unknown[grant.target];
    }
    std::vector<TargetLoad> result;
    for (const auto &[id, count] : unknown) {
        const auto target = m_targets.find(id);
        if (target != m_targets.end())
            result.push_back(loadOf(target->second, count, now));
    }
    return result;
}

TargetLoad ServiceBalancer::loadOf(const TargetState &target, int inFlight, TimePoint now) const
{
    TargetLoad entry;
    entry.target = hashTarget(target.registered());
    entry.inFlight = static_cast<std::uint16_t>(inFlight);
    const SlowdownReport &report = target.slowdown();
    const Milliseconds age = toMilliseconds(now - report.at);
    if (report.at == TimePoint{} || age > m_settings.burst * 4)
        return entry;
    entry.slowdown = static_cast<std::uint16_t>(std::clamp(report.slowdown * 100, 1.0, 60'000.0));
    entry.age = age;
    return entry;
}

std::vector<TargetLoad> ServiceBalancer::grantedLoads(HostId except, TimePoint now) const
{
    std::map<TargetId, int> counts;
    for (const auto &[id, grant] : m_grants) {
        if (grant.placedBy == m_self && grant.sentBy != except)
            ++counts[grant.target];
    }
    std::vector<TargetLoad> result;
    for (const auto &[id, target] : m_targets) {
        const auto count = counts.find(id);
        const TargetLoad entry = loadOf(target, count == counts.end() ? 0 : count->second, now);
        if (entry.inFlight > 0 || entry.slowdown > 0)
            result.push_back(entry);
    }
    return result;
}

void ServiceBalancer::applyAggregatedLoad(std::span<const TargetLoad> others, TimePoint now)
{
    std::map<TargetHash, const TargetLoad *> index;
    for (const auto &entry : others)
        index[entry.target] = &entry;
    for (auto &[id, target] : m_targets) {
        const auto found = index.find(hashTarget(target.registered()));
        if (found == index.end()) {
            target.noteOthers(Slots(0), now);
            continue;
        }
        const TargetLoad &entry = *found->second;
        target.noteOthers(Slots(entry.inFlight), now);
        if (entry.slowdown > 0)
            target.noteSlowdown({entry.slowdown / 100.0, now - entry.age});
    }
}

std::vector<RolloutSample> ServiceBalancer::takeRolloutSamples()
{
    return std::exchange(m_rolloutSamples, {});
}

} // namespace endivedock
