#include "endivedock/rollout/rollout_analysis.h"

#include <algorithm>
#include <cmath>

namespace endivedock {

namespace {

/** A response that takes this many times the old version's mean time is bad. */
constexpr double slowResponseFactor = 4.0;
/**
 * A bad response also exceeds the mean by this time. Without the margin, a busy host or link would
 * make the responses of a fast route look slow.
 */
constexpr Microseconds slowResponseMargin{20'000};
/** Weight of one response in the exponential moving average of the old version's time. */
constexpr double meanTimeWeight = 0.02;
/** Half-life of the recent counts. */
constexpr Milliseconds recentHalfLife{2000};
/** Share of bad responses that is always tolerated in a new version. */
constexpr double toleratedBadShare = 0.02;
/** Prior for the old version's bad share: this many additional responses, one of which is bad. */
constexpr double priorResponses = 12;
/** Responses of the old version on a route below which the route is not compared. */
constexpr double minOldResponses = 8;
/**
 * The old version counts as compared in the current step if it has sent at least this many
 * responses for each one of the new version. Responses to requests that were sent before the
 * step began, and requests for which the new version had no room, are fewer.
 */
constexpr double minComparedRatio = 0.4;
/** As toleratedBadShare, but while the old version is not compared in the current step. */
constexpr double toleratedBadShareWithoutOld = 0.15;
/** Tolerated ratio of the new version's bad share to the old version's. */
constexpr double toleratedBadFactor = 1.5;
/**
 * Threshold for the exponent of the Chernoff bound, above which a version counts as worse. A
 * version that is as good as the old one exceeds the threshold with a probability of at most
 * exp(-threshold).
 */
constexpr double chernoffThreshold = 8.0;
/**
 * Threshold for the counts of one step. The threshold is higher than chernoffThreshold, because
 * there are more of these counts and they start again in each step, so that a good version has more
 * opportunities to exceed the threshold by chance.
 */
constexpr double stepChernoffThreshold = 16.0;
/** Part of the thresholds above which a version is suspicious. */
constexpr double suspicionRatio = 0.25;
/** Responses of the new version on a route, in one step, before the route counts as covered. */
constexpr int minRouteResponses = 3;
/** Routes with a smaller share of the old version's responses need not be covered. */
constexpr double minRouteShare = 0.02;

/**
 * @return Kullback-Leibler divergence of two Bernoulli variables, which is the exponent of the
 *         Chernoff bound for one response
 */
double klDivergence(double badShare, double expectedShare)
{
    double result = 0;
    if (badShare > 0)
        result += badShare * std::log(badShare / expectedShare);
    if (badShare < 1)
        result += (1 - badShare) * std::log((1 - badShare) / (1 - expectedShare));
    return result;
}

/** @return the old version's bad share, with the prior */
double badShareOf(const ResponseCounts &oldCounts)
{
    return (oldCounts.badResponses + 1) / (oldCounts.responses + priorResponses);
}

/** @return the old version's bad share in the current step, with that of all steps as the prior */
double badShareInStep(const ResponseCounts &oldStep, const ResponseCounts &oldTotal)
{
    return (oldStep.badResponses + priorResponses * badShareOf(oldTotal)) /
           (oldStep.responses + priorResponses);
}

/** @return the bad share up to which the new version is not worse than the old one */
double expectedBadShare(double oldBadShare, double toleratedShare)
{
    return std::min(0.95, std::max(toleratedShare, oldBadShare * toleratedBadFactor));
}

/** @return exponent of the Chernoff bound, 0 if the version is not worse than expected */
double chernoffExponent(const ResponseCounts &newCounts, double expectedShare)
{
    if (newCounts.responses < 1)
        return 0;
    const double badShare = newCounts.badResponses / newCounts.responses;
    return badShare > expectedShare ? newCounts.responses * klDivergence(badShare, expectedShare)
                                    : 0;
}

void add(ResponseCounts &counts, bool isBad)
{
    counts.responses += 1;
    counts.badResponses += isBad ? 1 : 0;
}

void scale(ResponseCounts &counts, double factor)
{
    counts.responses *= factor;
    counts.badResponses *= factor;
}

} // namespace

void RolloutAnalysis::decay(Route &route, TimePoint now)
{
    if (route.decayedAt != TimePoint{}) {
        const std::chrono::duration<double> passed = now - route.decayedAt;
        const double factor = std::exp2(-passed / std::chrono::duration<double>(recentHalfLife));
        scale(route.oldRecent, factor);
        scale(route.newRecent, factor);
    }
    route.decayedAt = now;
}

void RolloutAnalysis::recordResponse(VersionRole role, RouteIndex index, bool failed,
                                     Microseconds time, TimePoint now)
{
    Route &route = m_routes[index];
    decay(route, now);
    const auto microseconds = static_cast<double>(time.count());
    const double slowLimit =
            std::max(slowResponseFactor * route.meanMicroseconds,
                     route.meanMicroseconds + static_cast<double>(slowResponseMargin.count()));
    const bool isSlow = route.meanMicroseconds > 0 && microseconds > slowLimit;
    const bool isBad = failed || isSlow;
    if (role == VersionRole::New) {
        add(route.newTotal, isBad);
        add(route.newRecent, isBad);
        add(route.newStep, isBad);
        ++m_newInStep;
        return;
    }
    add(route.oldTotal, isBad);
    add(route.oldRecent, isBad);
    add(route.oldStep, isBad);
    if (failed)
        return;
    if (route.meanMicroseconds == 0)
        route.meanMicroseconds = microseconds;
    route.meanMicroseconds += (microseconds - route.meanMicroseconds) * meanTimeWeight;
}

double RolloutAnalysis::expectedShareInStep(const Route &route)
{
    // While the old version gets no requests, a problem of all targets cannot be told from a fault
    // of the new version, so more bad responses are tolerated.
    if (!isOldCompared(route))
        return expectedBadShare(badShareOf(route.oldTotal), toleratedBadShareWithoutOld);
    return expectedBadShare(badShareInStep(route.oldStep, route.oldTotal), toleratedBadShare);
}

bool RolloutAnalysis::isOldCompared(const Route &route)
{
    return route.oldStep.responses >= minComparedRatio * route.newStep.responses;
}

std::optional<FaultEvidence> RolloutAnalysis::fault() const
{
    return findEvidence(1);
}

bool RolloutAnalysis::isSuspicious() const
{
    return findEvidence(suspicionRatio).has_value();
}

std::optional<FaultEvidence> RolloutAnalysis::findEvidence(double thresholdFactor) const
{
    const double threshold = thresholdFactor * chernoffThreshold;
    const double stepThreshold = thresholdFactor * stepChernoffThreshold;
    for (const auto &[index, route] : m_routes) {
        if (route.oldTotal.responses < minOldResponses)
            continue;
        const double expectedInStep = expectedShareInStep(route);
        const double expectedInTotal =
                (route.expectedBadOfEarlierSteps + route.newStep.responses * expectedInStep) /
                std::max(route.newTotal.responses, 1.0);
        const double expectedRecently =
                std::max(expectedInStep, expectedBadShare(badShareOf(route.oldRecent), 0));
        const bool isCompared = isOldCompared(route);
        if (chernoffExponent(route.newTotal, expectedInTotal) > threshold)
            return FaultEvidence{index, "all", route.newTotal, route.oldTotal, isCompared};
        if (chernoffExponent(route.newRecent, expectedRecently) > threshold)
            return FaultEvidence{index, "recent", route.newRecent, route.oldRecent, isCompared};
        if (chernoffExponent(route.newStep, expectedInStep) > stepThreshold)
            return FaultEvidence{index, "step", route.newStep, route.oldStep, isCompared};
    }
    return std::nullopt;
}

bool RolloutAnalysis::areRoutesCovered() const
{
    double oldResponses = 0;
    for (const auto &[index, route] : m_routes)
        oldResponses += route.oldStep.responses;
    return std::all_of(m_routes.begin(), m_routes.end(), [oldResponses](const auto &item) {
        const Route &route = item.second;
        return route.oldStep.responses < minRouteShare * oldResponses ||
               route.newStep.responses >= minRouteResponses;
    });
}

void RolloutAnalysis::resetStep()
{
    m_newInStep = 0;
    for (auto &[index, route] : m_routes) {
        route.expectedBadOfEarlierSteps += route.newStep.responses * expectedShareInStep(route);
        route.oldStep = {};
        route.newStep = {};
    }
}

} // namespace endivedock
