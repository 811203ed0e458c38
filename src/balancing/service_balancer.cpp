#include "endivedock/balancing/service_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace endivedock {

namespace {

/** Assumed before any answer. */
constexpr double firstUsualTime = 50'000;
/** Weight of one answer in the smoothed time of undisturbed work. */
constexpr double usualWeight = 0.03;
/** A cold target works about this many times slower. */
constexpr double coldFactor = 2.0;
/** Targets whose expected finish is within this factor of the best count as equal. */
constexpr double equalFinish = 1.04;
/** Requests that wait for targets of one service at the same time. */
constexpr std::size_t mostWaiting = 400;
/** Below this share a new version's requests go to as few targets as can take them. */
constexpr Share packedBelow{0.45};
/** Waiting requests that are passed over for one behind them, when special rules keep them back. */
constexpr int mostPassedOver = 8;
/** Waiting for a fast target must promise at least this much; both times are estimates. */
constexpr double waitingGain = 1.5;
/** A grant to another host is held for this long after its request's deadline. */
constexpr Milliseconds grantMargin{300};
/** If more of the targets look bad, the cause is elsewhere. */
constexpr double mostEjected = 0.5;
/** How old the baseline of the targets' times may be. */
constexpr Milliseconds baselineAge{100};
/** Answers kept for the decision on a move until the next message. */
constexpr std::size_t mostMoveAnswers = 256;
/** A target that refuses connections this soon after one was lost has crashed. */
constexpr Seconds crashWindow{2};
/** A request that was answered this lately is not suspected. */
constexpr Seconds innocentFor{30};
/** A target that has had this many usual times and not answered has failed. */
constexpr int fairTimes = 4;
/** A stopped target is noticed after this many usual times, but no sooner than the settings say. */
constexpr int silentTimes = 6;
/** Callers that are refused come back after this time, and up to as much again. */
constexpr Milliseconds shortReturn{60};
constexpr Milliseconds longReturn{250};
/** A request is still worth sending if it ends within this part of its remaining time. */
constexpr double worthwhilePart = 0.4;
/** Or within this many objectives. */
constexpr double worthwhileObjectives = 1.2;
/** Part of its objective that a request may wait. While more arrives than targets can do, a queue
 * stays as long as it is allowed to be; a short one leaves most of the objective for the work. */
constexpr double waitingPart = 0.25;
constexpr Milliseconds shortestQueue{30};
/** Bodies from this size on stay in their zone where they can: platforms charge for the bytes. */
constexpr Bytes heavyBody{8 * 1024};
/** A target nearby is good enough if it finishes within this part of the objective. */
constexpr double easyPart = 0.4;

} // namespace

ServiceBalancer::ServiceBalancer(ServiceId service, HostId self, const BalancingSettings &settings,
                                 Random &random)
    : m_service(std::move(service))
    , m_self(self)
    , m_settings(settings)
    , m_random(random)
    , m_retryBudget(settings.retryShare)
    , m_aloneBudget(settings.retryShare)
{
    m_rules.id = m_service;
    m_retryBudget.setAllowance(settings.retryAllowance);
}

void ServiceBalancer::setRules(const ServiceRules &rules)
{
    m_rules = rules;
}

void ServiceBalancer::setHosts(std::size_t hosts)
{
    m_hosts = std::max<std::size_t>(hosts, 1);
    m_aloneBudget.setAllowance(m_settings.aloneAllowance / static_cast<double>(m_hosts));
}

void ServiceBalancer::setTargets(std::span<const RegisteredTarget> targets, TimePoint now)
{
    std::set<TargetId> present;
    std::vector<VersionId> versions;
    for (const auto &entry : targets) {
        present.insert(entry.id);
        versions.push_back(entry.version);
        const auto [position, added] = m_targets.try_emplace(entry.id, entry);
        TargetState &target = position->second;
        const bool wasCold = !added && target.cold(now);
        if (added && entry.coldFor.count() > 0)
            target.chill(now + entry.coldFor);
        if (!added)
            target.update(entry, now);
        if (target.cold(now) && !wasCold)
            openColdAtRandom(target, now);
    }
    std::erase_if(m_targets, [&](const auto &item) { return !present.contains(item.first); });
    m_versions.setTargets(versions);
}

