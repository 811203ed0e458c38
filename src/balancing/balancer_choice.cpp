#include "endivedock/balancing/service_balancer.h"

#include <algorithm>
#include <limits>
#include <map>

// Selection of a target for a request, and the decision whether the request waits.

namespace endivedock {

namespace {

/** Approximate factor by which the service time of a cold target is longer. */
constexpr double coldSlowdown = 2.0;
/** A target whose responses take longer than the mean by this factor counts as slow by itself. */
constexpr double unreportedSlowdown = 2.0;
/** Targets whose expected time is within this factor of the shortest one count as equally good. */
constexpr double equalTimeFactor = 1.04;
/**
 * While the new version of a rollout gets less than this share of the requests, its requests are
 * packed on few targets.
 */
constexpr Share packedBelowShare{0.45};
/**
 * A request waits for a fast target only if a free slow target is expected to take more than this
 * many times as long as the wait and the fast target's service time together, since both times are
 * estimates.
 */
constexpr double minWaitingGain = 1.5;
/**
 * If a larger fraction of the targets is ejected, the cause is assumed to be outside the targets,
 * and unhealthy targets are not excluded.
 */
constexpr double maxEjectedShare = 0.5;
/**
 * A target counts as unresponsive after this many expected service times, but not before
 * unresponsiveTimeout.
 */
constexpr int unresponsiveServiceTimes = 6;
/**
 * A request is worth sending if its expected time is within this fraction of its remaining time.
 */
constexpr double worthwhileDeadlineShare = 0.4;
/**
 * A request is also worth sending if its expected time is within this multiple of its objective.
 */
constexpr double worthwhileObjectiveFactor = 1.2;
/**
 * Fraction of its latency objective for which a request may wait. Under overload, a queue stays as
 * long as its limit allows; a short limit leaves most of the objective for the service time.
 */
constexpr double maxWaitObjectiveShare = 0.25;
/** Lower bound on the limit of the waiting time, for requests with short latency objectives. */
constexpr Milliseconds minWaitLimit{30};
/**
 * Requests with bodies of at least this size stay in their zone where possible, since platforms
 * charge for traffic between zones.
 */
constexpr Bytes largeBodySize{8 * 1024};
/**
 * A target of the same zone is good enough for a large body if the expected time is within this
 * fraction of the latency objective.
 */
constexpr double acceptableObjectiveShare = 0.4;

} // namespace

Duration ServiceBalancer::unresponsiveTimeout(const RequestClass &requestClass) const
{
    return std::max<Duration>(m_settings.unresponsiveTimeout,
                              m_serviceTimes.expected(requestClass) * unresponsiveServiceTimes);
}

bool ServiceBalancer::isEligible(const TargetState &target, VersionRole role) const
{
    const RegisteredTarget &entry = target.registered();
    return !target.isDraining() && !m_evacuatedZones.contains(entry.zone) &&
           m_versions.role(entry.version) == role;
}

bool ServiceBalancer::isClosedTo(const PlacementRequest &request, const TargetState &target,
                                 TimePoint now) const
{
    if (request.attempt.host == m_self)
        return target.isClosed(now);
    const auto &closed = request.closedTargets;
    return std::find(closed.begin(), closed.end(), target.registered().id) != closed.end();
}

bool ServiceBalancer::mayExcludeUnhealthy(TimePoint now) const
{
    const auto ejected = std::count_if(
            m_ownTargets.begin(), m_ownTargets.end(), [now](const TargetState *target) {
                return target->health().state(now) == HealthState::Ejected;
            });
    return static_cast<double>(ejected) <=
           static_cast<double>(m_ownTargets.size()) * maxEjectedShare;
}

bool ServiceBalancer::looksHealthy(const TargetState &target, TimePoint now) const
{
    const HealthState health = target.health().state(now);
    if (health == HealthState::Ejected)
        return false;
    if (health == HealthState::Probation && target.ownInFlight() > Slots(0))
        return false;
    return !target.isUnresponsive(now);
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

int ServiceBalancer::usableSlots(const TargetState &target) const
{
    const int slots = target.registered().slots.value();
    return std::max(1, static_cast<int>(slots * m_settings.usableSlotShare.value()));
}

double ServiceBalancer::expectedSlowdown(const TargetState &target, TimePoint now) const
{
    double slowdown = target.expectedSlowdown(now, m_meanSlowdown, m_settings.slowdownDecayTime);
    // A target may be slow without reporting a slowdown; its own response times show this.
    const auto meanTime = static_cast<double>(m_serviceTimes.mean().count());
    const auto ownTime = static_cast<double>(target.health().meanTime().count());
    if (ownTime > unreportedSlowdown * meanTime)
        slowdown *= ownTime / meanTime;
    return target.isCold(now) ? slowdown * coldSlowdown : slowdown;
}

ServiceBalancer::Penalties ServiceBalancer::penaltiesFor(const PlacementRequest &request) const
{
    Penalties result;
    const double kilobytes = static_cast<double>(request.body.value()) / 1024;
    result.otherZone = static_cast<double>(m_settings.crossZonePenalty.count()) +
                       kilobytes * static_cast<double>(m_settings.crossZonePenaltyPerKb.count());
    result.newConnection =
            m_settings.connectPenaltyRatio *
            static_cast<double>(m_serviceTimes.expected(request.requestClass).count());
    return result;
}

double ServiceBalancer::penalty(const PlacementRequest &request, const Penalties &penalties,
                                const TargetState &target)
{
    double result = 0;
    if (target.registered().zone != request.zone)
        result += penalties.otherZone;
    const auto &connectedTargets = request.connectedTargets;
    if (std::find(connectedTargets.begin(), connectedTargets.end(), target.addressHash()) ==
        connectedTargets.end())
        result += penalties.newConnection;
    return result;
}

ServiceBalancer::Evaluation ServiceBalancer::evaluateTargets(const PlacementRequest &request,
                                                             VersionRole role, PlacementMode mode,
                                                             TimePoint now)
{
    Evaluation result;
    const auto baseTime =
            static_cast<double>(m_serviceTimes.expected(request.requestClass).count());
    const auto meanTime = static_cast<double>(m_serviceTimes.mean().count());
    const bool excludesUnhealthy = mode != PlacementMode::LastResort && mayExcludeUnhealthy(now);
    const Penalties penalties = penaltiesFor(request);
    // As a last resort, a host uses the targets of all zones.
    const auto &targets = mode == PlacementMode::LastResort ? m_targetList : m_ownTargets;
    result.candidates.reserve(targets.size());
    for (TargetState *const position : targets) {
        TargetState &target = *position;
        if (!isEligible(target, role) || target.isUnavailable(now))
            continue;
        if (isClosedTo(request, target, now)) {
            result.hasClosed = true;
            continue;
        }
        if (excludesUnhealthy && !looksHealthy(target, now))
            continue;
        result.hasEligible = true;
        const auto &excludedTargets = request.excludedTargets;
        const bool isExcluded = std::find(excludedTargets.begin(), excludedTargets.end(),
                                          target.registered().id) != excludedTargets.end();
        result.hasUntried = result.hasUntried || !isExcluded;
        const int inFlight = target.inFlight(now, m_settings).value();
        const int slots = std::max(target.registered().slots.value(), 1);
        const int usable = usableSlots(target);
        const double slowdown = expectedSlowdown(target, now);
        double serviceTime = baseTime * slowdown;
        const bool isCold = target.isCold(now);
        if (!isCold) {
            result.completionRate += usable / (meanTime * slowdown);
            result.minServiceTime = result.minServiceTime == 0
                                            ? serviceTime
                                            : std::min(result.minServiceTime, serviceTime);
        }
        // Only the placing host of a cold target's zone knows the rate at which it gets requests.
        if (isCold && (!target.hasColdAllowance(now) || !isPlacedHere(target)))
            continue;
        if (mode == PlacementMode::Central && inFlight >= usable)
            continue;
        if (isExcluded)
            continue;
        if (inFlight >= usable)
            serviceTime *= m_settings.overfilledSlowdown;
        double expectedTime = serviceTime + std::max(0, inFlight + 1 - slots) * serviceTime / slots;
        // A newly joined target gets its first request without penalties; otherwise, targets in the
        // zone and targets with open connections would always be preferred to it.
        const bool isNewlyJoined = mode == PlacementMode::Central && !isCold &&
                                   !target.hasBeenUsed() && request.body < largeBodySize;
        if (!isNewlyJoined)
            expectedTime += penalty(request, penalties, target);
        const bool isZoneLocal = isNewlyJoined || target.registered().zone == request.zone;
        const double utilization = static_cast<double>(inFlight) / slots;
        result.candidates.push_back({&target, expectedTime, inFlight, utilization, isZoneLocal});
    }
    keepLargeBodiesInZone(request, result.candidates);
    return result;
}

double ServiceBalancer::acceptableZoneLocalTime(const PlacementRequest &request)
{
    if (request.body < largeBodySize)
        return 0;
    return static_cast<double>(Microseconds(request.latencyObjective).count()) *
           acceptableObjectiveShare;
}

void ServiceBalancer::keepLargeBodiesInZone(const PlacementRequest &request,
                                            std::vector<Candidate> &candidates)
{
    const double acceptableTime = acceptableZoneLocalTime(request);
    const bool hasAcceptable = std::any_of(
            candidates.begin(), candidates.end(), [acceptableTime](const Candidate &each) {
                return each.isZoneLocal && each.expectedTime <= acceptableTime;
            });
    if (hasAcceptable)
        std::erase_if(candidates, [](const Candidate &each) { return !each.isZoneLocal; });
}

std::optional<ServiceBalancer::Candidate>
ServiceBalancer::pickFrom(std::vector<Candidate> &candidates, Spread spread)
{
    double minExpectedTime = std::numeric_limits<double>::max();
    for (const auto &candidate : candidates)
        minExpectedTime = std::min(minExpectedTime, candidate.expectedTime);
    std::erase_if(candidates, [minExpectedTime](const Candidate &candidate) {
        return candidate.expectedTime > minExpectedTime * equalTimeFactor;
    });
    if (candidates.empty())
        return std::nullopt;
    // Of equally good targets, those of the same zone are preferred, since platforms charge for
    // traffic between zones.
    const bool hasZoneLocal =
            std::any_of(candidates.begin(), candidates.end(),
                        [](const Candidate &candidate) { return candidate.isZoneLocal; });
    if (hasZoneLocal)
        std::erase_if(candidates,
                      [](const Candidate &candidate) { return !candidate.isZoneLocal; });
    const auto isLessUtilized = [](const Candidate &a, const Candidate &b) {
        return a.utilization < b.utilization;
    };
    if (spread == Spread::Packed)
        return *std::max_element(candidates.begin(), candidates.end(), isLessUtilized);
    const Candidate &one = candidates[drawBelow(m_random, candidates.size())];
    const Candidate &two = candidates[drawBelow(m_random, candidates.size())];
    return one.utilization <= two.utilization ? one : two;
}

Duration ServiceBalancer::maxExpectedTime(const PlacementRequest &request) const
{
    const double remaining = static_cast<double>(request.remaining.count());
    const double latencyObjective = static_cast<double>(request.latencyObjective.count());
    const double worthwhile = std::max(latencyObjective * worthwhileObjectiveFactor,
                                       remaining * worthwhileDeadlineShare);
    const double maxTime = std::min(remaining * m_settings.deadlineShare.value(), worthwhile);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(maxTime));
}

Duration ServiceBalancer::maxWait(const PlacementRequest &request) const
{
    if (request.latencyObjective.count() == 0)
        return Duration::max();
    const auto limit = std::chrono::duration_cast<Milliseconds>(request.latencyObjective *
                                                                maxWaitObjectiveShare);
    return std::max(limit, minWaitLimit);
}

Duration ServiceBalancer::waitOfQueueFront(const FairQueueKey &key, TimePoint now) const
{
    const auto *front = m_waiting.front();
    if (front == nullptr || m_waiting.countAhead(key) == 0)
        return Duration::zero();
    return now - front->item.arrivedAt;
}

int ServiceBalancer::slotsWithoutLargestZone(VersionRole role, TimePoint now) const
{
    std::map<ZoneId, int> slotsByZone;
    int slots = 0;
    int slotsOfLargestZone = 0;
    for (const auto &[id, target] : m_targets) {
        int &slotsOfZone = slotsByZone[target.registered().zone];
        if (!isEligible(target, role) || target.isUnavailable(now) || !looksHealthy(target, now))
            continue;
        slots += usableSlots(target);
        slotsOfZone += usableSlots(target);
        slotsOfLargestZone = std::max(slotsOfLargestZone, slotsOfZone);
    }
    const bool isInSeveralZones = slotsByZone.size() > 1;
    return isInSeveralZones ? slots - slotsOfLargestZone : slots;
}

bool ServiceBalancer::hasNewVersionCapacity(TimePoint now) const
{
    const int newSlots = slotsWithoutLargestZone(VersionRole::New, now);
    return newSlots >= m_meanInFlight.value_or(0) ||
           newSlots >= slotsWithoutLargestZone(VersionRole::Old, now);
}

ServiceBalancer::Spread ServiceBalancer::newVersionSpread() const
{
    // A few requests on one target show early how a version behaves under load.
    return m_rolloutShare < packedBelowShare ? Spread::Packed : Spread::Even;
}

ServiceBalancer::Decision ServiceBalancer::decide(const PlacementRequest &request,
                                                  std::size_t requestsAhead, Duration waited,
                                                  TimePoint now)
{
    const bool isRollingOut = m_versions.running().has_value();
    const bool isRolledOut = isRollingOut && m_rolloutShare >= Share(1);
    const bool triesNewVersion =
            isRollingOut && drawUnitInterval(m_random) < m_rolloutShare.value();
    if (triesNewVersion) {
        Evaluation newVersion =
                evaluateTargets(request, VersionRole::New, PlacementMode::Central, now);
        if (const auto chosen = pickFrom(newVersion.candidates, newVersionSpread()))
            return {chosen, false, {}};
    }
    // The old version takes requests for which the new version has no free capacity, but not the
    // other way round.
    const VersionRole role = isRolledOut ? VersionRole::New : VersionRole::Old;
    Evaluation evaluated = evaluateTargets(request, role, PlacementMode::Central, now);
    if (isRolledOut && m_hasOldVersionOverflow && evaluated.candidates.empty()) {
        Evaluation oldVersion =
                evaluateTargets(request, VersionRole::Old, PlacementMode::Central, now);
        if (const auto chosen = pickFrom(oldVersion.candidates))
            return {chosen, false, {}};
    }
    if (!evaluated.hasEligible) {
        evaluated = evaluateTargets(request, role, PlacementMode::LastResort, now);
        const auto chosen = pickFrom(evaluated.candidates);
        return {chosen, false, RefusalReason::NoTarget, true};
    }
    // A request does not wait for a target that is closed to its host.
    if (evaluated.hasClosed && !evaluated.hasUntried)
        return {std::nullopt, false, RefusalReason::NoTarget};
    const double timeInQueue =
            evaluated.completionRate > 0
                    ? static_cast<double>(requestsAhead + 1) / evaluated.completionRate
                    : 0;
    const double timeWithWait = timeInQueue + evaluated.minServiceTime;
    const auto maxTime =
            std::chrono::duration<double, std::micro>(maxExpectedTime(request) - waited);
    const auto chosen = pickFrom(evaluated.candidates);
    // A free slow target is worse than a short wait for a fast target, unless the request
    // has a large body and the slow target is fast enough for its objective, or the request has
    // already waited for maxWait().
    const bool acceptsAny = evaluated.completionRate == 0 || waited >= maxWait(request);
    const double acceptable =
            acceptsAny ? std::numeric_limits<double>::max()
                       : std::max(timeWithWait * minWaitingGain, acceptableZoneLocalTime(request));
    if (chosen && chosen->expectedTime <= acceptable) {
        // An idle target gets the request even if it is expected to be late; otherwise a wrong
        // estimate of the service time would never be corrected.
        if (chosen->expectedTime <= maxTime.count() || chosen->inFlight == 0)
            return {chosen, false, {}};
        return {std::nullopt, false, RefusalReason::QueueFull};
    }
    const std::chrono::duration<double, std::micro> maxTimeInQueue(maxWait(request));
    if (evaluated.completionRate > 0 && timeWithWait <= maxTime.count() &&
        timeInQueue <= maxTimeInQueue.count())
        return {std::nullopt, true, {}};
    return {std::nullopt, false, RefusalReason::QueueFull};
}

} // namespace endivedock
