#pragma once

#include "endivedock/balancing/registered_target.h"
#include "endivedock/config/declarations.h"
#include "endivedock/rollout.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace endivedock {

/** The operators' order to roll a service out to another version. */
struct RolloutOrder
{
    ServiceId service;
    VersionId to;
    Milliseconds duration{0};
    /** The store's revision of the order; distinguishes the order from earlier ones. */
    Revision revision;
};

/** The state of an ordered rollout, as it is written to the store for the operators. */
struct RolloutVerdict
{
    ServiceId service;
    VersionId to;
    RolloutState state = RolloutState::Running;
    Revision revision;
};

/**
 * Determines which versions of one service may receive requests. Without a rollout, this is one
 * version: at first the version that most targets run, and that version for as long as any target
 * runs it. During a rollout, both the old and the ordered version receive their share. After a
 * rollout, the version that the verdict selects receives all requests.
 */
class VersionPolicy
{
public:
    /** Replaces the versions of the service's targets; @p versions has one entry per target. */
    void setTargets(std::span<const VersionId> versions);
    /** @param now  when the order was first read */
    void setOrder(const std::optional<RolloutOrder> &order, TimePoint now);
    void setVerdict(const std::optional<RolloutVerdict> &verdict);

    /**
     * @return the role of a version: Old without a rollout; nothing if targets of the version must
     *         receive no requests
     */
    std::optional<VersionRole> role(const VersionId &version) const;
    /** @return the order that has no final verdict yet, or nothing */
    const std::optional<RolloutOrder> &running() const { return m_running; }
    /** @return the version that receives requests without a rollout; nothing if there is none */
    const std::optional<VersionId> &current() const { return m_current; }

private:
    /** Derives the running rollout and the current version from targets, order and verdict. */
    void updateCurrent();

    std::map<VersionId, int> m_targetCounts;
    std::optional<RolloutOrder> m_order;
    std::optional<RolloutVerdict> m_verdict;
    std::optional<RolloutOrder> m_running;
    std::optional<VersionId> m_current;
    std::set<VersionId> m_rolledBackVersions;
};

} // namespace endivedock
