#pragma once

#include "endivedock/core.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>

namespace endivedock {

/** Index of a route rule in its service template; -1 for requests that match no rule. */
using RouteIndex = Quantity<struct RouteIndexTag, int>;

/** The two versions of a service during a rollout. */
enum class VersionRole { Old, New };

/** Counts of responses. Not integers, because the weight of older responses decays. */
struct ResponseCounts
{
    /** All responses, good and bad. */
    double responses = 0;
    /** Responses that RolloutAnalysis rates as bad. */
    double badResponses = 0;
};

/** Evidence that a new version is worse than the old one. */
struct FaultEvidence
{
    RouteIndex route;
    /** Which responses were compared: "all", "recent", or "step" for those of the current step. */
    std::string_view window;
    ResponseCounts newVersion;
    ResponseCounts oldVersion;
    /** Whether the old version got enough requests in the current step to be compared in it. */
    bool isOldCompared = false;
};

/**
 * Compares the responses of a new version with those of the old one, for each route and under the
 * same load. A response is bad if it failed or took several times the old version's mean time on
 * that route. The new version's responses of a step are compared with the old version's of that
 * step, because the share of the new version differs between steps: a short stall of all targets
 * affects more of its responses in a later step. Three counts are compared. The count since the
 * start of the rollout detects a fault that exists from the beginning. The count that decays within
 * seconds detects a fault that appears later. The count of the current step detects a fault that
 * appears with more load.
 */
class RolloutAnalysis
{
public:
    void recordResponse(VersionRole role, RouteIndex route, bool failed, Microseconds time,
                        TimePoint now);

    /** @return evidence for a route on which the new version is significantly worse, if any */
    std::optional<FaultEvidence> fault() const;
    /** @return whether there is evidence on some route, but less than fault() requires */
    bool isSuspicious() const;
    /** @return number of responses of the new version since the last resetStep() */
    int newVersionResponsesInStep() const { return m_newInStep; }
    /**
     * @return whether the new version has responded on each route that the old version serves in
     * the current step, except on routes with few requests
     */
    bool areRoutesCovered() const;
    /** Starts the counts of a new step. */
    void resetStep();

private:
    struct Route
    {
        double meanMicroseconds = 0;
        ResponseCounts oldTotal;
        ResponseCounts newTotal;
        ResponseCounts oldRecent;
        ResponseCounts newRecent;
        ResponseCounts oldStep;
        ResponseCounts newStep;
        /** Bad responses that were expected of the new version in the steps before this one. */
        double expectedBadOfEarlierSteps = 0;
        TimePoint decayedAt{};
    };

    std::optional<FaultEvidence> findEvidence(double thresholdFactor) const;

    static void decay(Route &route, TimePoint now);
    static bool isOldCompared(const Route &route);
    /** @return the bad share that is expected of the new version in the current step */
    static double expectedShareInStep(const Route &route);

    std::map<RouteIndex, Route> m_routes;
    int m_newInStep = 0;
};

} // namespace endivedock
