#include "endivedock/balancing/service_balancer.h"

#include <algorithm>

// Evaluation of finished attempts: health, base service time, rollout samples and crashes.

namespace endivedock {

namespace {

/** Weight of one response in the smoothed base service time. */
constexpr double baseServiceTimeWeight = 0.03;
/** Age at which the baseline of the service is computed again. */
constexpr Milliseconds maxBaselineAge{100};
/** Maximum number of rollout samples that are kept until the next load report. */
constexpr std::size_t maxRolloutSamples = 256;
/** A target that refuses connections within this time after a lost connection has crashed. */
constexpr Seconds crashWindow{2};
/**
 * A request is not suspected of a crash if a request with the same content was answered within this
 * time.
 */
constexpr Seconds recentAnswerWindow{30};
/**
 * A time-out counts as a failure of the target if the attempt took at least this many base service
 * times.
 */
constexpr int timeoutFailureFactor = 4;

} // namespace

std::optional<HostId> ServiceBalancer::finish(const AttemptReport &report, TimePoint now)
{
    const auto found = m_grants.find(report.grant);
    if (found == m_grants.end())
        return std::nullopt;
    const Grant grant = found->second;
    m_grants.erase(found);
    m_grantsToOthers.erase(grant.attempt);
    const auto position = m_targets.find(grant.target);
    if (position == m_targets.end())
        return grant.placedBy; // The target is no longer registered.
    TargetState &target = position->second;
    target.removeInFlight(report.grant);
    if (report.load)
        target.recordSlowdown({report.load->slowdown, now});
    if (report.misdirected)
        target.recordConnectFailure(now, m_settings);
    else
        applyOutcome(target, grant, report, now);
    return grant.placedBy;
}

void ServiceBalancer::applyOutcome(TargetState &target, const Grant &grant,
                                   const AttemptReport &report, TimePoint now)
{
    bool failed = false;
    switch (report.outcome) {
    case AttemptOutcome::Abandoned:
        return;
    case AttemptOutcome::Answered:
        m_suspects.recordResponse(grant.fingerprint, now);
        m_lastAnsweredAt[grant.fingerprint] = now;
        break;
    case AttemptOutcome::Shed:
    case AttemptOutcome::Draining:
        // A full or cold target may refuse; a refusal by a warm target with free slots is a
        // failure.
        target.recordResponse(now);
        if (grant.isOverfilled || grant.isCold)
            return;
        failed = true;
        break;
    case AttemptOutcome::ConnectFailed:
        target.recordConnectFailure(now, m_settings);
        attributeCrash(target.registered().id, now);
        return;
    case AttemptOutcome::ConnectionLost:
        m_lostConnections.push_back({target.registered().id, grant.fingerprint, now});
        recordCrashEvent(CrashEvent::Kind::AttemptLost, grant.fingerprint, grant.target, now);
        failed = true;
        break;
    case AttemptOutcome::TimedOut:
        // A deadline that was too short says nothing about the target.
        if (report.time < baseServiceTime() * timeoutFailureFactor)
            return;
        failed = true;
        break;
    case AttemptOutcome::Failed:
        failed = true;
        break;
    }
    if (report.outcome != AttemptOutcome::TimedOut)
        target.recordResponse(now);
    const double slowdown = std::max(1.0, report.load ? report.load->slowdown : grant.slowdown);
    const auto serviceTime = static_cast<double>(report.time.count()) / slowdown;
    const Microseconds normalizedTime(static_cast<std::int64_t>(serviceTime));
    if (!failed && !grant.isOverfilled && !grant.isCold)
        updateBaseServiceTime(serviceTime);
    if (failed || (!grant.isOverfilled && !grant.isCold))
        target.health().recordResponse(now, normalizedTime, failed, m_baseline);
    const auto role = m_versions.role(target.registered().version);
    const bool isConclusive = failed || (!grant.isCold && !grant.isOverfilled);
    if (m_versions.running() && role && isConclusive && m_rolloutSamples.size() < maxRolloutSamples)
        m_rolloutSamples.push_back({*role, grant.route, failed, normalizedTime});
}

void ServiceBalancer::attributeCrash(const TargetId &target, TimePoint now)
{
    std::erase_if(m_lostConnections,
                  [now](const LostConnection &lost) { return now - lost.lostAt > crashWindow; });
    for (const auto &lost : m_lostConnections) {
        const TimePoint *lastAnsweredAt = m_lastAnsweredAt.find(lost.fingerprint);
        // A request whose content was answered recently does not crash targets; its connection was
        // lost for another reason.
        if (lost.target != target)
            continue;
        const bool isCause = !lastAnsweredAt || now - *lastAnsweredAt > recentAnswerWindow;
        if (isCause)
            m_suspects.recordCrash(lost.fingerprint, target, now);
        recordCrashEvent(isCause ? CrashEvent::Kind::CrashCounted : CrashEvent::Kind::CrashIgnored,
                         lost.fingerprint, target, now);
    }
    std::erase_if(m_lostConnections,
                  [&target](const LostConnection &lost) { return lost.target == target; });
}

void ServiceBalancer::recordCrashEvent(CrashEvent::Kind kind, const Fingerprint &request,
                                       const TargetId &target, TimePoint now)
{
    m_crashEvents.push_back({kind, request, target, m_suspects.crashCount(request, now)});
}

void ServiceBalancer::updateBaseServiceTime(double time)
{
    // The first responses may be outliers, so they weigh no more than the initial assumption.
    ++m_baseServiceTimeSamples;
    const double weight = std::max(baseServiceTimeWeight,
                                   1.0 / static_cast<double>(m_baseServiceTimeSamples + 1));
    const auto previous = static_cast<double>(baseServiceTime().count());
    m_baseServiceTime = previous + (time - previous) * weight;
}

void ServiceBalancer::refreshBaseline(TimePoint now)
{
    if (now - m_baselineUpdatedAt < maxBaselineAge)
        return;
    m_baselineUpdatedAt = now;
    m_meanSlowdown = meanSlowdown(now);
    std::vector<Microseconds> times;
    std::vector<Share> failedShares;
    for (const auto &[id, target] : m_targets) {
        if (target.health().meanTime().count() > 0)
            times.push_back(target.health().meanTime());
        failedShares.push_back(target.health().failedShare());
    }
    if (!times.empty())
        m_baseline.medianTime = median(times);
    if (!failedShares.empty())
        m_baseline.failed = median(failedShares);
}

} // namespace endivedock