void ServiceBalancer::setZonesOut(const std::set<ZoneId> &zones, TimePoint now)
{
    for (auto &[id, target] : m_targets) {
        const ZoneId &zone = target.registered().zone;
        if (!m_zonesOut.contains(zone) || zones.contains(zone))
            continue;
        // Unseen meanwhile, so it may have turned cold; a probe tells sooner.
        target.chill(now + m_rules.warmup);
        openColdAtRandom(target, now);
    }
    m_zonesOut = zones;
}

void ServiceBalancer::openColdAtRandom(TargetState &target, TimePoint now)
{
    const auto wait = coldInterval(Manner::Alone) * drawUnit(m_random);
    target.openCold(now + std::chrono::duration_cast<Duration>(wait));
}

Duration ServiceBalancer::coldInterval(Manner manner) const
{
    if (!m_rules.warmupRate || m_rules.warmupRate->value() <= 0)
        return Duration::zero();
    const double rate = m_rules.warmupRate->value();
    const double interval =
            manner == Manner::Central
                    ? 1 / (rate * m_settings.coldRate.value())
                    : static_cast<double>(m_hosts) / (rate * m_settings.aloneColdRate.value());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval));
}

Duration ServiceBalancer::silencePatience() const
{
    return std::max<Duration>(m_settings.silence, usualTime() * silentTimes);
}

Microseconds ServiceBalancer::usualTime() const
{
    return Microseconds(static_cast<std::int64_t>(m_usualTime > 0 ? m_usualTime : firstUsualTime));
}

bool ServiceBalancer::usable(const TargetState &target, MoveSide side) const
{
    const RegisteredTarget &entry = target.registered();
    return !entry.draining && !m_zonesOut.contains(entry.zone) &&
           m_versions.side(entry.version) == side;
}

bool ServiceBalancer::mayEject(TimePoint now) const
{
    const auto bad = std::count_if(m_targets.begin(), m_targets.end(), [now](const auto &item) {
        return item.second.health().state(now) == HealthState::Ejected;
    });
    return static_cast<double>(bad) <= static_cast<double>(m_targets.size()) * mostEjected;
}

bool ServiceBalancer::looksWell(const TargetState &target, TimePoint now) const
{
    const HealthState health = target.health().state(now);
    if (health == HealthState::Ejected)
        return false;
    if (health == HealthState::Probation && target.own() > Slots(0))
        return false;
    return !target.silent(now, silencePatience());
}

double ServiceBalancer::meanSlowdown(TimePoint now) const
{
    double sum = 0;
    int count = 0;
    for (const auto &[id, target] : m_targets) {
        if (now - target.slowdown().at > Seconds(2))
            continue;
        sum += target.slowdown().slowdown;
        ++count;
    }
    return count == 0 ? 1.0 : sum / count;
}

int ServiceBalancer::roomOf(const TargetState &target) const
{
    const int slots = target.registered().slots.value();
    return std::max(1, static_cast<int>(slots * m_settings.roomy.value()));
}

double ServiceBalancer::expectedWork(const TargetState &target, TimePoint now) const
{
    double work = m_usualTime > 0 ? m_usualTime : firstUsualTime;
    const auto own = static_cast<double>(target.health().meanTime().count());
    // A target that is slow by itself is known by its own answers.
    if (own > 2 * work)
        work = own;
    work *= target.expectedSlowdown(now, m_usualSlowdown, m_settings.burst);
    return target.cold(now) ? work * coldFactor : work;
}

double ServiceBalancer::penalty(const PlacementRequest &request,
                                const RegisteredTarget &entry) const
{
    double result = 0;
    if (entry.zone != request.zone) {
        const double kilobytes = static_cast<double>(request.body.value()) / 1024;
        result += static_cast<double>(m_settings.zonePenalty.count()) +
                  kilobytes * static_cast<double>(m_settings.zonePenaltyPerKb.count());
    }
    const auto &connected = request.connected;
    const AddressKey key = addressKey(entry.address);
    if (std::find(connected.begin(), connected.end(), key) == connected.end())
        result += m_settings.connectPenalty * static_cast<double>(usualTime().count());
    return result;
}

