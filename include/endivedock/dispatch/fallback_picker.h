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
 * Picks targets on this host's own while the host that places a service cannot be reached. Uses
 * only targets that a placement has lately called warm, and few requests on each, since all hosts
 * may be doing the same.
 */
class FallbackPicker
{
public:
    /** Takes note of a placement from the placing host. */
    void recordPlacement(const TargetId &target, bool warm, TimePoint now);
    /** Forgets a target that showed a sign of coldness or failure. */
    void markNotWarm(const TargetId &target);

    /**
     * @param listed  the platform's list
     * @return a target to use, or nothing
     */
    std::optional<TargetId> pick(const Service &service, std::span<const ListedTarget> listed,
                                 std::span<const TargetId> excludedTargets, TimePoint now,
                                 Random &random);
    void started(const TargetId &target);
    void finished(const TargetId &target);
    /**
     * Takes note of a good answer of any attempt. Answers keep a warm target known as warm, so that
     * the stopgap lasts as long as no host can place; a new life is distrusted.
     */
    void recordResponse(const TargetId &target, std::optional<Incarnation> incarnation,
                        TimePoint now);

private:
    struct Known
    {
        TimePoint warmAt{};
        Slots inFlight{0};
        std::optional<Incarnation> incarnation;
    };

    std::unordered_map<TargetId, Known> m_known;
    LeastOutstanding m_policy;
};

} // namespace endivedock
