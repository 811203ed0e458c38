#include "endivedock/balancing/service_balancer.h"

#include <algorithm>

// Evaluation of finished attempts: health, base service time, rollout samples and suspects.

namespace endivedock {

namespace {

/** Age at which the baseline of the service is computed again. */
constexpr Milliseconds maxBaselineAge{100};
/**
 * Weight of a sample in the smoothed number of requests in flight, which is sampled once in
 * maxBaselineAge.
 */
constexpr double inFlightWeight = 0.1;
/** Maximum number of rollout samples that are kept until the next load report. */
constexpr std::size_t maxRolloutSamples = 256;
/**
 * A time-out counts as a failure of the target if the attempt took at least this many times the
 * expected service time, and the mean of the service.
 */
constexpr int timeoutFailureFactor = 4;

} // namespace

std::optional<HostId> ServiceBalancer::finish(const AttemptReport &report, TimePoint now)
{
    const auto found = m_grants.find(report.grant);
    if (found == m_grants.end())
        return std::nullopt;
    const Grant grant = found->second;
    eraseGrant(found);
    updateSuspects(grant, report, now);
    const auto position = m_targets.find(grant.target);
    if (position == m_targets.end())
        return grant.placedBy; // The target is no longer registered.
    TargetState &target = position->second;
    target.removeInFlight(report.grant);
    updatePause(target, grant, report, now);
    if (report.load)
        target.recordSlowdown({report.load->slowdown, now});
    if (report.misdirected)
        target.recordConnectFailure(now, m_settings);
    else
        applyOutcome(target, grant, report, now);
    return grant.placedBy;
}

void ServiceBalancer::updatePause(TargetState &target, const Grant &grant,
                                  const AttemptReport &report, TimePoint now)
{
    if (grant.sentBy != m_self || grant.process != processOf(target.registered()))
        return;
    if (report.pause)
        target.pause().start(now, *report.pause);
    else if (report.outcome == AttemptOutcome::Answered || report.outcome == AttemptOutcome::Failed)
        target.pause().recordResponse(grant.grantedAt, target.registered().slots);
}

void ServiceBalancer::applyOutcome(TargetState &target, const Grant &grant,
                                   const AttemptReport &report, TimePoint now)
{
    bool failed = false;
    switch (report.outcome) {
    case AttemptOutcome::Abandoned:
        return;
    case AttemptOutcome::Overtaken:
        recordOvertaken(target, grant, report.time);
        return;
    case AttemptOutcome::Answered:
        break;
    case AttemptOutcome::Shed:
    case AttemptOutcome::Draining:
        // A full, cold, draining or paused target may refuse; a refusal by any other target with
        // free slots is a failure.
        target.recordResponse(now);
        if (grant.isOverfilled || grant.isCold || report.isTargetDraining || report.pause)
            return;
        failed = true;
        break;
    case AttemptOutcome::ConnectFailed:
        target.recordConnectFailure(now, m_settings);
        return;
    case AttemptOutcome::ConnectionLost:
        failed = true;
        break;
    case AttemptOutcome::TimedOut:
        // A deadline that was too short says nothing about the target.
        // The time of a route is learned from responses only, so it misses requests that take
        // longer than the route's timeout.
        if (report.time <
            std::max(m_serviceTimes.expected(grant.requestClass), m_serviceTimes.mean()) *
                    timeoutFailureFactor)
            return;
        failed = true;
        break;
    case AttemptOutcome::Failed:
        failed = true;
        break;
    }
    if (report.outcome != AttemptOutcome::TimedOut)
        target.recordResponse(now);
    if (report.outcome == AttemptOutcome::Answered && !grant.isHedge && !grant.isCold)
        m_hedging.recordTime(grant.requestClass.route, report.time);
    const double slowdown = std::max(1.0, report.load ? report.load->slowdown : grant.slowdown);
    const auto serviceTime = static_cast<double>(report.time.count()) / slowdown;
    const Microseconds normalizedTime(static_cast<std::int64_t>(serviceTime));
    if (!failed && !grant.isOverfilled && !grant.isCold)
        m_serviceTimes.record(grant.requestClass, normalizedTime);
    if (failed || (!grant.isOverfilled && !grant.isCold))
        target.health().recordResponse(now, asMeanRequest(grant.requestClass, normalizedTime),
                                       failed, m_baseline);
    // The sending host and the placing host both record the outcome, which is one sample.
    if (grant.placedBy != m_self)
        return;
    const auto role = m_versions.role(target.registered().version);
    // A target that has sent nothing since the request was placed may be lost, which is no fault of
    // its version.
    const bool isSilent =
            report.outcome == AttemptOutcome::TimedOut && target.lastSeenAt() < grant.grantedAt;
    const bool isConclusive = !isSilent && (failed || (!grant.isCold && !grant.isOverfilled));
    if (m_versions.running() && role && isConclusive && m_rolloutSamples.size() < maxRolloutSamples)
        m_rolloutSamples.push_back({*role, grant.route, failed, normalizedTime});
}

void ServiceBalancer::updateSuspects(const Grant &grant, const AttemptReport &report, TimePoint now)
{
    if (report.outcome == AttemptOutcome::Answered)
        m_suspects.recordResponse(grant.fingerprint, now);
    if (grant.sentBy != m_self)
        return; // The sending host records the rest.
    if (report.misdirected)
        m_suspects.recordTargetEnded(grant.target, now);
    else if (report.outcome == AttemptOutcome::ConnectFailed)
        m_suspects.recordTargetUnresponsive(grant.target, true, now);
    else if (report.outcome == AttemptOutcome::ConnectionLost || report.isUnanswered)
        m_suspects.recordLoss({grant.fingerprint, grant.target, grant.zone, grant.grantedAt, now,
                               report.outcome != AttemptOutcome::ConnectionLost});
    else if (report.outcome != AttemptOutcome::Abandoned &&
             report.outcome != AttemptOutcome::Overtaken)
        m_suspects.recordTargetAlive(grant.target, grant.grantedAt);
}

Microseconds ServiceBalancer::asMeanRequest(const RequestClass &requestClass,
                                            Microseconds time) const
{
    const auto expected = static_cast<double>(m_serviceTimes.expected(requestClass).count());
    const auto mean = static_cast<double>(m_serviceTimes.mean().count());
    return Microseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * mean /
                                                  std::max(expected, 1.0)));
}

void ServiceBalancer::refreshBaseline(TimePoint now)
{
    if (now - m_baselineUpdatedAt < maxBaselineAge)
        return;
    m_baselineUpdatedAt = now;
    m_meanSlowdown = meanSlowdown(now);
    int inFlight = 0;
    std::vector<Microseconds> times;
    std::vector<Share> failedShares;
    for (const auto &[id, target] : m_targets) {
        if (target.health().meanTime().count() > 0)
            times.push_back(target.health().meanTime());
        failedShares.push_back(target.health().failedShare());
        inFlight += target.inFlight(now, m_settings).value();
    }
    const double meanInFlight = m_meanInFlight.value_or(inFlight);
    m_meanInFlight = meanInFlight + (inFlight - meanInFlight) * inFlightWeight;
    if (!times.empty())
        m_baseline.medianTime = median(times);
    if (!failedShares.empty())
        m_baseline.failed = median(failedShares);
}

} // namespace endivedock
