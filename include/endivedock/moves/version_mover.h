#pragma once

#include "endivedock/core.h"
#include "endivedock/moves/evidence.h"

#include <memory>
#include <string_view>

namespace endivedock {

/** How far a move is. The order is that of merging: a verdict outweighs what is undecided. */
enum class MovePhase { Canary, Ramping, Settling, Done, TakenBack };

/** @return a stable name; static lifetime */
std::string_view name(MovePhase phase);

/** Why a move was taken back. */
enum class TakeBackCause { None, Fault, Deadline, Operator };

std::string_view name(TakeBackCause cause);
/** @return the cause with this name; Operator for any other, since only operators write others */
TakeBackCause parseTakeBackCause(std::string_view text);

/** What is handed to another host of a move; two of them merge into the later one. */
struct MoveProgress
{
    std::uint64_t number = 0;
    MovePhase phase = MovePhase::Canary;
    /** Position among the shares. */
    int step = 0;
    TakeBackCause cause = TakeBackCause::None;

    bool operator==(const MoveProgress &) const = default;
};

/** @return what both tell together; taken back never turns into anything else */
MoveProgress mergeProgress(const MoveProgress &a, const MoveProgress &b);

/** @return the part of the requests that the new version gets at this point */
Share shareOf(const MoveProgress &progress);

/** Times of a move on the monotonic clock. */
struct MoveTimes
{
    TimePoint startedAt;
    TimePoint deadline;
};

/**
 * One version move, a Boost.MSM state machine fed with evidence and time. The share of the new
 * version rises in steps on enough good answers; any fault, or the deadline, takes the move back.
 */
class VersionMover
{
public:
    VersionMover(const MoveProgress &progress, MoveTimes times);
    ~VersionMover();
    VersionMover(VersionMover &&) noexcept;
    VersionMover &operator=(VersionMover &&) noexcept;

    /** Takes one answer into account; @return true if the phase or the share changed */
    bool answered(MoveSide side, RouteIndex route, bool failed, Microseconds time, TimePoint now);
    /** Lets time pass; @return true if the phase or the share changed */
    bool tick(TimePoint now);
    /** The operator's order; has no effect on a move that has ended. */
    void takeBack();
    /** Takes what another host knows of the same move. */
    void merge(const MoveProgress &other);

    /** Part of the requests for the new version now. */
    Share share() const;
    MoveProgress progress() const;
    bool ended() const;
    /** What took the move back here; absent if it was something else, or another host. */
    const std::optional<FaultEvidence> &fault() const { return m_fault; }

private:
    struct Machine;
    bool advanceIfReady(TimePoint now);

    std::unique_ptr<Machine> m_machine;
    std::uint64_t m_number;
    MoveTimes m_times;
    MoveEvidence m_evidence;
    std::optional<FaultEvidence> m_fault;
    TimePoint m_stepStartedAt;
};

} // namespace endivedock
