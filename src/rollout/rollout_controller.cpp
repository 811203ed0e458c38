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
 * Share of the new version in each step. A fault that appears only under load appears in the last
 * steps. The last steps are short and the earlier shares are small, so that the new version has
 * received at most a tenth of all requests when such a fault is detected.
 */
constexpr std::array<double, 6> shareSteps{0.02, 0.05, 0.08, 0.30, 0.60, 1.0};
constexpr int lastStep = static_cast<int>(shareSteps.size()) - 1;
/** Responses of the new version that are needed before its share rises. */
constexpr int minResponsesPerStep = 60;
/** Replaces minResponsesPerStep once the planned time of the step has passed. */
constexpr int minResponsesWhenLate = 10;
/** The minimum time of a step is its planned time divided by this number. */
constexpr int minStepTimeDivisor = 2;
/** Part of the time to the deadline that must pass before Done, so that late faults are seen. */
constexpr double minCompletionRatio = 0.75;
/**
 * Equal parts of the time to the deadline: one for each step, one for settling and draining, and
 * one as a reserve.
 */
constexpr int plannedParts = static_cast<int>(shareSteps.size()) + 2;

struct Advance
{
};
struct FaultDetected
{
};
struct DeadlinePassed
{
};
struct RollbackOrdered
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
struct RollBack
{
    template <typename Event, typename Fsm, typename Source, typename Target>
    void operator()(const Event &, Fsm &fsm, Source &, Target &)
    {
        fsm.cause = cause;
    }
};

/** Guard: the next step is the last one. */
struct NextStepIsLast
{
    template <typename Event, typename Fsm, typename Source, typename Target>
    bool operator()(const Event &, Fsm &fsm, Source &, Target &)
    {
        return fsm.step + 1 >= lastStep;
    }
};

struct NextStepIsNotLast
{
    template <typename Event, typename Fsm, typename Source, typename Target>
    bool operator()(const Event &, Fsm &fsm, Source &, Target &)
    {
        return fsm.step + 1 < lastStep;
    }
};

/** States and transitions of a rollout. Done and RolledBack are final. */
struct RolloutDefinition : msm::front::state_machine_def<RolloutDefinition>
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
    struct Draining : msm::front::state<>
    {
    };
    struct Done : msm::front::state<>
    {
    };
    struct RolledBack : msm::front::state<>
    {
    };

    using initial_state = Canary; // NOLINT(readability-identifier-naming)
    using RollBackOnFault = RollBack<RollbackCause::Fault>;
    using RollBackOnDeadline = RollBack<RollbackCause::Deadline>;
    using RollBackOnOrder = RollBack<RollbackCause::Operator>;

    struct transition_table // NOLINT(readability-identifier-naming)
        : boost::mpl::vector<Row<Canary, Advance, Ramping, RaiseShare, none>,
                             Row<Ramping, Advance, Ramping, RaiseShare, NextStepIsNotLast>,
                             Row<Ramping, Advance, Settling, RaiseShare, NextStepIsLast>,
                             Row<Settling, Advance, Draining, none, none>,
                             Row<Draining, Advance, Done, none, none>,
                             Row<Canary, FaultDetected, RolledBack, RollBackOnFault, none>,
                             Row<Ramping, FaultDetected, RolledBack, RollBackOnFault, none>,
                             Row<Settling, FaultDetected, RolledBack, RollBackOnFault, none>,
                             Row<Draining, FaultDetected, RolledBack, RollBackOnFault, none>,
                             Row<Canary, DeadlinePassed, RolledBack, RollBackOnDeadline, none>,
                             Row<Ramping, DeadlinePassed, RolledBack, RollBackOnDeadline, none>,
                             Row<Settling, DeadlinePassed, RolledBack, RollBackOnDeadline, none>,
                             Row<Draining, DeadlinePassed, RolledBack, RollBackOnDeadline, none>,
                             Row<Canary, RollbackOrdered, RolledBack, RollBackOnOrder, none>,
                             Row<Ramping, RollbackOrdered, RolledBack, RollBackOnOrder, none>,
                             Row<Settling, RollbackOrdered, RolledBack, RollBackOnOrder, none>,
                             Row<Draining, RollbackOrdered, RolledBack, RollBackOnOrder, none>>
    {
    };

    /** Called by Boost.MSM for an event without a transition: ignores events after the end. */
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
    case RolloutPhase::Draining:
        return "draining";
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
    return Share(shareSteps[static_cast<std::size_t>(std::clamp(progress.step, 0, lastStep))]);
}

bool hasOldVersionOverflow(const RolloutProgress &progress)
{
    return progress.phase == RolloutPhase::Settling;
}

struct RolloutController::Machine : msm::back::state_machine<RolloutDefinition>
{
    /** Relies on the states having the same order in transition_table as in RolloutPhase. */
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
    m_machine->process_event(RollbackOrdered{});
}

void RolloutController::merge(const RolloutProgress &other)
{
    if (other.number != m_number || hasEnded())
        return;
    if (other.phase == RolloutPhase::RolledBack) {
        m_machine->process_event(RollbackOrdered{});
        m_machine->cause = other.cause;
        return;
    }
    while (!hasEnded() && (m_machine->step < other.step || m_machine->phase() < other.phase))
        m_machine->process_event(Advance{});
}

bool RolloutController::recordResponse(VersionRole role, RouteIndex route, bool failed,
                                       Microseconds time, TimePoint now)
{
    if (hasEnded())
        return false;
    m_analysis.recordResponse(role, route, failed, time, now);
    m_fault = role == VersionRole::New ? m_analysis.fault() : std::nullopt;
    if (m_fault) {
        m_machine->process_event(FaultDetected{});
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
    const Duration plannedStepTime = (m_times.deadline - m_times.startedAt) / plannedParts;
    const Duration timeInStep = now - m_stepStartedAt;
    const bool isLate = timeInStep >= plannedStepTime;
    const int minResponses = isLate ? minResponsesWhenLate : minResponsesPerStep;
    if (timeInStep < plannedStepTime / minStepTimeDivisor)
        return false;
    const RolloutPhase phase = m_machine->phase();
    const bool hasEvidence = m_analysis.newVersionResponsesInStep() >= minResponses &&
                             (isLate || m_analysis.areRoutesCovered());
    if (phase != RolloutPhase::Draining && !hasEvidence)
        return false;
    // A fault is found with fewer requests at the present share than at the next one.
    if (!isLate && m_analysis.isSuspicious())
        return false;
    const std::chrono::duration<double> totalTime = m_times.deadline - m_times.startedAt;
    const std::chrono::duration<double> elapsed = now - m_times.startedAt;
    if (phase == RolloutPhase::Settling &&
        (!m_hasCapacity || elapsed < totalTime * minCompletionRatio - plannedStepTime))
        return false;
    if (phase == RolloutPhase::Draining && elapsed < totalTime * minCompletionRatio)
        return false;
    m_machine->process_event(Advance{});
    m_analysis.resetStep();
    m_stepStartedAt = now;
    return true;
}

} // namespace endivedock