ServiceBalancer::Survey ServiceBalancer::survey(const PlacementRequest &request, MoveSide side,
                                                Manner manner, TimePoint now)
{
    Survey result;
    const bool sparing = manner != Manner::Desperate && mayEject(now);
    for (auto &[id, target] : m_targets) {
        if (!usable(target, side) || target.absent(now))
            continue;
        if (sparing && !looksWell(target, now))
            continue;
        result.any = true;
        const int inFlight = target.inFlight(now, m_settings).value();
        const int slots = std::max(target.registered().slots.value(), 1);
        const int room = roomOf(target);
        double work = expectedWork(target, now);
        const bool cold = target.cold(now);
        if (!cold) {
            result.rate += room / work;
            result.leastWork = result.leastWork == 0 ? work : std::min(result.leastWork, work);
        }
        if (cold && !target.coldAllowance(now))
            continue;
        if (manner == Manner::Central && inFlight >= room)
            continue;
        const auto &exclude = request.exclude;
        if (std::find(exclude.begin(), exclude.end(), id) != exclude.end())
            continue;
        if (inFlight >= room)
            work *= m_settings.crowding;
        double finish = work + std::max(0, inFlight + 1 - slots) * work / slots;
        finish += penalty(request, target.registered());
        const bool near = target.registered().zone == request.zone;
        const double fullness = static_cast<double>(inFlight) / slots;
        result.candidates.push_back({&target, finish, inFlight, fullness, near});
    }
    keepHeavyNear(request, result.candidates);
    return result;
}

double ServiceBalancer::easyFinish(const PlacementRequest &request)
{
    if (request.body < heavyBody)
        return 0;
    return static_cast<double>(Microseconds(request.objective).count()) * easyPart;
}

void ServiceBalancer::keepHeavyNear(const PlacementRequest &request,
                                    std::vector<Candidate> &candidates)
{
    const double easy = easyFinish(request);
    const bool anyGood =
            std::any_of(candidates.begin(), candidates.end(),
                        [easy](const Candidate &each) { return each.near && each.finish <= easy; });
    if (anyGood)
        std::erase_if(candidates, [](const Candidate &each) { return !each.near; });
}

std::optional<ServiceBalancer::Candidate>
ServiceBalancer::pickFrom(std::vector<Candidate> &candidates, Spread spread)
{
    double least = std::numeric_limits<double>::max();
    for (const auto &candidate : candidates)
        least = std::min(least, candidate.finish);
    std::erase_if(candidates, [least](const Candidate &candidate) {
        return candidate.finish > least * equalFinish;
    });
    if (candidates.empty())
        return std::nullopt;
    // Of equally good targets those nearby: platforms charge for bytes between zones.
    const bool anyNear = std::any_of(candidates.begin(), candidates.end(),
                                     [](const Candidate &candidate) { return candidate.near; });
    if (anyNear)
        std::erase_if(candidates, [](const Candidate &candidate) { return !candidate.near; });
    const auto fuller = [](const Candidate &a, const Candidate &b) {
        return a.fullness < b.fullness;
    };
    if (spread == Spread::Packed)
        return *std::max_element(candidates.begin(), candidates.end(), fuller);
    const Candidate &one = candidates[drawBelow(m_random, candidates.size())];
    const Candidate &two = candidates[drawBelow(m_random, candidates.size())];
    return one.fullness <= two.fullness ? one : two;
}

Refusal ServiceBalancer::refuse(RefusalReason reason, Milliseconds retryAfter)
{
    ++m_counters.rejected;
    const auto spread =
            static_cast<std::int64_t>(drawUnit(m_random) * static_cast<double>(retryAfter.count()));
    return {reason, RunCertainty::NotRun, retryAfter + Milliseconds(spread)};
}

std::optional<Refusal> ServiceBalancer::refuseEarly(const PlacementRequest &request,
                                                    RetryBudget &budget, TimePoint now)
{
    if (m_suspects.convicted(request.fingerprint, now))
        return Refusal{RefusalReason::CrashSuspect, RunCertainty::NotRun};
    if (!request.retry) {
        budget.countFirst(now);
        return std::nullopt;
    }
    if (!budget.tryRetry(now))
        return refuse(RefusalReason::RetryBudget, shortReturn);
    ++m_counters.retries;
    return std::nullopt;
}

Duration ServiceBalancer::latestFinish(const PlacementRequest &request) const
{
    const double remaining = static_cast<double>(request.remaining.count());
    const double objective = static_cast<double>(request.objective.count());
    const double worthwhile =
            std::max(objective * worthwhileObjectives, remaining * worthwhilePart);
    const double latest = std::min(remaining * m_settings.latestFinish.value(), worthwhile);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(latest));
}

Duration ServiceBalancer::longestWait(const PlacementRequest &request) const
{
    if (request.objective.count() == 0)
        return Duration::max();
    const auto part = std::chrono::duration_cast<Milliseconds>(request.objective * waitingPart);
    return std::max(part, shortestQueue);
}

