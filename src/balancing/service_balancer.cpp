#include "endivedock/balancing/service_balancer.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace endivedock {

namespace {

/** Assumed before any answer. */
constexpr double firstUsualTime = 50'000;
/** Weight of one answer in the smoothed time of undisturbed work. */
constexpr double usualWeight = 0.03;
/** A cold target works about this many times slower. */
constexpr double coldFactor = 2.0;
/** Targets whose expected finish is within this factor of the best count as equal. */
constexpr double equalFinish = 1.1;
/** If more of the targets look bad, the cause is elsewhere. */
constexpr double mostEjected = 0.5;
/** How old the baseline of the targets' times may be. */
constexpr Milliseconds baselineAge{100};
/** Answers kept for the decision on a move until the next message. */
constexpr std::size_t mostMoveAnswers = 256;
/** A stopped target is noticed after this many usual times, but no sooner than the settings say. */
constexpr int silentTimes = 6;
/** Callers that are refused come back after this time, and up to as much again. */
constexpr Milliseconds shortReturn{60};
constexpr Milliseconds longReturn{250};
/** A request is still worth sending if it ends within this part of its remaining time. */
constexpr double worthwhilePart = 0.4;
/** Or within this many objectives. */
constexpr double worthwhileObjectives = 1.2;

template <typename T>
T median(std::vector<T> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

TargetKey targetKey(const RegisteredTarget &target)
{
    const std::string &id = target.id.value();
    return TargetKey(XXH3_64bits_withSeed(id.data(), id.size(),
                                          static_cast<XXH64_hash_t>(target.startedAt.value_or(0))));
}

ServiceBalancer::ServiceBalancer(ServiceId service, const BalancingSettings &settings,
                                 Random &random)
    : m_service(std::move(service))
    , m_settings(settings)
    , m_random(random)
    , m_retryBudget(settings.retryShare)
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
    m_retryBudget.setAllowance(m_settings.retryAllowance / static_cast<double>(m_hosts));
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
            target.openCold(now + std::chrono::duration_cast<Duration>(coldInterval() *
                                                                       drawUnit(m_random)));
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
        target.openCold(now + std::chrono::duration_cast<Duration>(coldInterval() *
                                                                   drawUnit(m_random)));
    }
    m_zonesOut = zones;
}

Duration ServiceBalancer::coldInterval() const
{
    if (!m_rules.warmupRate || m_rules.warmupRate->value() <= 0)
        return Duration::zero();
    const double rate = m_rules.warmupRate->value() * m_settings.coldRate.value();
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(static_cast<double>(m_hosts) / rate));
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

double ServiceBalancer::expectedFinish(const TargetState &target, TimePoint now) const
{
    const RegisteredTarget &entry = target.registered();
    const double slots = std::max(entry.slots.value(), 1);
    const double inFlight = target.inFlight(now, m_settings).value();
    double work = m_usualTime > 0 ? m_usualTime : firstUsualTime;
    const auto own = static_cast<double>(target.health().meanTime().count());
    // A target that is slow by itself is known by its own answers.
    if (own > 2 * work)
        work = own;
    work *= target.expectedSlowdown(now, m_usualSlowdown, m_settings.burst);
    if (inFlight + 1 >= slots)
        work *= m_settings.crowding;
    if (target.cold(now))
        work *= coldFactor;
    const double ahead = std::max(0.0, inFlight + 1 - slots);
    double finish = work + ahead * work / slots;
    if (entry.zone != m_settings.zone)
        finish += static_cast<double>(m_settings.zonePenalty.count());
    return finish;
}

std::optional<ServiceBalancer::Candidate> ServiceBalancer::best(const PlacementRequest &request,
                                                                PassRules rules, TimePoint now)
{
    std::vector<Candidate> candidates;
    const bool sparing = mayEject(now);
    double least = 0;
    for (auto &[id, target] : m_targets) {
        if (!usable(target, rules.side) || target.absent(now))
            continue;
        if (std::find(request.exclude.begin(), request.exclude.end(), id) != request.exclude.end())
            continue;
        if (target.cold(now) && !target.coldAllowance(now))
            continue;
        if (!rules.desperate && sparing && !looksWell(target, now))
            continue;
        const double finish = expectedFinish(target, now);
        least = candidates.empty() ? finish : std::min(least, finish);
        candidates.push_back({&target, finish, target.inFlight(now, m_settings).value()});
    }
    std::erase_if(candidates, [least](const Candidate &candidate) {
        return candidate.finish > least * equalFinish;
    });
    if (candidates.empty())
        return std::nullopt;
    // Hosts see the same picture at the same time; two draws keep them from one choice.
    const Candidate &one = candidates[drawBelow(m_random, candidates.size())];
    const Candidate &two = candidates[drawBelow(m_random, candidates.size())];
    return one.inFlight <= two.inFlight ? one : two;
}

