#include "endivedock/balancing/service_balancer.h"

#include <algorithm>

// What the ends of attempts show of targets, versions and requests.

namespace endivedock {

namespace {

/** Weight of one answer in the smoothed time of undisturbed work. */
constexpr double usualWeight = 0.03;
/** How old the baseline of the targets' times may be. */
constexpr Milliseconds baselineAge{100};
/** Answers kept for the decision on a move until the next message. */
constexpr std::size_t maxRolloutSamples = 256;
/** A target that refuses connections this soon after one was lost has crashed. */
constexpr Seconds crashWindow{2};
/** A request that was answered this lately is not suspected. */
constexpr Seconds innocentFor{30};
/** A target that has had this many usual times and not answered has failed. */
constexpr int fairTimes = 4;

} // namespace

std::optional<HostId> ServiceBalancer::finish(const AttemptReport &report, TimePoint now)
{
    const auto found = m_grants.find(report.grant);
    if (found == m_grants.end())
        return std::nullopt;
    const Grant grant = found->second;
    m_grants.erase(found);
    m_granted.erase(grant.attempt);
    const auto position = m_targets.find(grant.target);
    if (position == m_targets.end())
        return grant.placedBy; // The target has left meanwhile.
    TargetState &target = position->second;
    target.ended(report.grant);
    if (report.load)
        target.noteSlowdown({report.load->slowdown, now});
    if (report.misdirected)
        target.connectionFailed(now, m_settings);
    else
        takeOutcome(target, grant, report, now);
    return grant.placedBy;
}

void ServiceBalancer::takeOutcome(TargetState &target, const Grant &grant,
                                  const AttemptReport &report, TimePoint now)
{
    bool failed = false;
    switch (report.outcome) {
    case AttemptOutcome::Abandoned:
        return;
    case AttemptOutcome::Answered:
        m_suspects.recordResponse(grant.fingerprint, now);
        m_answeredAt[grant.fingerprint] = now;
        break;
    case AttemptOutcome::Shed:
    case AttemptOutcome::Draining:
        // A full target may refuse; one with free slots that refuses is of no use.
        target.recordResponse(now);
        if (grant.crowded || grant.isCold)
            return;
        failed = true;
        break;
    case AttemptOutcome::ConnectFailed:
        target.connectionFailed(now, m_settings);
        noteCrash(target.registered().id, now);
        return;
    case AttemptOutcome::ConnectionLost:
        m_losses.push_back({target.registered().id, grant.fingerprint, now});
        failed = true;
        break;
    case AttemptOutcome::TimedOut:
        // A caller that leaves hardly any time shows nothing of the target.
        if (report.time < baseServiceTime() * fairTimes)
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
    const auto time = static_cast<double>(report.time.count()) / slowdown;
    const Microseconds undisturbed(static_cast<std::int64_t>(time));
    if (!failed && !grant.crowded && !grant.isCold)
        updateBaseServiceTime(time);
    if (failed || (!grant.crowded && !grant.isCold))
        target.health().recordResponse(now, undisturbed, failed, m_baseline);
    const auto role = m_versions.role(target.registered().version);
    const bool telling = failed || (!grant.isCold && !grant.crowded);
    if (m_versions.running() && role && telling && m_rolloutSamples.size() < maxRolloutSamples)
        m_rolloutSamples.push_back({*role, grant.route, failed, undisturbed});
}

void ServiceBalancer::noteCrash(const TargetId &target, TimePoint now)
{
    std::erase_if(m_losses, [now](const Loss &loss) { return now - loss.at > crashWindow; });
    for (const auto &loss : m_losses) {
        const TimePoint *recordResponse = m_answeredAt.find(loss.fingerprint);
        // A request that targets answer does not crash them; its connection was lost otherwise.
        if (loss.target == target && (!recordResponse || now - *recordResponse > innocentFor))
            m_suspects.recordCrash(loss.fingerprint, target, now);
    }
    std::erase_if(m_losses, [&target](const Loss &loss) { return loss.target == target; });
}

void ServiceBalancer::updateBaseServiceTime(double time)
{
    // The first answers may be odd ones, so they weigh no more than what was assumed before.
    ++m_usualAnswers;
    const double weight = std::max(usualWeight, 1.0 / static_cast<double>(m_usualAnswers + 1));
    const auto before = static_cast<double>(baseServiceTime().count());
    m_baseServiceTime = before + (time - before) * weight;
}

void ServiceBalancer::refreshBaseline(TimePoint now)
{
    if (now - m_baselineAt < baselineAge)
        return;
    m_baselineAt = now;
    m_usualSlowdown = meanSlowdown(now);
    std::vector<Microseconds> times;
    std::vector<Share> failed;
    for (const auto &[id, target] : m_targets) {
        if (target.health().meanTime().count() > 0)
            times.push_back(target.health().meanTime());
        failed.push_back(target.health().failedShare());
    }
    if (!times.empty())
        m_baseline.medianTime = median(times);
    if (!failed.empty())
        m_baseline.failed = median(failed);
}

} // namespace endivedock