Duration ServiceBalancer::waitAhead(const PlacementRequest &request, TimePoint now) const
{
    const auto *front = m_waiting.front();
    if (front == nullptr || front->priority < request.priority)
        return Duration::zero();
    return now - front->item.arrivedAt;
}

ServiceBalancer::Spread ServiceBalancer::spreadOfNew() const
{
    // A few requests on one target show early what a version does under load.
    return m_moveShare < packedBelow ? Spread::Packed : Spread::Even;
}

ServiceBalancer::Verdict ServiceBalancer::decide(const PlacementRequest &request, std::size_t ahead,
                                                 Duration waited, TimePoint now)
{
    const bool moving = m_versions.running().has_value();
    const bool moved = moving && m_moveShare >= Share(1);
    const bool tryNew = moving && drawUnit(m_random) < m_moveShare.value();
    if (tryNew) {
        Survey fresh = survey(request, MoveSide::New, Manner::Central, now);
        if (const auto chosen = pickFrom(fresh.candidates, spreadOfNew()))
            return {chosen, false, {}};
    }
    // The old version takes what the new one has no room for; never the other way round.
    const MoveSide side = moved ? MoveSide::New : MoveSide::Old;
    Survey seen = survey(request, side, Manner::Central, now);
    if (!seen.any) {
        seen = survey(request, side, Manner::Desperate, now);
        const auto chosen = pickFrom(seen.candidates);
        return {chosen, false, RefusalReason::NoTarget};
    }
    const double wait = seen.rate > 0 ? static_cast<double>(ahead + 1) / seen.rate : 0;
    const double patient = wait + seen.leastWork;
    const auto latest = std::chrono::duration<double, std::micro>(latestFinish(request) - waited);
    const auto chosen = pickFrom(seen.candidates);
    // A slow target with room is worse than a short wait for a fast one, unless it is easily enough
    // or the wait has been long already.
    const bool anyWillDo = seen.rate == 0 || waited >= longestWait(request);
    const double acceptable = anyWillDo ? std::numeric_limits<double>::max()
                                        : std::max(patient * waitingGain, easyFinish(request));
    if (chosen && chosen->finish <= acceptable) {
        // An idle target is worth a try: the estimate would never be corrected otherwise.
        if (chosen->finish <= latest.count() || chosen->inFlight == 0)
            return {chosen, false, {}};
        return {std::nullopt, false, RefusalReason::QueueFull};
    }
    const std::chrono::duration<double, std::micro> longest(longestWait(request));
    if (seen.rate > 0 && patient <= latest.count() && wait <= longest.count())
        return {std::nullopt, true, {}};
    return {std::nullopt, false, RefusalReason::QueueFull};
}

std::optional<ServiceBalancer::Outcome> ServiceBalancer::place(const PlacementRequest &request,
                                                               TimePoint now)
{
    if (m_tickets.contains(request.attempt))
        return std::nullopt; // Sent again while it waits.
    const auto granted = m_granted.find(request.attempt);
    if (granted != m_granted.end()) {
        if (const auto choice = find(granted->second))
            return *choice;
    }
    refreshBaseline(now);
    m_placedAt = now;
    if (auto refusal = refuseEarly(request, m_retryBudget, now))
        return *refusal;
    const std::size_t ahead = m_waiting.aheadOf(request.priority);
    const Verdict verdict = decide(request, ahead, Duration::zero(), now);
    if (verdict.chosen && m_waiting.empty())
        return grant(request, *verdict.chosen, Manner::Central, now);
    const bool queueStands = !verdict.chosen && waitAhead(request, now) > longestWait(request);
    if (queueStands || (!verdict.chosen && !verdict.wait))
        return refuse(queueStands ? RefusalReason::QueueFull : verdict.reason,
                      verdict.reason == RefusalReason::NoTarget ? longReturn : shortReturn);
    const Duration latestStart = latestFinish(request) - usualTime();
    auto admission = m_waiting.add(Waiting{request, now}, request.priority,
                                   now + std::max(latestStart, Duration::zero()), mostWaiting);
    if (!admission.ticket)
        return refuse(RefusalReason::QueueFull, shortReturn);
    m_tickets[request.attempt] = *admission.ticket;
    if (admission.evicted) {
        m_tickets.erase(admission.evicted->request.attempt);
        m_evicted.push_back(std::move(admission.evicted->request));
    }
    return std::nullopt;
}