std::optional<ServiceBalancer::Candidate>
ServiceBalancer::bestOnSide(const PlacementRequest &request, MoveSide side, TimePoint now)
{
    if (auto chosen = best(request, {side, false}, now))
        return chosen;
    return best(request, {side, true}, now);
}

Refusal ServiceBalancer::refuse(RefusalReason reason, Milliseconds retryAfter)
{
    ++m_counters.rejected;
    const auto spread = static_cast<std::int64_t>(
            drawUnit(m_random) * static_cast<double>(retryAfter.count()));
    return {reason, RunCertainty::NotRun, retryAfter + Milliseconds(spread)};
}

std::optional<Refusal> ServiceBalancer::refuseEarly(const PlacementRequest &request, TimePoint now)
{
    if (m_suspects.convicted(request.fingerprint, now))
        return Refusal{RefusalReason::CrashSuspect, RunCertainty::NotRun};
    if (!request.retry) {
        m_retryBudget.countFirst(now);
        return std::nullopt;
    }
    if (!m_retryBudget.tryRetry(now))
        return refuse(RefusalReason::RetryBudget, shortReturn);
    ++m_counters.retries;
    return std::nullopt;
}

Duration ServiceBalancer::latestFinish(const PlacementRequest &request) const
{
    const double remaining = static_cast<double>(request.remaining.count());
    const double objective = static_cast<double>(request.objective.count());
    const double worthwhile = std::max(objective * worthwhileObjectives, remaining * worthwhilePart);
    const double latest = std::min(remaining * m_settings.latestFinish.value(), worthwhile);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(latest));
}

std::variant<BalancedChoice, Refusal> ServiceBalancer::place(const PlacementRequest &request,
                                                             TimePoint now)
{
    refreshBaseline(now);
    if (auto refusal = refuseEarly(request, now))
        return *refusal;
    std::optional<Candidate> chosen;
    const bool moving = m_versions.running().has_value();
    if (moving && drawUnit(m_random) < m_moveShare.value())
        chosen = bestOnSide(request, MoveSide::New, now);
    // The old version takes what the new one has no room for; never the other way round.
    const bool moved = moving && m_moveShare >= Share(1);
    if (!chosen && !moved)
        chosen = bestOnSide(request, MoveSide::Old, now);
    if (!chosen)
        return refuse(RefusalReason::NoTarget, longReturn);
    const auto finish = Microseconds(static_cast<std::int64_t>(chosen->finish));
    if (finish > latestFinish(request))
        return refuse(RefusalReason::QueueFull, shortReturn);
    return grant(request, *chosen, now);
}

BalancedChoice ServiceBalancer::grant(const PlacementRequest &request, const Candidate &chosen,
                                      TimePoint now)
{
    TargetState &target = *chosen.target;
    const RegisteredTarget &entry = target.registered();
    BalancedChoice choice;
    choice.grant = GrantId(m_random() | 1);
    choice.target = entry;
    const int part = m_rules.connections.value() / static_cast<int>(m_hosts);
    choice.connections = Connections(std::max(part, entry.slots.value() + 1));
    choice.cold = target.cold(now);
    choice.inFlight = Slots(chosen.inFlight);
    choice.expected = Milliseconds(static_cast<std::int64_t>(chosen.finish / 1000));
    choice.slowdownAge = toMilliseconds(now - target.slowdown().at);
    if (choice.cold) {
        target.spendCold(now, coldInterval());
        ++m_counters.cold;
    }
    ++m_counters.chosen;
    target.sent(choice.grant, now);
    m_grants[choice.grant] = {entry.id, request.route, request.fingerprint,
                              chosen.inFlight >= entry.slots.value(), choice.cold,
                              target.slowdown().slowdown};
    return choice;
}

