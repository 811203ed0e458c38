#pragma once

#include "endivedock/balancing/registered_target.h"
#include "endivedock/config/declarations.h"
#include "endivedock/rollout.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace endivedock {

/** The operators' order to move a service to another version. */
struct RolloutOrder
{
    ServiceId service;
    VersionId to;
    Milliseconds duration{0};
    /** The store's revision of the order, which tells it from earlier ones. */
    Revision revision;
};

/** How an ordered move stands, as written for the operators. */
struct RolloutVerdict
{
    ServiceId service;
    VersionId to;
    RolloutState state = RolloutState::Running;
    Revision revision;
};

/**
 * Which versions of one service may get requests. Without a move it is the one that most targets
 * have; during a move the old and the ordered one, each with its share; after it the one that the
 * verdict leaves.
 */
class VersionPolicy
{
public:
    void setTargets(std::span<const VersionId> versions);
    /** @param now  when the order was seen */
    void setOrder(const std::optional<RolloutOrder> &order, TimePoint now);
    void setVerdict(const std::optional<RolloutVerdict> &verdict);

    /** @return the side of a target during an order, or nothing if it must get no request */
    std::optional<VersionRole> role(const VersionId &version) const;
    /** @return the order that has no verdict yet, or nothing */
    const std::optional<RolloutOrder> &running() const { return m_running; }
    const std::optional<VersionId> &current() const { return m_current; }

private:
    void decide();

    std::map<VersionId, int> m_counts;
    std::optional<RolloutOrder> m_order;
    std::optional<RolloutVerdict> m_verdict;
    std::optional<RolloutOrder> m_running;
    std::optional<VersionId> m_current;
    /** Versions that were taken back. */
    std::set<VersionId> m_bad;
};

} // namespace endivedock
