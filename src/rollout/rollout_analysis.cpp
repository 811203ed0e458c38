#include "endivedock/rollout/rollout_analysis.h"

#include <algorithm>
#include <cmath>

namespace endivedock {

namespace {

/** An answer this many times slower than the old version's mean counts as bad. */
constexpr double slowFactor = 4.0;
/** Weight of one answer in the old version's mean time. */
constexpr double usualWeight = 0.02;
/** Recent counts halve in this time. */
constexpr Milliseconds halfLife{2000};
/** Bad part that is never held against a new version. */
constexpr double toleratedBad = 0.02;
/** Answers that the old version is taken to have given besides, one of them bad. */
constexpr double unseenAnswers = 12;
/** With fewer answers of the old version on a route there is nothing to compare with. */
constexpr double fewestOldAnswers = 8;
/** As above while the old version gets no requests to compare with. */
constexpr double toleratedAlone = 0.15;
/** A new version may be this much worse than the old one before it counts as evidence. */
constexpr double toleratedFactor = 1.5;
/** Logarithm of the odds against an equally good version showing this much. */
constexpr double doubt = 12.0;
/** As above for the counts of one step, of which there are more and which begin anew. */
constexpr double stepDoubt = 24.0;
/** Answers on a route, in one step, before the route counts as tried. */
constexpr int routeAnswers = 3;
/** A route with less of the old version's answers than this part need not be tried. */
constexpr double smallRoute = 0.02;

/** Kullback-Leibler divergence of Bernoulli variables; the exponent of the Chernoff bound. */
double divergence(double seen, double expected)
{
    double result = 0;
    if (seen > 0)
        result += seen * std::log(seen / expected);
    if (seen < 1)
        result += (1 - seen) * std::log((1 - seen) / (1 - expected));
    return result;
}

bool worse(const AnswerCounts &fresh, const AnswerCounts &old, double odds, double tolerated)
{
    if (fresh.answers < 1)
        return false;
    const double oldBad = (old.bad + 1) / (old.answers + unseenAnswers);
    const double expected = std::min(0.95, std::max(tolerated, oldBad * toleratedFactor));
    const double seen = fresh.bad / fresh.answers;
    return seen > expected && fresh.answers * divergence(seen, expected) > odds;
}

void add(AnswerCounts &counts, bool bad)
{
    counts.answers += 1;
    counts.bad += bad ? 1 : 0;
}

void scale(AnswerCounts &counts, double factor)
{
    counts.answers *= factor;
    counts.bad *= factor;
}

} // namespace

void RolloutAnalysis::fade(Route &route, TimePoint now)
{
    if (route.fadedAt != TimePoint{}) {
        const std::chrono::duration<double> passed = now - route.fadedAt;
        const double factor = std::exp2(-passed / std::chrono::duration<double>(halfLife));
        scale(route.oldRecent, factor);
        scale(route.newRecent, factor);
    }
    route.fadedAt = now;
}

void RolloutAnalysis::recordResponse(VersionRole side, RouteIndex index, bool failed,
                                     Microseconds time, TimePoint now)
{
    Route &route = m_routes[index];
    fade(route, now);
    const auto taken = static_cast<double>(time.count());
    const bool slow = route.meanMicroseconds > 0 && taken > slowFactor * route.meanMicroseconds;
    const bool bad = failed || slow;
    if (side == VersionRole::New) {
        add(route.newTotal, bad);
        add(route.newRecent, bad);
        add(route.newStep, bad);
        ++route.newInStep;
        ++m_newInStep;
        return;
    }
    add(route.oldTotal, bad);
    add(route.oldRecent, bad);
    ++route.oldInStep;
    if (failed)
        return;
    if (route.meanMicroseconds == 0)
        route.meanMicroseconds = taken;
    route.meanMicroseconds += (taken - route.meanMicroseconds) * usualWeight;
}

std::optional<FaultEvidence> RolloutAnalysis::fault() const
{
    for (const auto &[index, route] : m_routes) {
        if (route.oldTotal.answers < fewestOldAnswers)
            continue;
        // Without answers of the old version beside it, trouble of all targets looks like a fault.
        const double tolerated = route.oldInStep > 0 ? toleratedBad : toleratedAlone;
        if (worse(route.newTotal, route.oldTotal, doubt, tolerated))
            return FaultEvidence{index, "all", route.newTotal, route.oldTotal};
        if (worse(route.newRecent, route.oldRecent, doubt, tolerated))
            return FaultEvidence{index, "recent", route.newRecent, route.oldRecent};
        if (worse(route.newStep, route.oldTotal, stepDoubt, tolerated))
            return FaultEvidence{index, "step", route.newStep, route.oldTotal};
    }
    return std::nullopt;
}

bool RolloutAnalysis::areRoutesCovered() const
{
    double all = 0;
    for (const auto &[index, route] : m_routes)
        all += route.oldInStep;
    return std::all_of(m_routes.begin(), m_routes.end(), [all](const auto &item) {
        const Route &route = item.second;
        return route.oldInStep < smallRoute * all || route.newInStep >= routeAnswers;
    });
}

void RolloutAnalysis::resetStep()
{
    m_newInStep = 0;
    for (auto &[index, route] : m_routes) {
        route.oldInStep = 0;
        route.newInStep = 0;
        route.newStep = {};
    }
}

} // namespace endivedock
