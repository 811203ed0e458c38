#include "endivedock/moves/version_mover.h"

#include <algorithm>
#include <array>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace endivedock {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

namespace {

/**
 * A fault that shows only under load shows in the last steps, which are short; what the steps
 * before have sent leaves room for them within a tenth of all requests.
 */
constexpr std::array<double, 6> shares{0.02, 0.05, 0.08, 0.30, 0.60, 1.0};
constexpr int lastStep = static_cast<int>(shares.size()) - 1;
/** Good answers of the new version before its share rises. */
constexpr int answersForStep = 60;
/** Answers that are enough when the plan's time for the step has passed. */
constexpr int answersWhenLate = 10;
/** A step takes at least the plan's time for it divided by this. */
constexpr int fastestStep = 2;
/** A move is done no earlier than after this part of its time, so that late faults are seen. */
constexpr double settledAfter = 0.75;
/** The steps share the time to the deadline with one part of settling and one of reserve. */
constexpr int planParts = static_cast<int>(shares.size()) + 2;

struct Advance
{
};
struct FaultFound
{
};
struct DeadlinePassed
{
};
struct Ordered
{
};

/** Raises the share by one step. */
struct RaiseShare
{
    template <typename Event, typename Fsm, typename Source, typename Target>
    void operator()(const Event &, Fsm &fsm, Source &, Target &)
    {
        fsm.step = std::min(fsm.step + 1, lastStep);
    }
};

template <TakeBackCause cause>
struct TakeBack
{
    template <typename Event, typename Fsm, typename Source, typename Target>
    void operator()(const Event &, Fsm &fsm, Source &, Target &)
    {
        fsm.cause = cause;
    }
};

/** Whether the next step is the last one. */
struct NextIsFull
{
    template <typename Event, typename Fsm, typename Source, typename Target>
    bool operator()(const Event &, Fsm &fsm, Source &, Target &)
    {
        return fsm.step + 1 >= lastStep;
    }
};

struct NextIsPartial
{
    template <typename Event, typename Fsm, typename Source, typename Target>
    bool operator()(const Event &, Fsm &fsm, Source &, Target &)
    {
        return fsm.step + 1 < lastStep;
    }
};

/** The states and transitions; the two ends have no way out. */
struct MoveDefinition : msm::front::state_machine_def<MoveDefinition>
{
    struct Canary : msm::front::state<>
    {
    };
    struct Ramping : msm::front::state<>
    {
    };
    struct Settling : msm::front::state<>
    {
    };
    struct Done : msm::front::state<>
    {
    };
    struct TakenBack : msm::front::state<>
    {
    };

    using initial_state = Canary; // NOLINT(readability-identifier-naming)
    using FaultBack = TakeBack<TakeBackCause::Fault>;
    using LateBack = TakeBack<TakeBackCause::Deadline>;
    using OrderBack = TakeBack<TakeBackCause::Operator>;

    struct transition_table // NOLINT(readability-identifier-naming)
        : boost::mpl::vector<Row<Canary, Advance, Ramping, RaiseShare, none>,
                             Row<Ramping, Advance, Ramping, RaiseShare, NextIsPartial>,
                             Row<Ramping, Advance, Settling, RaiseShare, NextIsFull>,
                             Row<Settling, Advance, Done, none, none>,
                             Row<Canary, FaultFound, TakenBack, FaultBack, none>,
                             Row<Ramping, FaultFound, TakenBack, FaultBack, none>,
                             Row<Settling, FaultFound, TakenBack, FaultBack, none>,
                             Row<Canary, DeadlinePassed, TakenBack, LateBack, none>,
                             Row<Ramping, DeadlinePassed, TakenBack, LateBack, none>,
                             Row<Settling, DeadlinePassed, TakenBack, LateBack, none>,
                             Row<Canary, Ordered, TakenBack, OrderBack, none>,
                             Row<Ramping, Ordered, TakenBack, OrderBack, none>,
                             Row<Settling, Ordered, TakenBack, OrderBack, none>>
    {
    };

    /** An event that comes after the end changes nothing. */
    template <typename Fsm, typename Event>
    void no_transition(const Event &, Fsm &, int)
    {
    }

    int step = 0;
    TakeBackCause cause = TakeBackCause::None;
};

} // namespace