std::vector<PlacementDecision> ServiceBalancer::dispatch(TimePoint now)
{
    std::vector<PlacementDecision> result;
    expireGrants(now);
    for (auto &request : std::exchange(m_evicted, {}))
        result.push_back({std::move(request), refuse(RefusalReason::QueueFull, shortReturn)});
    while (auto overdue = m_waiting.takeOverdue(now)) {
        m_tickets.erase(overdue->request.attempt);
        result.push_back({overdue->request, refuse(RefusalReason::QueueFull, shortReturn)});
    }
    if (m_waiting.empty())
        return result;
    refreshBaseline(now);
    std::size_t ahead = 0;
    m_waiting.serve(mostPassedOver, [&](const Waiting &waiting) {
        PlacementRequest request = waiting.request;
        const Duration waited = now - waiting.arrivedAt;
        const Verdict verdict = decide(request, ahead, waited, now);
        if (!verdict.chosen) {
            ++ahead;
            return false;
        }
        request.remaining -= toMilliseconds(waited);
        m_tickets.erase(request.attempt);
        result.push_back({request, grant(request, *verdict.chosen, Manner::Central, now)});
        return true;
    });
    return result;
}

void ServiceBalancer::cancel(const AttemptId &attempt)
{
    const auto ticket = m_tickets.find(attempt);
    if (ticket != m_tickets.end()) {
        m_waiting.remove(ticket->second);
        m_tickets.erase(ticket);
    }
    const auto granted = m_granted.find(attempt);
    if (granted == m_granted.end())
        return;
    const auto grant = m_grants.find(granted->second);
    const auto target = m_targets.find(grant->second.target);
    if (target != m_targets.end())
        target->second.ended(grant->first);
    m_grants.erase(grant);
    m_granted.erase(granted);
}

ServiceBalancer::Outcome ServiceBalancer::placeAlone(const PlacementRequest &request, TimePoint now)
{
    refreshBaseline(now);
    if (auto refusal = refuseEarly(request, m_aloneBudget, now))
        return *refusal;
    const bool moving = m_versions.running().has_value();
    const bool moved = moving && m_moveShare >= Share(1);
    const bool toNew = moved || (moving && drawUnit(m_random) < m_moveShare.value());
    std::optional<Candidate> chosen;
    if (toNew) {
        Survey fresh = survey(request, MoveSide::New, Manner::Alone, now);
        chosen = pickFrom(fresh.candidates, spreadOfNew());
    }
    const MoveSide side = moved ? MoveSide::New : MoveSide::Old;
    if (!chosen) {
        Survey seen = survey(request, side, Manner::Alone, now);
        chosen = pickFrom(seen.candidates);
    }
    if (!chosen) {
        Survey seen = survey(request, side, Manner::Desperate, now);
        chosen = pickFrom(seen.candidates);
    }
    if (!chosen)
        return refuse(RefusalReason::NoTarget, longReturn);
    const auto finish = Microseconds(static_cast<std::int64_t>(chosen->finish));
    if (finish > latestFinish(request) && chosen->inFlight > 0)
        return refuse(RefusalReason::QueueFull, shortReturn);
    return grant(request, *chosen, Manner::Alone, now);
}

std::optional<BalancedChoice> ServiceBalancer::adopt(const PlacementRequest &request,
                                                     const Placement &placement, HostId placedBy,
                                                     TimePoint now)
{
    const auto found = m_targets.find(placement.target);
    if (found == m_targets.end())
        return std::nullopt;
    TargetState &target = found->second;
    const RegisteredTarget &entry = target.registered();
    if (entry.draining || m_zonesOut.contains(entry.zone) || !m_versions.side(entry.version))
        return std::nullopt;
    Candidate chosen;
    chosen.target = &target;
    chosen.finish = expectedWork(target, now);
    chosen.inFlight = target.inFlight(now, m_settings).value();
    return track(request, placement.grant, placedBy, chosen, now);
}

BalancedChoice ServiceBalancer::grant(const PlacementRequest &request, const Candidate &chosen,
                                      Manner manner, TimePoint now)
{
    if (chosen.target->cold(now)) {
        chosen.target->spendCold(now, coldInterval(manner));
        ++m_counters.cold;
    }
    return track(request, GrantId(m_random() | 1), m_self, chosen, now);
}

