#include "endivedock/balancing/service_balancer.h"

#include <algorithm>
#include <limits>

// Which target a request is sent to, and whether it waits for one.

namespace endivedock {

namespace {

/** A cold target works about this many times slower. */
constexpr double coldFactor = 2.0;
/** Targets whose expected finish is within this factor of the best count as equal. */
constexpr double equalFinish = 1.04;
/** Below this share a new version's requests go to as few targets as can take them. */
constexpr Share packedBelow{0.45};
/** Waiting for a fast target must promise at least this much; both times are estimates. */
constexpr double waitingGain = 1.5;
/** If more of the targets look bad, the cause is elsewhere. */
constexpr double mostEjected = 0.5;
/** A stopped target is noticed after this many usual times, but no sooner than the settings say. */
constexpr int silentTimes = 6;
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

Duration ServiceBalancer::silencePatience() const
{
    return std::max<Duration>(m_settings.silence, baseServiceTime() * silentTimes);
}

bool ServiceBalancer::usable(const TargetState &target, VersionRole role) const
{
    const RegisteredTarget &entry = target.registered();
    return !entry.draining && !m_evacuatedZones.contains(entry.zone) &&
           m_versions.role(entry.version) == role;
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
    auto work = static_cast<double>(baseServiceTime().count());
    const auto own = static_cast<double>(target.health().meanTime().count());
    // A target that is slow by itself is known by its own answers.
    if (own > 2 * work)
        work = own;
    work *= target.expectedSlowdown(now, m_usualSlowdown, m_settings.burst);
    return target.isCold(now) ? work * coldFactor : work;
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
    const auto &connectedTargets = request.connectedTargets;
    const AddressHash key = hashAddress(entry.address);
    if (std::find(connectedTargets.begin(), connectedTargets.end(), key) == connectedTargets.end())
        result += m_settings.connectPenalty * static_cast<double>(baseServiceTime().count());
    return result;
}

ServiceBalancer::Survey ServiceBalancer::survey(const PlacementRequest &request, VersionRole role,
                                                PlacementMode manner, TimePoint now)
{
    Survey result;
    const bool sparing = manner != PlacementMode::Desperate && mayEject(now);
    for (auto &[id, target] : m_targets) {
        if (!usable(target, role) || target.absent(now))
            continue;
        if (sparing && !looksWell(target, now))
            continue;
        result.any = true;
        const int inFlight = target.inFlight(now, m_settings).value();
        const int slots = std::max(target.registered().slots.value(), 1);
        const int room = roomOf(target);
        double work = expectedWork(target, now);
        const bool cold = target.isCold(now);
        if (!cold) {
            result.rate += room / work;
            result.leastWork = result.leastWork == 0 ? work : std::min(result.leastWork, work);
        }
        if (cold && !target.coldAllowance(now))
            continue;
        if (manner == PlacementMode::Central && inFlight >= room)
            continue;
        const auto &excludedTargets = request.excludedTargets;
        if (std::find(excludedTargets.begin(), excludedTargets.end(), id) != excludedTargets.end())
            continue;
        if (inFlight >= room)
            work *= m_settings.crowding;
        double finish = work + std::max(0, inFlight + 1 - slots) * work / slots;
        // A target that has joined gets its first request though the others are connected and near.
        const bool joining = manner == PlacementMode::Central && !cold && !target.everUsed() &&
                             request.body < heavyBody;
        if (!joining)
            finish += penalty(request, target.registered());
        const bool near = joining || target.registered().zone == request.zone;
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
    return static_cast<double>(Microseconds(request.latencyObjective).count()) * easyPart;
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

Duration ServiceBalancer::latestFinish(const PlacementRequest &request) const
{
    const double remaining = static_cast<double>(request.remaining.count());
    const double latencyObjective = static_cast<double>(request.latencyObjective.count());
    const double worthwhile =
            std::max(latencyObjective * worthwhileObjectives, remaining * worthwhilePart);
    const double latest = std::min(remaining * m_settings.latestFinish.value(), worthwhile);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(latest));
}

Duration ServiceBalancer::longestWait(const PlacementRequest &request) const
{
    if (request.latencyObjective.count() == 0)
        return Duration::max();
    const auto part =
            std::chrono::duration_cast<Milliseconds>(request.latencyObjective * waitingPart);
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
    return m_rolloutShare < packedBelow ? Spread::Packed : Spread::Even;
}

ServiceBalancer::Verdict ServiceBalancer::decide(const PlacementRequest &request, std::size_t ahead,
                                                 Duration waited, TimePoint now)
{
    const bool moving = m_versions.running().has_value();
    const bool moved = moving && m_rolloutShare >= Share(1);
    const bool tryNew = moving && drawUnitInterval(m_random) < m_rolloutShare.value();
    if (tryNew) {
        Survey fresh = survey(request, VersionRole::New, PlacementMode::Central, now);
        if (const auto chosen = pickFrom(fresh.candidates, spreadOfNew()))
            return {chosen, false, {}};
    }
    // The old version takes what the new one has no room for; never the other way round.
    const VersionRole role = moved ? VersionRole::New : VersionRole::Old;
    Survey seen = survey(request, role, PlacementMode::Central, now);
    if (!seen.any) {
        seen = survey(request, role, PlacementMode::Desperate, now);
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

} // namespace endivedock
