#pragma once

#include "endivedock/core.h"
#include "endivedock/rollout/rollout_analysis.h"

#include <memory>
#include <string_view>

namespace endivedock {

/**
 * Phase of a rollout. In Canary, the new version gets its smallest share of the requests; in
 * Ramping, the share rises; in Settling, the new version gets all requests for which it has room,
 * and the old version the rest; in Draining, the old version gets no requests, so that it can be
 * stopped. Until then, the new version can be rolled back. When the progress of two hosts is
 * merged, the later enumerator wins, so that an end state overrides all others and RolledBack
 * overrides Done.
 */
enum class RolloutPhase { Canary, Ramping, Settling, Draining, Done, RolledBack };

/** @return the stable external name of the phase; static lifetime */
std::string_view name(RolloutPhase phase);

/** Why a rollout was rolled back. */
enum class RollbackCause { None, Fault, Deadline, Operator };

std::string_view name(RollbackCause cause);
/** @return the cause with this name; Operator for any other text, which only operators write */
RollbackCause parseRollbackCause(std::string_view text);

/** Progress of a rollout as exchanged between hosts; see mergeProgress(). */
struct RolloutProgress
{
    /** Number of the rollout, from Rollout::number. */
    std::uint64_t number = 0;
    RolloutPhase phase = RolloutPhase::Canary;
    /** Index of the current step, which determines the share of the new version. */
    int step = 0;
    RollbackCause cause = RollbackCause::None;

    bool operator==(const RolloutProgress &) const = default;
};

/**
 * @return the merged progress of one rollout: the later phase, where RolledBack is final, and the
 *         larger step; @p a if the progresses belong to rollouts with different numbers
 */
RolloutProgress mergeProgress(const RolloutProgress &a, const RolloutProgress &b);

/** @return the share of the requests that the new version gets */
Share trafficShareOf(const RolloutProgress &progress);

/** @return whether the old version takes requests for which the new version has no room */
bool hasOldVersionOverflow(const RolloutProgress &progress);

/** Start and deadline of a rollout on the monotonic clock. */
struct RolloutTimes
{
    TimePoint startedAt;
    TimePoint deadline;
};

/**
 * Controls one rollout with a Boost.MSM state machine, driven by responses and time. The share of
 * the new version rises in steps after enough responses without a fault. A detected fault or the
 * deadline rolls the service back to the old version. Not thread-safe.
 */
class RolloutController
{
public:
    RolloutController(const RolloutProgress &progress, RolloutTimes times);
    ~RolloutController();
    RolloutController(RolloutController &&) noexcept;
    RolloutController &operator=(RolloutController &&) noexcept;

    /**
     * Evaluates one response of the old or new version.
     *
     * @return whether the phase or the share changed
     */
    bool recordResponse(VersionRole role, RouteIndex route, bool failed, Microseconds time,
                        TimePoint now);
    /**
     * Checks the deadline and the time of the current step.
     *
     * @return whether the phase or the share changed
     */
    bool tick(TimePoint now);
    /**
     * @param hasCapacity  whether the targets of the new version can carry the load of the service
     *                     alone; while they cannot, the rollout does not leave Settling
     */
    void setNewVersionCapacity(bool hasCapacity) { m_hasCapacity = hasCapacity; }
    bool hasNewVersionCapacity() const { return m_hasCapacity; }
    /** Rolls back by an operator's order; has no effect after the rollout has ended. */
    void rollBack();
    /** Merges the progress of the same rollout at another host; ignores other rollouts. */
    void merge(const RolloutProgress &other);

    /** @return the current share of the requests that the new version gets */
    Share share() const;
    RolloutProgress progress() const;
    bool hasEnded() const;
    /** @return the fault that this host detected; absent if the rollback had another cause */
    const std::optional<FaultEvidence> &fault() const { return m_fault; }

private:
    struct Machine;
    /**
     * Goes to the next step or phase if enough time has passed and enough responses have arrived.
     *
     * @return whether the phase or the share changed
     */
    bool advanceIfReady(TimePoint now);

    std::unique_ptr<Machine> m_machine;
    std::uint64_t m_number;
    RolloutTimes m_times;
    RolloutAnalysis m_analysis;
    bool m_hasCapacity = true;
    std::optional<FaultEvidence> m_fault;
    TimePoint m_stepStartedAt;
};

} // namespace endivedock
