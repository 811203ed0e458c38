#pragma once

#include "endivedock/balancing/registered_target.h"
#include "endivedock/config/declarations.h"
#include "endivedock/rollout.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace endivedock {

/** An order of the operators to roll out another version of a service. */
struct RolloutOrder
{
    ServiceId service;
    VersionId to;
    Milliseconds duration{0};
    /** The store's revision of the order; distinguishes the order from earlier ones. */
    Revision revision;
};

/** The state of an ordered rollout, as it is written to the store for the operators. */
struct RolloutStatus
{
    ServiceId service;
    VersionId to;
    RolloutState state = RolloutState::Running;
    Revision revision;
};

/**
 * Determines which versions of one service may receive requests. Without a rollout, one version
 * receives all requests: initially the version that most targets run, and this version is kept for
 * as long as any target runs it. During a rollout, both the old and the ordered version receive
 * their share. After a rollout, the ordered version receives all requests if the rollout is done,
 * and the old version if the rollout was rolled back.
 */
class VersionPolicy
{
public:
    /** Replaces the versions of the service's targets; @p versions has one entry per target. */
    void setTargets(std::span<const VersionId> versions);
    /** @param now  time at which the order was read; not used */
    void setOrder(const std::optional<RolloutOrder> &order, TimePoint now);
    void setStatus(const std::optional<RolloutStatus> &status);

    /**
     * @return the role of a version: Old without a rollout; nothing if targets of the version must
     *         receive no requests
     */
    std::optional<VersionRole> role(const VersionId &version) const;
    /** @return the order whose rollout has not ended yet; nothing if there is none */
    const std::optional<RolloutOrder> &running() const { return m_running; }
    /** @return the version that receives requests without a rollout; nothing if there is none */
    const std::optional<VersionId> &current() const { return m_current; }

private:
    /**
     * Derives the running rollout and the current version from targets, order and rollout status.
     */
    void updateCurrent();

    std::map<VersionId, int> m_targetCounts;
    std::optional<RolloutOrder> m_order;
    std::optional<RolloutStatus> m_status;
    std::optional<RolloutOrder> m_running;
    std::optional<VersionId> m_current;
    std::set<VersionId> m_rolledBackVersions;
};

} // namespace endivedock
