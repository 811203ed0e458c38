#pragma once

#include "endivedock/placement/placer.h"

#include <algorithm>

namespace endivedock {

namespace placement_detail {

/** Waiting requests that are passed over for one behind them, when special rules keep them back. */
constexpr int mostPassedOver = 8;

inline PlacementAnswer refusal(const PlacementRequest &request, RefusalReason reason)
{
    return {request.attempt, request.service, request.transmissionNumber,
            Refusal{reason, RunCertainty::NotRun}};
}

} // namespace placement_detail

template <PickPolicy Policy>
BasicPlacer<Policy>::BasicPlacer(const Service &service, Random &random, PlacerSettings settings)
    : m_id(service.id)
    , m_random(random)
    , m_settings(settings)
    , m_template(service.settings)
    , m_evacuatedZones(service.evacuatedZones)
    , m_retryBudget(service.settings.retryBudgetRatio)
    , m_probes(service.settings.probeRate)
{
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::configure(const Service &service, TimePoint now, std::int64_t wallMs)
{
    m_template = service.settings;
    m_evacuatedZones = service.evacuatedZones;
    m_version = service.version;
    m_retryBudget.setShare(m_template.retryBudgetRatio);
    m_probes.setRate(m_template.probeRate);
    for (auto &target : m_targets)
        target.adaptive.setMaximum(fullLimit());
    applyZones(now);
    applyRollout(service, now, wallMs);
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::applyZones(TimePoint now)
{
    for (auto &target : m_targets) {
        const bool out = m_evacuatedZones.contains(target.listed.zone);
        if (target.zoneOut && !out) {
            // What happened in the zone meanwhile is unknown; it warms up before it ramps up.
            markCold(target, ColdReason::ZoneReturned, now);
            target.usableSince = now;
        }
        target.zoneOut = out;
    }
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::applyRollout(const Service &service, TimePoint now, std::int64_t wallMs)
{
    m_rollout = service.rollout;
    if (!m_rollout) {
        m_rolloutController.reset();
        return;
    }
    RolloutProgress known{m_rollout->number, RolloutPhase::Canary, 0, RollbackCause::None};
    if (m_rollout->state == RolloutState::Done)
        known.phase = RolloutPhase::Done;
    if (m_rollout->state == RolloutState::RolledBack) {
        known.phase = RolloutPhase::RolledBack;
        known.cause = parseRollbackCause(m_rollout->cause);
    }
    if (m_rolloutController && m_rolloutController->progress().number == m_rollout->number) {
        m_rolloutController->merge(known);
        return;
    }
    const TimePoint startedAt = now - Milliseconds(wallMs - m_rollout->startedAt);
    m_rolloutController.emplace(known, RolloutTimes{startedAt, startedAt + m_rollout->deadline});
}

template <PickPolicy Policy>
typename BasicPlacer<Policy>::Target &BasicPlacer<Policy>::targetFor(const ListedTarget &listed,
                                                                     TimePoint now)
{
    const auto found = m_index.find(listed.id);
    if (found != m_index.end())
        return m_targets[found->second];
    m_index.emplace(listed.id, m_targets.size());
    m_targets.push_back(Target{.listed = listed,
                               .warmup = WarmupTracker(m_template.warmAfterAnswers),
                               .health = TargetHealth(),
                               .adaptive = AdaptiveLimit(fullLimit()),
                               .zoneOut = m_evacuatedZones.contains(listed.zone),
                               .usableSince = now - m_settings.slowStartTime,
                               .reported = std::nullopt});
    return m_targets.back();
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::setTargets(std::span<const ListedTarget> listed, TimePoint now)
{
    for (auto &target : m_targets)
        target.present = false;
    for (const auto &entry : listed) {
        if (entry.service != m_id)
            continue;
        Target &target = targetFor(entry, now);
        const bool moved =
                target.listed.address != entry.address || target.listed.version != entry.version;
        const bool returned =
                target.listed.state == ListedState::Leaving && entry.state == ListedState::Live;
        if (moved || returned) {
            markCold(target, ColdReason::Listed, now);
            target.seenDraining = false;
        }
        target.listed = entry;
        target.zoneOut = m_evacuatedZones.contains(entry.zone);
        target.present = true;
    }
}

template <PickPolicy Policy>
bool BasicPlacer<Policy>::usable(const Target &target) const
{
    return target.present && !target.zoneOut && !target.seenDraining &&
           target.listed.state == ListedState::Live;
}

template <PickPolicy Policy>
Slots BasicPlacer<Policy>::fullLimit() const
{
    return m_template.slots + m_template.targetQueueLimit;
}

template <PickPolicy Policy>
Slots BasicPlacer<Policy>::limitOf(const Target &target, TimePoint now) const
{
    if (!usable(target))
        return Slots(0);
    const HealthState health = target.health.state(now);
    // A target that fails is left out though it is cold; its failures would keep it cold for ever.
    if (health == HealthState::Ejected && mayEject())
        return Slots(0);
    if (target.warmup.isCold())
        return now < m_coldFrom ? Slots(0) : m_template.coldConcurrencyLimit;
    if (health == HealthState::Probation)
        return Slots(1);
    const Duration sinceUsable = now - target.usableSince;
    const Slots most = std::min(fullLimit(), target.adaptive.limit());
    if (sinceUsable >= m_settings.slowStartTime)
        return most;
    const double part = std::chrono::duration<double>(sinceUsable) /
                        std::chrono::duration<double>(m_settings.slowStartTime);
    const int ramped = static_cast<int>(part * m_template.slots.value());
    return std::min(most, Slots(std::max(m_template.coldConcurrencyLimit.value(), ramped)));
}

template <PickPolicy Policy>
bool BasicPlacer<Policy>::mayEject() const
{
    // If most targets look bad, the cause is elsewhere, and leaving them out would make it worse.
    const auto bad =
            std::count_if(m_targets.begin(), m_targets.end(), [this](const Target &target) {
                return usable(target) && target.health.state(m_baselineAt) == HealthState::Ejected;
            });
    const auto all = std::count_if(m_targets.begin(), m_targets.end(),
                                   [this](const Target &target) { return usable(target); });
    return static_cast<double>(bad) <=
           static_cast<double>(all) * m_settings.maxEjectedShare.value();
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::refreshBaseline(TimePoint now)
{
    if (now - m_baselineAt < m_settings.maxBaselineAge)
        return;
    m_baselineAt = now;
    std::vector<Microseconds> times;
    std::vector<Share> failed;
    for (const auto &target : m_targets) {
        if (target.health.meanTime().count() > 0)
            times.push_back(target.health.meanTime());
        if (usable(target))
            failed.push_back(target.health.failedShare());
    }
    if (!times.empty())
        m_baseline.medianTime = median(times);
    if (!failed.empty())
        m_baseline.failed = median(failed);
}

template <PickPolicy Policy>
std::optional<VersionRole> BasicPlacer<Policy>::sideOf(const Target &target) const
{
    if (!m_rollout)
        return std::nullopt;
    if (target.listed.version == m_rollout->to)
        return VersionRole::New;
    if (target.listed.version == m_rollout->from)
        return VersionRole::Old;
    return std::nullopt;
}

template <PickPolicy Policy>
bool BasicPlacer<Policy>::hasVersion(const Target &target, VersionRole wanted) const
{
    if (m_rollout)
        return sideOf(target) == wanted;
    return !m_version || target.listed.version == *m_version;
}

template <PickPolicy Policy>
std::optional<std::size_t> BasicPlacer<Policy>::pickOn(const PlacementRequest &request,
                                                       const PickRules &rules, TimePoint now)
{
    m_views.clear();
    m_candidates.clear();
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const Target &target = m_targets[i];
        if (!usable(target) || !hasVersion(target, rules.side))
            continue;
        if (rules.isSuspect && target.suspects > 0)
            continue;
        if (rules.coldOnly && !target.warmup.isCold())
            continue;
        const auto &excludedTargets = request.excludedTargets;
        if (std::find(excludedTargets.begin(), excludedTargets.end(), target.listed.id) !=
            excludedTargets.end())
            continue;
        const Slots limit = limitOf(target, now);
        if (target.inFlight >= limit)
            continue;
        m_views.push_back({target.inFlight, limit, m_template.slots, target.health.meanTime(),
                           target.reported, target.health.meanTime()});
        m_candidates.push_back(i);
    }
    const auto chosen = m_policy.pick(m_views, m_random);
    return chosen ? std::optional(m_candidates[*chosen]) : std::nullopt;
}

template <PickPolicy Policy>
std::optional<std::size_t> BasicPlacer<Policy>::pickOnSide(const PlacementRequest &request,
                                                           VersionRole side, TimePoint now)
{
    PickRules rules{side, m_suspects.isSuspect(request.fingerprint, now), true};
    // Warm targets are faster and would get everything; some requests keep the others warming up.
    if (drawUnitInterval(m_random) < m_settings.coldTargetShare.value()) {
        if (const auto cold = pickOn(request, rules, now))
            return cold;
    }
    rules.coldOnly = false;
    return pickOn(request, rules, now);
}

template <PickPolicy Policy>
std::optional<std::size_t> BasicPlacer<Policy>::pick(const PlacementRequest &request, TimePoint now)
{
    const bool tryNew = m_rollout && drawUnitInterval(m_random) < newVersionShare().value();
    if (!tryNew)
        return pickOnSide(request, VersionRole::Old, now);
    const auto chosen = pickOnSide(request, VersionRole::New, now);
    // The old version takes what the new one has no room for; never the other way round.
    const bool ended =
            m_rolloutController && m_rolloutController->progress().phase == RolloutPhase::Done;
    return chosen || ended ? chosen : pickOnSide(request, VersionRole::Old, now);
}

template <PickPolicy Policy>
Share BasicPlacer<Policy>::newVersionShare() const
{
    return m_rolloutController ? m_rolloutController->share() : Share(0);
}

template <PickPolicy Policy>
Placement BasicPlacer<Policy>::grant(const PlacementRequest &request, std::size_t index,
                                     TimePoint deadline, TimePoint now)
{
    Target &target = m_targets[index];
    requireInvariant(target.inFlight < limitOf(target, now), "a grant exceeds its target's limit");
    target.inFlight += Slots(1);
    if (target.warmup.isCold()) {
        requireInvariant(target.inFlight <= m_template.coldConcurrencyLimit,
                         "a cold target has more than its allowance");
        ++m_counters.grantedCold;
    }
    ++m_counters.granted;
    const bool isSuspect = m_suspects.isSuspect(request.fingerprint, now);
    target.suspects += isSuspect ? 1 : 0;
    // Random, so that a grant of an earlier placing host is not taken for one of this host.
    const GrantId id(m_random() | 1);
    const TimePoint expires = deadline + m_settings.grantMargin;
    m_grants.emplace(id, Grant{request.attempt, index, request.fingerprint, request.route,
                               isSuspect, target.warmup.isCold(), now, expires});
    m_granted[request.attempt] = id;
    m_expiries.emplace(expires, id);
    return {id, target.listed.id, !target.warmup.isCold()};
}

template <PickPolicy Policy>
bool BasicPlacer<Policy>::anyUsable() const
{
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [this](const Target &target) { return usable(target); });
}

template <PickPolicy Policy>
Duration BasicPlacer<Policy>::expectedWait() const
{
    const auto places = static_cast<std::int64_t>(m_targets.size()) * m_template.slots.value();
    if (places == 0)
        return Duration::zero();
    return m_baseline.medianTime * static_cast<std::int64_t>(m_waiting.size()) / places;
}

template <PickPolicy Policy>
std::optional<Refusal> BasicPlacer<Policy>::refuseEarly(const PlacementRequest &request,
                                                        TimePoint now)
{
    const auto notRun = [](RefusalReason reason) { return Refusal{reason, RunCertainty::NotRun}; };
    if (m_suspects.isQuarantined(request.fingerprint, now))
        return notRun(RefusalReason::CrashSuspect);
    if (!anyUsable())
        return notRun(RefusalReason::NoTarget);
    if (expectedWait() > request.remaining)
        return notRun(RefusalReason::DeadlineExceeded);
    if (!request.isRetry) {
        m_retryBudget.recordFirstAttempt(now);
        return std::nullopt;
    }
    if (!m_retryBudget.tryRetry(now))
        return notRun(RefusalReason::RetryBudget);
    ++m_counters.retriesGranted;
    return std::nullopt;
}

template <PickPolicy Policy>
PlacementAnswers BasicPlacer<Policy>::request(const PlacementRequest &request, TimePoint now)
{
    PlacementAnswers answers;
    const auto ticket = m_tickets.find(request.attempt);
    if (ticket != m_tickets.end()) {
        // Sent again while it waits; the answer will show that this sending was seen.
        m_waiting.find(ticket->second)->request.transmissionNumber = request.transmissionNumber;
        answers.push_back({request.attempt, m_id, request.transmissionNumber, PlacementQueued{}});
        return answers;
    }
    const auto granted = m_granted.find(request.attempt);
    if (granted != m_granted.end()) {
        const Target &target = m_targets[m_grants.at(granted->second).target];
        answers.push_back({request.attempt, m_id, request.transmissionNumber,
                           Placement{granted->second, target.listed.id, !target.warmup.isCold()}});
        return answers;
    }
    refreshBaseline(now);
    if (const auto refusal = refuseEarly(request, now)) {
        answers.push_back({request.attempt, m_id, request.transmissionNumber, *refusal});
        return answers;
    }
    const TimePoint deadline = now + request.remaining;
    const auto chosen = m_waiting.empty() ? pick(request, now) : std::nullopt;
    if (chosen) {
        answers.push_back({request.attempt, m_id, request.transmissionNumber,
                           grant(request, *chosen, deadline, now)});
        return answers;
    }
    enqueue(request, deadline, answers);
    dispatch(now, answers);
    return answers;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::enqueue(const PlacementRequest &request, TimePoint deadline,
                                  PlacementAnswers &answers)
{
    auto admission = m_waiting.add(Waiting{request, deadline}, request.priority, deadline,
                                   static_cast<std::size_t>(m_template.queueLimit));
    if (admission.evicted) {
        ++m_counters.evicted;
        m_tickets.erase(admission.evicted->request.attempt);
        answers.push_back(
                placement_detail::refusal(admission.evicted->request, RefusalReason::QueueFull));
    }
    if (!admission.ticket) {
        answers.push_back(placement_detail::refusal(request, RefusalReason::QueueFull));
        return;
    }
    ++m_counters.queued;
    m_tickets[request.attempt] = *admission.ticket;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::dispatch(TimePoint now, PlacementAnswers &answers)
{
    m_waiting.serve(placement_detail::mostPassedOver, [&](const Waiting &waiting) {
        const auto chosen = pick(waiting.request, now);
        if (!chosen)
            return false;
        m_tickets.erase(waiting.request.attempt);
        answers.push_back({waiting.request.attempt, m_id, waiting.request.transmissionNumber,
                           grant(waiting.request, *chosen, waiting.deadline, now)});
        return true;
    });
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::dropOverdue(TimePoint now, PlacementAnswers &answers)
{
    while (auto waiting = m_waiting.takeExpired(now)) {
        ++m_counters.overdue;
        m_tickets.erase(waiting->request.attempt);
        answers.push_back(
                placement_detail::refusal(waiting->request, RefusalReason::DeadlineExceeded));
    }
}

template <PickPolicy Policy>
std::optional<typename BasicPlacer<Policy>::Grant> BasicPlacer<Policy>::removeGrant(GrantId id)
{
    const auto found = m_grants.find(id);
    if (found == m_grants.end())
        return std::nullopt;
    const Grant grant = found->second;
    Target &target = m_targets[grant.target];
    target.inFlight -= Slots(1);
    requireInvariant(target.inFlight >= Slots(0), "a target's count of requests fell below zero");
    target.suspects -= grant.isSuspect ? 1 : 0;
    m_granted.erase(grant.attempt);
    m_grants.erase(found);
    return grant;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::expireGrants(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const GrantId id = m_expiries.begin()->second;
        m_expiries.erase(m_expiries.begin());
        if (removeGrant(id))
            ++m_counters.expiredGrants;
    }
}

template <PickPolicy Policy>
PlacementAnswers BasicPlacer<Policy>::finish(const AttemptReport &report, TimePoint now)
{
    PlacementAnswers answers;
    const auto grant = removeGrant(report.grant);
    if (!grant)
        return answers; // Reported twice, or expired.
    refreshBaseline(now);
    takeReport(*grant, report, now);
    dropOverdue(now, answers);
    dispatch(now, answers);
    return answers;
}

template <PickPolicy Policy>
PlacementAnswers BasicPlacer<Policy>::cancel(const AttemptId &attempt, TimePoint now)
{
    PlacementAnswers answers;
    const auto ticket = m_tickets.find(attempt);
    if (ticket != m_tickets.end()) {
        m_waiting.remove(ticket->second);
        m_tickets.erase(ticket);
    }
    const auto granted = m_granted.find(attempt);
    if (granted == m_granted.end())
        return answers;
    removeGrant(granted->second);
    dispatch(now, answers);
    return answers;
}

template <PickPolicy Policy>
PlacementAnswers BasicPlacer<Policy>::tick(TimePoint now)
{
    PlacementAnswers answers;
    expireGrants(now);
    refreshBaseline(now);
    dropOverdue(now, answers);
    if (m_rolloutController)
        m_rolloutController->tick(now);
    dispatch(now, answers);
    return answers;
}

template <PickPolicy Policy>
PlacementAnswers BasicPlacer<Policy>::redirectQueuedRequests()
{
    PlacementAnswers answers;
    while (auto waiting = m_waiting.takeExpired(TimePoint::max())) {
        const PlacementRequest &request = waiting->request;
        answers.push_back({request.attempt, m_id, request.transmissionNumber, NotPlacingHost{}});
    }
    m_tickets.clear();
    return answers;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::markCold(Target &target, ColdReason sign, TimePoint now)
{
    target.warmup.markCold(sign, now);
    ++m_counters.markedCold;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::noteCrash(const Grant &grant, TimePoint now)
{
    Target &target = m_targets[grant.target];
    markCold(target, ColdReason::ConnectionLost, now);
    m_suspects.recordCrash(grant.fingerprint, target.listed.id, now);
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::takeReport(const Grant &grant, const AttemptReport &report, TimePoint now)
{
    Target &target = m_targets[grant.target];
    target.reported = report.reportedInFlight;
    m_probes.recordObservation(target.listed.id, now);
    bool failed = false;
    switch (report.outcome) {
    case AttemptOutcome::Answered:
        m_suspects.recordResponse(grant.fingerprint, now);
        target.adaptive.recordResponse();
        break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::TimedOut:
        failed = true;
        break;
    case AttemptOutcome::Shed:
        target.adaptive.recordShed(target.inFlight);
        return;
    case AttemptOutcome::Draining:
        target.seenDraining = true;
        return;
    case AttemptOutcome::ConnectFailed:
        markCold(target, ColdReason::ConnectionRefused, now);
        failed = true;
        break;
    case AttemptOutcome::ConnectionLost:
        noteCrash(grant, now);
        failed = true;
        break;
    case AttemptOutcome::Abandoned:
        return;
    }
    if (target.warmup.recordResponse(report.incarnation, !failed, report.time, grant.startedAt,
                                     now))
        ++m_counters.markedCold;
    if (target.health.recordResponse(now, report.time, failed, m_baseline))
        ++m_counters.ejections;
    const auto side = sideOf(target);
    const bool tells = failed || !grant.cold;
    if (m_rolloutController && side && tells)
        m_rolloutController->recordResponse(*side, RouteIndex(grant.route), failed, report.time,
                                            now);
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::restoreInFlight(const InFlightList &list, TimePoint now)
{
    for (const auto &attempt : list.attempts) {
        const auto index = m_index.find(attempt.target);
        if (index == m_index.end() || m_grants.contains(attempt.grant))
            continue;
        m_targets[index->second].inFlight += Slots(1);
        const TimePoint expires = now + attempt.remaining + m_settings.grantMargin;
        m_grants.emplace(attempt.grant, Grant{attempt.attempt, index->second, attempt.fingerprint,
                                              attempt.route, false, false, now, expires});
        m_granted[attempt.attempt] = attempt.grant;
        m_expiries.emplace(expires, attempt.grant);
    }
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::assumeWarm(std::span<const WarmTarget> targets)
{
    for (const auto &warm : targets) {
        const auto index = m_index.find(warm.target);
        if (index != m_index.end())
            m_targets[index->second].warmup.assumeWarm(warm.incarnation);
    }
}

template <PickPolicy Policy>
std::vector<WarmTarget> BasicPlacer<Policy>::warmTargets() const
{
    std::vector<WarmTarget> result;
    for (const auto &target : m_targets) {
        if (!target.warmup.isCold() && target.warmup.incarnation())
            result.push_back({target.listed.id, *target.warmup.incarnation()});
    }
    return result;
}

template <PickPolicy Policy>
std::vector<ProbeRequest> BasicPlacer<Policy>::dueProbes(TimePoint now)
{
    std::vector<ProbeRequest> orders;
    for (const auto &target : m_targets) {
        if (!target.present || target.zoneOut || limitOf(target, now) <= target.inFlight)
            continue;
        if (!m_probes.tryStartProbe(target.listed.id, now))
            continue;
        ++m_counters.probes;
        orders.push_back({target.listed.id, target.listed.address, m_template.probePath});
    }
    return orders;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::applyProbeResult(const TargetId &id,
                                           std::optional<Incarnation> incarnation, bool draining,
                                           TimePoint now)
{
    const auto index = m_index.find(id);
    if (index == m_index.end())
        return;
    Target &target = m_targets[index->second];
    if (!incarnation) {
        markCold(target, ColdReason::ConnectionRefused, now);
        return;
    }
    target.seenDraining = draining;
    // A probe is too light to show warmth; it can only show a new life.
    if (target.warmup.recordResponse(incarnation, false, Microseconds(0), now, now))
        ++m_counters.markedCold;
}

template <PickPolicy Policy>
std::optional<RolloutProgress> BasicPlacer<Policy>::rolloutProgress() const
{
    return m_rolloutController ? std::optional(m_rolloutController->progress()) : std::nullopt;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::mergeRolloutProgress(const RolloutProgress &progress)
{
    if (m_rolloutController)
        m_rolloutController->merge(progress);
}

template <PickPolicy Policy>
std::vector<TargetStatus> BasicPlacer<Policy>::targets(TimePoint now) const
{
    std::vector<TargetStatus> result;
    for (const auto &target : m_targets) {
        if (!target.present)
            continue;
        const bool leaving = target.seenDraining || target.listed.state == ListedState::Leaving;
        result.push_back({target.listed.id, target.listed.zone, target.listed.version,
                          target.inFlight, limitOf(target, now), target.warmup.isCold(), leaving,
                          target.health.state(now) == HealthState::Ejected});
    }
    return result;
}

} // namespace endivedock
