#include "endivedock/rollout/rollout_controller.h"

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

template <RollbackCause cause>
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
    struct RolledBack : msm::front::state<>
    {
    };

    using initial_state = Canary; // NOLINT(readability-identifier-naming)
    using FaultBack = TakeBack<RollbackCause::Fault>;
    using LateBack = TakeBack<RollbackCause::Deadline>;
    using OrderBack = TakeBack<RollbackCause::Operator>;

    struct transition_table // NOLINT(readability-identifier-naming)
        : boost::mpl::vector<Row<Canary, Advance, Ramping, RaiseShare, none>,
                             Row<Ramping, Advance, Ramping, RaiseShare, NextIsPartial>,
                             Row<Ramping, Advance, Settling, RaiseShare, NextIsFull>,
                             Row<Settling, Advance, Done, none, none>,
                             Row<Canary, FaultFound, RolledBack, FaultBack, none>,
                             Row<Ramping, FaultFound, RolledBack, FaultBack, none>,
                             Row<Settling, FaultFound, RolledBack, FaultBack, none>,
                             Row<Canary, DeadlinePassed, RolledBack, LateBack, none>,
                             Row<Ramping, DeadlinePassed, RolledBack, LateBack, none>,
                             Row<Settling, DeadlinePassed, RolledBack, LateBack, none>,
                             Row<Canary, Ordered, RolledBack, OrderBack, none>,
                             Row<Ramping, Ordered, RolledBack, OrderBack, none>,
                             Row<Settling, Ordered, RolledBack, OrderBack, none>>
    {
    };

    /** An event that comes after the end changes nothing. */
    template <typename Fsm, typename Event>
    void no_transition(const Event &, Fsm &, int)
    {
    }

    int step = 0;
    RollbackCause cause = RollbackCause::None;
};

} // namespace

std::string_view name(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Canary:
        return "canary";
    case RolloutPhase::Ramping:
        return "ramping";
    case RolloutPhase::Settling:
        return "settling";
    case RolloutPhase::Done:
        return "done";
    case RolloutPhase::RolledBack:
        return "taken-back";
    }
    return "unknown";
}

std::string_view name(RollbackCause cause)
{
    switch (cause) {
    case RollbackCause::None:
        return "none";
    case RollbackCause::Fault:
        return "fault";
    case RollbackCause::Deadline:
        return "deadline";
    case RollbackCause::Operator:
        return "operator";
    }
    return "unknown";
}

RollbackCause parseRollbackCause(std::string_view text)
{
    for (const auto cause : {RollbackCause::Fault, RollbackCause::Deadline}) {
        if (text == name(cause))
            return cause;
    }
    return RollbackCause::Operator;
}

RolloutProgress mergeProgress(const RolloutProgress &a, const RolloutProgress &b)
{
    if (a.number != b.number)
        return a;
    RolloutProgress result = a.phase >= b.phase ? a : b;
    result.step = std::max(a.step, b.step);
    return result;
}

Share trafficShareOf(const RolloutProgress &progress)
{
    if (progress.phase == RolloutPhase::RolledBack)
        return Share(0);
    if (progress.phase == RolloutPhase::Done)
        return Share(1);
    return Share(shares[static_cast<std::size_t>(std::clamp(progress.step, 0, lastStep))]);
}

struct RolloutController::Machine : msm::back::state_machine<MoveDefinition>
{
    RolloutPhase phase() const { return static_cast<RolloutPhase>(current_state()[0]); }
};

RolloutController::RolloutController(const RolloutProgress &progress, RolloutTimes times)
    : m_machine(std::make_unique<Machine>())
    , m_number(progress.number)
    , m_times(times)
    , m_stepStartedAt(times.startedAt)
{
    m_machine->start();
    merge(progress);
}

RolloutController::~RolloutController() = default;
RolloutController::RolloutController(RolloutController &&) noexcept = default;
RolloutController &RolloutController::operator=(RolloutController &&) noexcept = default;

bool RolloutController::hasEnded() const
{
    return m_machine->phase() >= RolloutPhase::Done;
}

Share RolloutController::share() const
{
    return trafficShareOf(progress());
}

RolloutProgress RolloutController::progress() const
{
    return {m_number, m_machine->phase(), m_machine->step, m_machine->cause};
}

void RolloutController::rollBack()
{
    m_machine->process_event(Ordered{});
}

void RolloutController::merge(const RolloutProgress &other)
{
    if (other.number != m_number || hasEnded())
        return;
    if (other.phase == RolloutPhase::RolledBack) {
        m_machine->process_event(Ordered{});
        m_machine->cause = other.cause;
        return;
    }
    while (!hasEnded() && (m_machine->step < other.step || m_machine->phase() < other.phase))
        m_machine->process_event(Advance{});
}

bool RolloutController::recordResponse(VersionRole side, RouteIndex route, bool failed,
                                       Microseconds time, TimePoint now)
{
    if (hasEnded())
        return false;
    m_evidence.recordResponse(side, route, failed, time, now);
    m_fault = side == VersionRole::New ? m_evidence.fault() : std::nullopt;
    if (m_fault) {
        m_machine->process_event(FaultFound{});
        return true;
    }
    return advanceIfReady(now);
}

bool RolloutController::tick(TimePoint now)
{
    if (hasEnded())
        return false;
    if (now >= m_times.deadline) {
        m_machine->process_event(DeadlinePassed{});
        return true;
    }
    return advanceIfReady(now);
}

bool RolloutController::advanceIfReady(TimePoint now)
{
    const Duration planned = (m_times.deadline - m_times.startedAt) / planParts;
    const Duration inStep = now - m_stepStartedAt;
    const bool late = inStep >= planned;
    const int needed = late ? answersWhenLate : answersForStep;
    if (inStep < planned / fastestStep || m_evidence.newAnswersInStep() < needed)
        return false;
    if (!late && !m_evidence.areRoutesCovered())
        return false;
    const std::chrono::duration<double> whole = m_times.deadline - m_times.startedAt;
    const bool settling = m_machine->phase() == RolloutPhase::Settling;
    if (settling && now - m_times.startedAt < whole * settledAfter)
        return false;
    m_machine->process_event(Advance{});
    m_evidence.resetStep();
    m_stepStartedAt = now;
    return true;
}

} // namespace endivedock
