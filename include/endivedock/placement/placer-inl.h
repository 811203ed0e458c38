#pragma once

#include "endivedock/placement/placer.h"

#include <algorithm>

namespace endivedock {

namespace placement_detail {

inline bool contains(const std::vector<TargetId> &targets, const TargetId &id)
{
    return std::find(targets.begin(), targets.end(), id) != targets.end();
}

/**
 * Maximum number of queued requests that are skipped in favour of later ones, because no target
 * that they may use (not excluded, right version, no other crash suspect in flight) has capacity.
 */
constexpr int maxSkippedRequests = 8;

inline PlacementAnswer refusal(const PlacementRequest &request, RefusalReason reason)
{
    return {request.attempt, request.service, request.transmissionNumber,
            Refusal{reason, RunCertainty::NotRun}};
}

} // namespace placement_detail

template <PickPolicy Policy>
BasicPlacer<Policy>::BasicPlacer(const Service &service, Random &random, PlacerSettings settings)
    : m_service(service.id)
    , m_random(random)
    , m_settings(settings)
    , m_template(service.settings)
    , m_evacuatedZones(service.evacuatedZones)
    , m_retryBudget(service.settings.retryBudgetRatio)
    , m_hedging(service.settings.hedgingShare)
    , m_probes(service.settings.probeRate)
{
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::configure(const Service &service, TimePoint now, std::int64_t wallMs)
{
    m_template = service.settings;
    m_evacuatedZones = service.evacuatedZones;
    m_version = service.version;
    m_retryBudget.setRatio(m_template.retryBudgetRatio);
    m_hedging.setShare(m_template.hedgingShare);
    m_probes.setRate(m_template.probeRate);
    for (auto &target : m_targets)
        target.adaptiveLimit.setMaximum(fullLimit());
    applyZones(now);
    applyRollout(service, now, wallMs);
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::applyZones(TimePoint now)
{
    for (auto &target : m_targets) {
        const bool isEvacuated = m_evacuatedZones.contains(target.listed.zone);
        if (target.isInEvacuatedZone && !isEvacuated) {
            // The targets may have restarted while the zone was evacuated, so they are warmed up
            // again before the slow start.
            markCold(target, ColdReason::ZoneReturned, now);
            target.usableSince = now;
        }
        target.isInEvacuatedZone = isEvacuated;
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
    RolloutProgress declared{m_rollout->number, RolloutPhase::Canary, 0, RollbackCause::None};
    if (m_rollout->state == RolloutState::Done)
        declared.phase = RolloutPhase::Done;
    if (m_rollout->state == RolloutState::RolledBack) {
        declared.phase = RolloutPhase::RolledBack;
        declared.cause = parseRollbackCause(m_rollout->cause);
    }
    if (m_rolloutController && m_rolloutController->progress().number == m_rollout->number) {
        m_rolloutController->merge(declared);
        return;
    }
    const TimePoint startedAt = now - Milliseconds(wallMs - m_rollout->startedAt);
    m_rolloutController.emplace(declared, RolloutTimes{startedAt, startedAt + m_rollout->deadline});
}

template <PickPolicy Policy>
typename BasicPlacer<Policy>::Target &
BasicPlacer<Policy>::findOrAddTarget(const ListedTarget &listed, TimePoint now)
{
    const auto found = m_targetIndex.find(listed.id);
    if (found != m_targetIndex.end())
        return m_targets[found->second];
    m_targetIndex.emplace(listed.id, m_targets.size());
    m_targets.push_back(Target{.listed = listed,
                               .warmup = WarmupTracker(m_template.responsesUntilWarm),
                               .health = TargetHealth(),
                               .adaptiveLimit = AdaptiveLimit(fullLimit()),
                               .isInEvacuatedZone = m_evacuatedZones.contains(listed.zone),
                               .usableSince = now - m_settings.slowStartTime,
                               .reportedInFlight = std::nullopt});
    return m_targets.back();
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::setTargets(std::span<const ListedTarget> listed, TimePoint now)
{
    for (auto &target : m_targets)
        target.isListed = false;
    for (const auto &entry : listed) {
        if (entry.service != m_service)
            continue;
        Target &target = findOrAddTarget(entry, now);
        const bool hasChanged =
                target.listed.address != entry.address || target.listed.version != entry.version;
        const bool hasReturned =
                target.listed.state == ListedState::Leaving && entry.state == ListedState::Live;
        if (hasChanged || hasReturned) {
            markCold(target, ColdReason::Listed, now);
            target.isDraining = false;
        }
        target.listed = entry;
        target.isInEvacuatedZone = m_evacuatedZones.contains(entry.zone);
        target.isListed = true;
    }
}

template <PickPolicy Policy>
bool BasicPlacer<Policy>::isUsable(const Target &target) const
{
    return target.isListed && !target.isInEvacuatedZone && !target.isDraining &&
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
    if (!isUsable(target))
        return Slots(0);
    const HealthState health = target.health.state(now);
    // The ejection is checked before the cold limit: a failing target never becomes warm, so with
    // the cold limit alone the target would keep getting requests.
    if (health == HealthState::Ejected && isEjectionAllowed())
        return Slots(0);
    if (target.warmup.isCold())
        return now < m_coldAllowedFrom ? Slots(0) : m_template.coldConcurrencyLimit;
    if (health == HealthState::Probation)
        return Slots(1);
    const Duration sinceUsable = now - target.usableSince;
    const Slots maxLimit = std::min(fullLimit(), target.adaptiveLimit.limit());
    if (sinceUsable >= m_settings.slowStartTime)
        return maxLimit;
    const double fraction = std::chrono::duration<double>(sinceUsable) /
                            std::chrono::duration<double>(m_settings.slowStartTime);
    const int rampedLimit = static_cast<int>(fraction * m_template.slots.value());
    return std::min(maxLimit,
                    Slots(std::max(m_template.coldConcurrencyLimit.value(), rampedLimit)));
}

template <PickPolicy Policy>
bool BasicPlacer<Policy>::isEjectionAllowed() const
{
    // If most targets look unhealthy, the cause lies outside the targets, and ejecting them would
    // only overload the rest.
    const auto ejected =
            std::count_if(m_targets.begin(), m_targets.end(), [this](const Target &target) {
                return isUsable(target) &&
                       target.health.state(m_baselineAt) == HealthState::Ejected;
            });
    const auto usableTargets =
            std::count_if(m_targets.begin(), m_targets.end(),
                          [this](const Target &target) { return isUsable(target); });
    return static_cast<double>(ejected) <=
           static_cast<double>(usableTargets) * m_settings.maxEjectedShare.value();
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
        if (isUsable(target))
            failed.push_back(target.health.failedShare());
    }
    if (!times.empty())
        m_baseline.medianTime = median(times);
    if (!failed.empty())
        m_baseline.failed = median(failed);
}

template <PickPolicy Policy>
std::optional<VersionRole> BasicPlacer<Policy>::roleOf(const Target &target) const
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
        return roleOf(target) == wanted;
    return !m_version || target.listed.version == *m_version;
}

template <PickPolicy Policy>
std::optional<std::size_t> BasicPlacer<Policy>::pickMatching(const PlacementRequest &request,
                                                             const PickRules &rules, TimePoint now)
{
    m_views.clear();
    m_candidates.clear();
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const Target &target = m_targets[i];
        if (!isUsable(target) || !hasVersion(target, rules.role))
            continue;
        if (rules.isSuspect && target.suspectsInFlight > 0)
            continue;
        if (target.warmup.isCold() ? rules.isWarmOnly : rules.isColdOnly)
            continue;
        if (placement_detail::contains(request.excludedTargets, target.listed.id) ||
            placement_detail::contains(request.closedTargets, target.listed.id))
            continue;
        const Slots limit = limitOf(target, now);
        if (target.inFlight >= limit)
            continue;
        m_views.push_back({target.inFlight, limit, m_template.slots, target.health.meanTime(),
                           target.reportedInFlight, target.health.meanTime()});
        m_candidates.push_back(i);
    }
    const auto chosen = m_policy.pick(m_views, m_random);
    return chosen ? std::optional(m_candidates[*chosen]) : std::nullopt;
}

template <PickPolicy Policy>
std::optional<std::size_t> BasicPlacer<Policy>::pickWithRole(const PlacementRequest &request,
                                                             VersionRole role, TimePoint now)
{
    PickRules rules{role, m_crashSuspects.isSuspect(request.fingerprint, now), true};
    // The policy prefers warm targets, which are faster, so that cold targets would get no
    // requests. This share of the requests is offered to cold targets first, so that they warm up.
    if (drawUnitInterval(m_random) < m_settings.coldTargetShare.value()) {
        if (const auto cold = pickMatching(request, rules, now))
            return cold;
    }
    rules.isColdOnly = false;
    return pickMatching(request, rules, now);
}

template <PickPolicy Policy>
std::optional<std::size_t> BasicPlacer<Policy>::pick(const PlacementRequest &request, TimePoint now)
{
    const bool isNewVersionFirst =
            m_rollout && drawUnitInterval(m_random) < newVersionShare().value();
    if (!isNewVersionFirst)
        return pickWithRole(request, VersionRole::Old, now);
    const auto chosen = pickWithRole(request, VersionRole::New, now);
    // Until the old version drains, a request for which the new version has no capacity goes to the
    // old version. A request never goes from the old to the new version in this way.
    const bool isOldDraining =
            m_rolloutController && m_rolloutController->progress().phase >= RolloutPhase::Draining;
    return chosen || isOldDraining ? chosen : pickWithRole(request, VersionRole::Old, now);
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
    requireInvariant(target.inFlight < limitOf(target, now),
                     "a grant exceeds the in-flight limit of its target");
    target.inFlight += Slots(1);
    if (target.warmup.isCold()) {
        requireInvariant(
                target.inFlight <= m_template.coldConcurrencyLimit,
                "a cold target has more requests in flight than the cold concurrency limit");
        ++m_counters.coldGrants;
    }
    ++m_counters.granted;
    const bool isSuspect = m_crashSuspects.isSuspect(request.fingerprint, now);
    target.suspectsInFlight += isSuspect ? 1 : 0;
    // The id is random, so that a grant of an earlier placing host cannot be confused with one of
    // this host. The id is never 0, which stands for a placement without a grant.
    const GrantId id(m_random() | 1);
    const TimePoint expiresAt = deadline + m_settings.grantExpiryMargin;
    m_grants.emplace(id, Grant{request.attempt, index, request.fingerprint, request.route,
                               isSuspect, target.warmup.isCold(), now, expiresAt,
                               request.firstAttemptAge.has_value(), hedgeAfter(request)});
    m_grantByAttempt[request.attempt] = id;
    m_expiries.emplace(expiresAt, id);
    return makePlacement(id, target);
}

template <PickPolicy Policy>
Placement BasicPlacer<Policy>::makePlacement(GrantId grant, const Target &target) const
{
    return {grant, target.listed.id, !target.warmup.isCold(), target.warmup.incarnation(),
            m_grants.at(grant).hedgeAfter};
}

template <PickPolicy Policy>
bool BasicPlacer<Policy>::hasAnyRole(const Target &target) const
{
    return hasVersion(target, VersionRole::Old) || hasVersion(target, VersionRole::New);
}

template <PickPolicy Policy>
bool BasicPlacer<Policy>::hasUsableTarget(const PlacementRequest &request) const
{
    const auto &closedTargets = request.closedTargets;
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const Target &target) {
        if (!isUsable(target))
            return false;
        // A request does not wait for a target that is closed to its host.
        return closedTargets.empty() ||
               (hasAnyRole(target) && !placement_detail::contains(closedTargets, target.listed.id));
    });
}