void ServiceBalancer::finish(const AttemptReport &report, TimePoint now)
{
    const auto found = m_grants.find(report.grant);
    if (found == m_grants.end())
        return;
    const Grant grant = found->second;
    m_grants.erase(found);
    const auto position = m_targets.find(grant.target);
    if (position == m_targets.end())
        return; // The target has left meanwhile.
    TargetState &target = position->second;
    target.ended(report.grant);
    if (report.load)
        target.noteSlowdown({report.load->slowdown, now});
    if (report.misdirected) {
        target.connectionFailed(now, m_settings);
        return;
    }
    takeOutcome(target, grant, report, now);
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
        return;
    case AttemptOutcome::ConnectionLost:
        m_suspects.crashed(grant.fingerprint, target.registered().id, now);
        failed = true;
        break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::TimedOut:
        failed = true;
        break;
    }
    if (report.outcome != AttemptOutcome::TimedOut)
        target.answered(now);
    const double slowdown = std::max(1.0, report.load ? report.load->slowdown : grant.slowdown);
    const auto time = static_cast<double>(report.time.count()) / slowdown;
    const Microseconds undisturbed(static_cast<std::int64_t>(time));
    if (!failed && !grant.crowded && !grant.cold)
        m_usualTime = m_usualTime > 0 ? m_usualTime + (time - m_usualTime) * usualWeight : time;
    if (failed || (!grant.crowded && !grant.cold))
        target.health().answered(now, undisturbed, failed, m_baseline);
    const auto side = m_versions.side(target.registered().version);
    const bool telling = failed || (!grant.cold && !grant.crowded);
    if (m_versions.running() && side && telling && m_moveAnswers.size() < mostMoveAnswers)
        m_moveAnswers.push_back({*side, grant.route, failed, undisturbed});
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

std::vector<ProbeTarget> ServiceBalancer::dueProbes(TimePoint now)
{
    std::vector<ProbeTarget> result;
    for (auto &[id, target] : m_targets) {
        const RegisteredTarget &entry = target.registered();
        const bool doubtful = target.unverified() || target.cold(now);
        if (entry.draining || m_zonesOut.contains(entry.zone) || !doubtful)
            continue;
        // A cold target needs to be asked once or twice only; an absent one until it is back.
        const Milliseconds interval =
                target.unverified() ? m_settings.probeInterval : m_settings.probeInterval * 4;
        if (!target.takeProbe(now, interval))
            continue;
        ++m_counters.probes;
        result.push_back({id, entry.address});
    }
    return result;
}

void ServiceBalancer::probed(const TargetId &id, const std::optional<TargetProbe> &probe,
                             TimePoint now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    TargetState &target = found->second;
    if (!probe || !probe->healthy || probe->id != id) {
        // Health answers can be false either way, so only a connection that fails counts as absence.
        if (!probe && target.unverified())
            target.connectionFailed(now, m_settings);
        else if (probe && probe->id == id)
            target.verified();
        return;
    }
    const bool wasAbsent = target.unverified();
    target.verified();
    const Milliseconds left = probe->coldFor.value_or(Milliseconds(0));
    target.warmAt(now + left);
    if (wasAbsent && left.count() > 0)
        target.openCold(now + std::chrono::duration_cast<Duration>(coldInterval() *
                                                                   drawUnit(m_random)));
}

std::vector<TargetNews> ServiceBalancer::news(TimePoint now) const
{
    std::vector<TargetNews> result;
    for (const auto &[id, target] : m_targets) {
        const SlowdownReport &report = target.slowdown();
        const Milliseconds age = toMilliseconds(now - report.at);
        const bool known = report.at != TimePoint{} && age < m_settings.burst * 4;
        if (target.own() == Slots(0) && !known)
            continue;
        TargetNews entry;
        entry.target = targetKey(target.registered());
        entry.inFlight = static_cast<std::uint16_t>(target.own().value());
        entry.slowdown =
                known ? static_cast<std::uint16_t>(std::clamp(report.slowdown * 100, 1.0, 60'000.0))
                      : 0;
        entry.age = known ? age : Milliseconds(0);
        result.push_back(entry);
    }
    return result;
}

void ServiceBalancer::applyPicture(std::span<const TargetNews> others, TimePoint now)
{
    std::map<TargetKey, const TargetNews *> index;
    for (const auto &entry : others)
        index[entry.target] = &entry;
    for (auto &[id, target] : m_targets) {
        const auto found = index.find(targetKey(target.registered()));
        if (found == index.end()) {
            target.noteOthers(Slots(0), now);
            continue;
        }
        const TargetNews &entry = *found->second;
        target.noteOthers(Slots(entry.inFlight), now);
        if (entry.slowdown > 0)
            target.noteSlowdown({entry.slowdown / 100.0, now - entry.age});
    }
}

std::vector<MoveAnswer> ServiceBalancer::takeMoveAnswers()
{
    return std::exchange(m_moveAnswers, {});
}

} // namespace endivedock