std::string_view name(MovePhase phase)
{
    switch (phase) {
    case MovePhase::Canary:
        return "canary";
    case MovePhase::Ramping:
        return "ramping";
    case MovePhase::Settling:
        return "settling";
    case MovePhase::Done:
        return "done";
    case MovePhase::TakenBack:
        return "taken-back";
    }
    return "unknown";
}

std::string_view name(TakeBackCause cause)
{
    switch (cause) {
    case TakeBackCause::None:
        return "none";
    case TakeBackCause::Fault:
        return "fault";
    case TakeBackCause::Deadline:
        return "deadline";
    case TakeBackCause::Operator:
        return "operator";
    }
    return "unknown";
}

TakeBackCause parseTakeBackCause(std::string_view text)
{
    for (const auto cause : {TakeBackCause::Fault, TakeBackCause::Deadline}) {
        if (text == name(cause))
            return cause;
    }
    return TakeBackCause::Operator;
}

MoveProgress mergeProgress(const MoveProgress &a, const MoveProgress &b)
{
    if (a.number != b.number)
        return a;
    MoveProgress result = a.phase >= b.phase ? a : b;
    result.step = std::max(a.step, b.step);
    return result;
}

Share shareOf(const MoveProgress &progress)
{
    if (progress.phase == MovePhase::TakenBack)
        return Share(0);
    if (progress.phase == MovePhase::Done)
        return Share(1);
    return Share(shares[static_cast<std::size_t>(std::clamp(progress.step, 0, lastStep))]);
}

struct VersionMover::Machine : msm::back::state_machine<MoveDefinition>
{
    MovePhase phase() const { return static_cast<MovePhase>(current_state()[0]); }
};

VersionMover::VersionMover(const MoveProgress &progress, MoveTimes times)
    : m_machine(std::make_unique<Machine>())
    , m_number(progress.number)
    , m_times(times)
    , m_stepStartedAt(times.startedAt)
{
    m_machine->start();
    merge(progress);
}

VersionMover::~VersionMover() = default;
VersionMover::VersionMover(VersionMover &&) noexcept = default;
VersionMover &VersionMover::operator=(VersionMover &&) noexcept = default;

bool VersionMover::ended() const
{
    return m_machine->phase() >= MovePhase::Done;
}

Share VersionMover::share() const
{
    return shareOf(progress());
}

MoveProgress VersionMover::progress() const
{
    return {m_number, m_machine->phase(), m_machine->step, m_machine->cause};
}

void VersionMover::takeBack()
{
    m_machine->process_event(Ordered{});
}

void VersionMover::merge(const MoveProgress &other)
{
    if (other.number != m_number || ended())
        return;
    if (other.phase == MovePhase::TakenBack) {
        m_machine->process_event(Ordered{});
        m_machine->cause = other.cause;
        return;
    }
    while (!ended() && (m_machine->step < other.step || m_machine->phase() < other.phase))
        m_machine->process_event(Advance{});
}

bool VersionMover::answered(MoveSide side, RouteIndex route, bool failed, Microseconds time,
                            TimePoint now)
{
    if (ended())
        return false;
    m_evidence.answered(side, route, failed, time, now);
    m_fault = side == MoveSide::New ? m_evidence.fault() : std::nullopt;
    if (m_fault) {
        m_machine->process_event(FaultFound{});
        return true;
    }
    return advanceIfReady(now);
}

bool VersionMover::tick(TimePoint now)
{
    if (ended())
        return false;
    if (now >= m_times.deadline) {
        m_machine->process_event(DeadlinePassed{});
        return true;
    }
    return advanceIfReady(now);
}

bool VersionMover::advanceIfReady(TimePoint now)
{
    const Duration planned = (m_times.deadline - m_times.startedAt) / planParts;
    const Duration inStep = now - m_stepStartedAt;
    const bool late = inStep >= planned;
    const int needed = late ? answersWhenLate : answersForStep;
    if (inStep < planned / fastestStep || m_evidence.newAnswersInStep() < needed)
        return false;
    if (!late && !m_evidence.routesCovered())
        return false;
    const std::chrono::duration<double> whole = m_times.deadline - m_times.startedAt;
    const bool settling = m_machine->phase() == MovePhase::Settling;
    if (settling && now - m_times.startedAt < whole * settledAfter)
        return false;
    m_machine->process_event(Advance{});
    m_evidence.resetStep();
    m_stepStartedAt = now;
    return true;
}

} // namespace endivedock
