#pragma once

#include "endivedock/config.h"
#include "endivedock/core.h"
#include "endivedock/directory/listing.h"
#include "endivedock/placement/messages.h"
#include "endivedock/selection.h"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace endivedock {

/**
 * Picks targets while the placing host of a service cannot be reached. Picks only targets that a
 * recent placement reported as warm, and allows few requests in flight at each, because all other
 * hosts may be using the same targets without a placing host.
 */
class FallbackPicker
{
public:
    /** Records whether the placing host reported the target as warm. */
    void recordPlacement(const TargetId &target, bool warm, TimePoint now);
    /** Excludes a target that failed or is cold, until a placement reports it as warm again. */
    void markNotWarm(const TargetId &target);

    /**
     * Picks a target for one request. If the caller uses the target, it must call started(), and
     * finished() when the attempt has ended.
     *
     * @param listed  the platform's target list
     * @return the chosen target; absent if no warm target has capacity
     */
    std::optional<TargetId> pick(const Service &service, std::span<const ListedTarget> listed,
                                 std::span<const TargetId> excludedTargets, TimePoint now,
                                 Random &random);
    void started(const TargetId &target);
    void finished(const TargetId &target);
    /**
     * Records a successful response to any attempt, whether a placing host or this picker chose the
     * target. The response extends the time for which a warm target is treated as warm, so that
     * pick() finds targets as long as no placing host can be reached. A response with a new
     * incarnation marks the target as not warm.
     */
    void recordResponse(const TargetId &target, std::optional<Incarnation> incarnation,
                        TimePoint now);

private:
    struct KnownTarget
    {
        /** When the target was last known to be warm; TimePoint{} if it is not warm. */
        TimePoint warmAt{};
        Slots inFlight{0};
        std::optional<Incarnation> incarnation;
    };

    std::unordered_map<TargetId, KnownTarget> m_knownTargets;
    LeastOutstanding m_policy;
};

} // namespace endivedock
