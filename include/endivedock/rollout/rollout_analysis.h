#pragma once

#include "endivedock/core.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>

namespace endivedock {

/** Position of a route rule in its template; requests that match none have their own position. */
using RouteIndex = Quantity<struct RouteIndexTag, int>;

/** Which of the two versions of a move gave an answer. */
enum class VersionRole { Old, New };

/** Counts of answers; fractions, since older ones fade. */
struct AnswerCounts
{
    double answers = 0;
    double bad = 0;
};

/** What shows that a new version is worse than the old one. */
struct FaultEvidence
{
    RouteIndex route;
    /** Over which answers: all, the recent ones, or those of the present step. */
    std::string_view window;
    AnswerCounts newVersion;
    AnswerCounts oldVersion;
};

/**
 * Compares the answers of a new version with those of the old one, for each route, under the same
 * load. An answer is bad if it failed or took several times the old version's usual time on that
 * route. Counts since the start find a fault from the beginning; counts that fade within seconds
 * find one that comes later, and those of the present step one that comes with more load.
 */
class RolloutAnalysis
{
public:
    void recordResponse(VersionRole side, RouteIndex route, bool failed, Microseconds time,
                        TimePoint now);

    /** @return a route on which the new version is worse beyond reasonable doubt, if there is one
     */
    std::optional<FaultEvidence> fault() const;
    /** @return answers of the new version since resetStep() */
    int newAnswersInStep() const { return m_newInStep; }
    /** @return whether every route that the old version serves has been tried on the new one */
    bool areRoutesCovered() const;
    void resetStep();

private:
    struct Route
    {
        double meanMicroseconds = 0;
        AnswerCounts oldTotal;
        AnswerCounts newTotal;
        AnswerCounts oldRecent;
        AnswerCounts newRecent;
        AnswerCounts newStep;
        int oldInStep = 0;
        int newInStep = 0;
        TimePoint fadedAt{};
    };

    static void fade(Route &route, TimePoint now);

    std::map<RouteIndex, Route> m_routes;
    int m_newInStep = 0;
};

} // namespace endivedock