BalancedChoice ServiceBalancer::track(const PlacementRequest &request, GrantId id, HostId placedBy,
                                      const Candidate &chosen, TimePoint now)
{
    TargetState &target = *chosen.target;
    const RegisteredTarget &entry = target.registered();
    const bool cold = target.cold(now);
    Grant grant;
    grant.attempt = request.attempt;
    grant.placedBy = placedBy;
    grant.sentBy = request.attempt.host;
    grant.target = entry.id;
    grant.route = request.route;
    grant.fingerprint = request.fingerprint;
    grant.crowded = chosen.inFlight >= roomOf(target);
    grant.cold = cold;
    grant.slowdown = target.slowdown().slowdown;
    grant.expires = now + request.remaining + grantMargin;
    if (grant.sentBy != m_self)
        m_granted[request.attempt] = id;
    m_grants[id] = std::move(grant);
    target.sent(id, now);
    ++m_counters.chosen;
    BalancedChoice choice = *find(id);
    choice.inFlight = Slots(chosen.inFlight);
    choice.expected = Milliseconds(static_cast<std::int64_t>(chosen.finish / 1000));
    choice.slowdownAge = toMilliseconds(now - target.slowdown().at);
    return choice;
}

void ServiceBalancer::expireGrants(TimePoint now)
{
    std::vector<AttemptId> expired;
    for (const auto &[attempt, id] : m_granted) {
        if (m_grants.at(id).expires <= now)
            expired.push_back(attempt);
    }
    for (const auto &attempt : expired)
        cancel(attempt);
}

std::optional<BalancedChoice> ServiceBalancer::find(GrantId id) const
{
    const auto grant = m_grants.find(id);
    if (grant == m_grants.end())
        return std::nullopt;
    const auto target = m_targets.find(grant->second.target);
    if (target == m_targets.end())
        return std::nullopt;
    BalancedChoice choice;
    choice.grant = id;
    choice.target = target->second.registered();
    const int part = m_rules.connections.value() / static_cast<int>(m_hosts);
    choice.connections = Connections(std::max(part, choice.target.slots.value() + 1));
    choice.cold = grant->second.cold;
    return choice;
}

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
        m_suspects.answered(grant.fingerprint, now);
        m_answeredAt[grant.fingerprint] = now;
        break;
    case AttemptOutcome::Shed:
    case AttemptOutcome::Draining:
        // A full target may refuse; one with free slots that refuses is of no use.
        target.answered(now);
        if (grant.crowded || grant.cold)
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
        if (report.time < usualTime() * fairTimes)
            return;
        failed = true;
        break;
    case AttemptOutcome::Failed:
        failed = true;
        break;
    }
    if (report.outcome != AttemptOutcome::TimedOut)
        target.answered(now);
    const double slowdown = std::max(1.0, report.load ? report.load->slowdown : grant.slowdown);
    const auto time = static_cast<double>(report.time.count()) / slowdown;
    const Microseconds undisturbed(static_cast<std::int64_t>(time));
    if (!failed && !grant.crowded && !grant.cold)
        smoothUsualTime(time);
    if (failed || (!grant.crowded && !grant.cold))
        target.health().answered(now, undisturbed, failed, m_baseline);
    const auto side = m_versions.side(target.registered().version);
    const bool telling = failed || (!grant.cold && !grant.crowded);
    if (m_versions.running() && side && telling && m_moveAnswers.size() < mostMoveAnswers)
        m_moveAnswers.push_back({*side, grant.route, failed, undisturbed});
}

void ServiceBalancer::noteCrash(const TargetId &target, TimePoint now)
{
    std::erase_if(m_losses, [now](const Loss &loss) { return now - loss.at > crashWindow; });
    for (const auto &loss : m_losses) {
        const TimePoint *answered = m_answeredAt.find(loss.fingerprint);
        // A request that targets answer does not crash them; its connection was lost otherwise.
        if (loss.target == target && (!answered || now - *answered > innocentFor))
            m_suspects.crashed(loss.fingerprint, target, now);
    }
    std::erase_if(m_losses, [&target](const Loss &loss) { return loss.target == target; });
}

void ServiceBalancer::smoothUsualTime(double time)
{
    // The first answers may be odd ones, so they weigh no more than what was assumed before.
    ++m_usualAnswers;
    const double weight = std::max(usualWeight, 1.0 / static_cast<double>(m_usualAnswers + 1));
    const double before = m_usualTime > 0 ? m_usualTime : firstUsualTime;
    m_usualTime = before + (time - before) * weight;
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
