#pragma once

#include "endivedock/core.h"
#include "endivedock/rollout/rollout_analysis.h"

#include <memory>
#include <string_view>

namespace endivedock {

/** How far a move is. The order is that of merging: a verdict outweighs what is undecided. */
enum class RolloutPhase { Canary, Ramping, Settling, Done, RolledBack };

/** @return a stable name; static lifetime */
std::string_view name(RolloutPhase phase);

/** Why a move was taken back. */
enum class RollbackCause { None, Fault, Deadline, Operator };

std::string_view name(RollbackCause cause);
/** @return the cause with this name; Operator for any other, since only operators write others */
RollbackCause parseRollbackCause(std::string_view text);

/** What is handed to another host of a move; two of them merge into the later one. */
struct RolloutProgress
{
    std::uint64_t number = 0;
    RolloutPhase phase = RolloutPhase::Canary;
    /** Position among the shares. */
    int step = 0;
    RollbackCause cause = RollbackCause::None;

    bool operator==(const RolloutProgress &) const = default;
};

/** @return what both tell together; taken back never turns into anything else */
RolloutProgress mergeProgress(const RolloutProgress &a, const RolloutProgress &b);

/** @return the part of the requests that the new version gets at this point */
Share trafficShareOf(const RolloutProgress &progress);

/** Times of a move on the monotonic clock. */
struct RolloutTimes
{
    TimePoint startedAt;
    TimePoint deadline;
};

/**
 * One version move, a Boost.MSM state machine fed with evidence and time. The share of the new
 * version rises in steps on enough good answers; any fault, or the deadline, takes the move back.
 */
class RolloutController
{
public:
    RolloutController(const RolloutProgress &progress, RolloutTimes times);
    ~RolloutController();
    RolloutController(RolloutController &&) noexcept;
    RolloutController &operator=(RolloutController &&) noexcept;

    /** Takes one answer into account; @return true if the phase or the share changed */
    bool recordResponse(VersionRole side, RouteIndex route, bool failed, Microseconds time,
                        TimePoint now);
    /** Lets time pass; @return true if the phase or the share changed */
    bool tick(TimePoint now);
    /** The operator's order; has no effect on a move that has ended. */
    void rollBack();
    /** Takes what another host knows of the same move. */
    void merge(const RolloutProgress &other);

    /** Part of the requests for the new version now. */
    Share share() const;
    RolloutProgress progress() const;
    bool hasEnded() const;
    /** What took the move back here; absent if it was something else, or another host. */
    const std::optional<FaultEvidence> &fault() const { return m_fault; }

private:
    struct Machine;
    bool advanceIfReady(TimePoint now);

    std::unique_ptr<Machine> m_machine;
    std::uint64_t m_number;
    RolloutTimes m_times;
    RolloutAnalysis m_evidence;
    std::optional<FaultEvidence> m_fault;
    TimePoint m_stepStartedAt;
};

} // namespace endivedock