template <PickPolicy Policy>
Duration BasicPlacer<Policy>::expectedWait() const
{
    const auto totalSlots = static_cast<std::int64_t>(m_targets.size()) * m_template.slots.value();
    if (totalSlots == 0)
        return Duration::zero();
    return m_baseline.medianTime * static_cast<std::int64_t>(m_queue.size()) / totalSlots;
}

template <PickPolicy Policy>
std::optional<Refusal> BasicPlacer<Policy>::checkAdmission(const PlacementRequest &request,
                                                           TimePoint now)
{
    const auto notRun = [](RefusalReason reason) { return Refusal{reason, RunCertainty::NotRun}; };
    if (m_crashSuspects.isQuarantined(request.fingerprint, now))
        return notRun(RefusalReason::CrashSuspect);
    if (!hasUsableTarget(request))
        return notRun(RefusalReason::NoTarget);
    if (expectedWait() > request.remaining)
        return notRun(RefusalReason::DeadlineExceeded);
    if (!request.isRetry) {
        m_retryBudget.recordFirstAttempt(now);
        m_hedging.recordFirstAttempt(now);
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
        // The message retransmits a queued request. The final answer carries the number of the
        // newest transmission.
        PlacementRequest &queued = m_queue.find(ticket->second)->request;
        queued.transmissionNumber = request.transmissionNumber;
        queued.closedTargets = request.closedTargets;
        answers.push_back(
                {request.attempt, m_service, request.transmissionNumber, PlacementQueued{}});
        return answers;
    }
    const auto granted = m_grantByAttempt.find(request.attempt);
    if (granted != m_grantByAttempt.end()) {
        const Target &target = m_targets[m_grants.at(granted->second).target];
        answers.push_back({request.attempt, m_service, request.transmissionNumber,
                           makePlacement(granted->second, target)});
        return answers;
    }
    refreshBaseline(now);
    if (request.firstAttemptAge) {
        answers.push_back(placeHedge(request, now));
        return answers;
    }
    if (const auto refusal = checkAdmission(request, now)) {
        answers.push_back({request.attempt, m_service, request.transmissionNumber, *refusal});
        return answers;
    }
    const TimePoint deadline = now + request.remaining;
    const auto chosen = m_queue.empty() ? pick(request, now) : std::nullopt;
    if (chosen) {
        answers.push_back({request.attempt, m_service, request.transmissionNumber,
                           grant(request, *chosen, deadline, now)});
        return answers;
    }
    enqueue(request, deadline, answers);
    grantQueuedRequests(now, answers);
    return answers;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::enqueue(const PlacementRequest &request, TimePoint deadline,
                                  PlacementAnswers &answers)
{
    auto admission = m_queue.add(QueuedRequest{request, deadline}, request.priority, deadline,
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
    ++m_counters.queuedRequests;
    m_tickets[request.attempt] = *admission.ticket;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::grantQueuedRequests(TimePoint now, PlacementAnswers &answers)
{
    m_queue.serve(placement_detail::maxSkippedRequests, [&](const QueuedRequest &waiting) {
        const auto chosen = pick(waiting.request, now);
        if (!chosen)
            return false;
        m_tickets.erase(waiting.request.attempt);
        answers.push_back({waiting.request.attempt, m_service, waiting.request.transmissionNumber,
                           grant(waiting.request, *chosen, waiting.deadline, now)});
        return true;
    });
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::refuseExpiredRequests(TimePoint now, PlacementAnswers &answers)
{
    while (auto waiting = m_queue.takeExpired(now)) {
        ++m_counters.expiredRequests;
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
    requireInvariant(target.inFlight >= Slots(0),
                     "the number of requests in flight at a target fell below zero");
    target.suspectsInFlight -= grant.isSuspect ? 1 : 0;
    m_grantByAttempt.erase(grant.attempt);
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
        return answers; // The report is a duplicate, or the grant has expired.
    refreshBaseline(now);
    applyReport(*grant, report, now);
    refuseExpiredRequests(now, answers);
    grantQueuedRequests(now, answers);
    return answers;
}

template <PickPolicy Policy>
PlacementAnswers BasicPlacer<Policy>::cancel(const AttemptId &attempt, TimePoint now)
{
    PlacementAnswers answers;
    const auto ticket = m_tickets.find(attempt);
    if (ticket != m_tickets.end()) {
        m_queue.remove(ticket->second);
        m_tickets.erase(ticket);
    }
    const auto granted = m_grantByAttempt.find(attempt);
    if (granted == m_grantByAttempt.end())
        return answers;
    removeGrant(granted->second);
    grantQueuedRequests(now, answers);
    return answers;
}

template <PickPolicy Policy>
PlacementAnswers BasicPlacer<Policy>::tick(TimePoint now)
{
    PlacementAnswers answers;
    expireGrants(now);
    refreshBaseline(now);
    refuseExpiredRequests(now, answers);
    if (m_rolloutController)
        m_rolloutController->tick(now);
    grantQueuedRequests(now, answers);
    return answers;
}

template <PickPolicy Policy>
PlacementAnswers BasicPlacer<Policy>::redirectQueuedRequests()
{
    PlacementAnswers answers;
    while (auto waiting = m_queue.takeExpired(TimePoint::max())) {
        const PlacementRequest &request = waiting->request;
        answers.push_back(
                {request.attempt, m_service, request.transmissionNumber, NotPlacingHost{}});
    }
    m_tickets.clear();
    return answers;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::markCold(Target &target, ColdReason reason, TimePoint now)
{
    target.warmup.markCold(reason, now);
    ++m_counters.markedCold;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::recordLostAttempt(const Grant &grant, TimePoint now)
{
    Target &target = m_targets[grant.target];
    markCold(target, ColdReason::ConnectionLost, now);
    m_crashSuspects.recordLoss({grant.fingerprint, target.listed.id, target.listed.zone,
                                grant.startedAt, now, /* isSilent */ false});
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::recordDraining(Target &target, std::optional<Incarnation> incarnation)
{
    // A late response of an earlier process says nothing about the current one.
    const auto current = target.warmup.incarnation();
    if (!incarnation || !current || *incarnation >= *current)
        target.isDraining = true;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::applyReport(const Grant &grant, const AttemptReport &report,
                                      TimePoint now)
{
    Target &target = m_targets[grant.target];
    recordHedgingTime(grant, report, now);
    if (report.outcome == AttemptOutcome::Overtaken)
        return; // The end says no more about the target.
    target.reportedInFlight = report.reportedInFlight;
    m_probes.recordObservation(target.listed.id, now);
    if (report.isTargetDraining)
        recordDraining(target, report.incarnation);
    bool failed = false;
    switch (report.outcome) {
    case AttemptOutcome::Answered:
        m_crashSuspects.recordResponse(grant.fingerprint, now);
        target.adaptiveLimit.recordResponse();
        break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::TimedOut:
        failed = true;
        break;
    case AttemptOutcome::Shed:
        // A pause concerns one host; the target may have room for the others.
        if (!report.pause)
            target.adaptiveLimit.recordShed(target.inFlight);
        return;
    case AttemptOutcome::Draining:
        recordDraining(target, report.incarnation);
        return;
    case AttemptOutcome::ConnectFailed:
        markCold(target, ColdReason::ConnectionRefused, now);
        failed = true;
        break;
    case AttemptOutcome::ConnectionLost:
        recordLostAttempt(grant, now);
        failed = true;
        break;
    case AttemptOutcome::Abandoned:
    case AttemptOutcome::Overtaken:
        return;
    }
    if (target.warmup.recordResponse(report.incarnation, !failed, report.time, grant.startedAt,
                                     now))
        ++m_counters.markedCold;
    if (target.health.recordResponse(now, report.time, failed, m_baseline))
        ++m_counters.ejections;
    const auto role = roleOf(target);
    const bool isComparable = failed || !grant.wasCold;
    if (m_rolloutController && role && isComparable)
        m_rolloutController->recordResponse(*role, RouteIndex(grant.route), failed, report.time,
                                            now);
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::restoreInFlight(const InFlightList &list, TimePoint now)
{
    for (const auto &attempt : list.attempts) {
        const auto index = m_targetIndex.find(attempt.target);
        if (index == m_targetIndex.end() || m_grants.contains(attempt.grant))
            continue;
        m_targets[index->second].inFlight += Slots(1);
        const TimePoint expiresAt = now + attempt.remaining + m_settings.grantExpiryMargin;
        m_grants.emplace(attempt.grant,
                         Grant{attempt.attempt, index->second, attempt.fingerprint, attempt.route,
                               false, false, now, expiresAt, false, Milliseconds(0)});
        m_grantByAttempt[attempt.attempt] = attempt.grant;
        m_expiries.emplace(expiresAt, attempt.grant);
    }
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::assumeWarm(std::span<const WarmTarget> targets)
{
    for (const auto &warm : targets) {
        const auto index = m_targetIndex.find(warm.target);
        if (index != m_targetIndex.end())
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
    std::vector<ProbeRequest> requests;
    for (const auto &target : m_targets) {
        if (!target.isListed || target.isInEvacuatedZone)
            continue;
        // Only a probe shows that a target which was draining has restarted.
        const bool mayRestart = target.isDraining && target.listed.state == ListedState::Live;
        if (!mayRestart && limitOf(target, now) <= target.inFlight)
            continue;
        if (!m_probes.tryStartProbe(target.listed.id, now))
            continue;
        ++m_counters.probes;
        requests.push_back({target.listed.id, target.listed.address, m_template.probePath});
    }
    return requests;
}

template <PickPolicy Policy>
void BasicPlacer<Policy>::applyProbeResult(const TargetId &id,
                                           std::optional<Incarnation> incarnation, bool isDraining,
                                           TimePoint now)
{
    const auto index = m_targetIndex.find(id);
    if (index == m_targetIndex.end())
        return;
    Target &target = m_targets[index->second];
    if (incarnation)
        target.lastSeenAt = now;
    // A target that has ended as it stated was not crashed by a request.
    const bool wasDraining = target.isDraining;
    if (!incarnation) {
        markCold(target, ColdReason::ConnectionRefused, now);
        if (!wasDraining)
            m_crashSuspects.recordTargetUnresponsive(id, /* isRefused */ true, now);
        return;
    }
    if (target.warmup.incarnation() != incarnation)
        target.isDraining = false;
    if (isDraining)
        recordDraining(target, incarnation);
    if (target.warmup.incarnation() == incarnation)
        m_crashSuspects.recordTargetAlive(id, now);
    else if (!wasDraining)
        m_crashSuspects.recordTargetEnded(id, now);
    // A probe causes too little work to prove that the target is warm, so its response never counts
    // as a success here. A new incarnation in the response does prove that the target restarted.
    if (target.warmup.recordResponse(incarnation, false, Microseconds(0), now, now))
        ++m_counters.markedCold;
}

template <PickPolicy Policy>
std::optional<RolloutProgress> BasicPlacer<Policy>::rolloutProgress() const
{
    return m_rolloutController ? std::optional(m_rolloutController->progress()) : std::nullopt;
}

template <PickPolicy Policy>
std::optional<FaultEvidence> BasicPlacer<Policy>::rolloutFault() const
{
    return m_rolloutController ? m_rolloutController->fault() : std::nullopt;
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
        if (!target.isListed)
            continue;
        const bool isLeaving = target.isDraining || target.listed.state == ListedState::Leaving;
        result.push_back({target.listed.id, target.listed.zone, target.listed.version,
                          target.inFlight, limitOf(target, now), target.warmup.isCold(), isLeaving,
                          target.health.state(now) == HealthState::Ejected});
    }
    return result;
}

} // namespace endivedock
