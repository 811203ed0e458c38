#pragma once

#include "endivedock/gateway/attempt_race.h"
#include "endivedock/gateway/attempt_runner-inl.h"

namespace endivedock {

namespace race_detail {

/** Added to the number of the first attempt, which makes one that no other attempt has. */
constexpr int hedgeNumberOffset = 128;

} // namespace race_detail

template <FrontEnd F, PlacementSource P>
Task<RaceResult> AttemptRace<F, P>::run(PlacementRequest request, PlacedTarget target)
{
    const TimePoint startedAt = SteadyClock().now();
    const Self self = this->shared_from_this();
    const TimePoint hedgeAt = startedAt + target.placement.hedgeAfter;
    m_request->cancel = [self] {
        self->cancel(self->m_first);
        self->cancel(self->m_hedge);
    };
    m_first.hasStarted = true;
    m_first.attempt.previousAttempts = m_request->triedTargets.size();
    if (!mayHedge(target)) {
        co_await runFirst(self, std::move(request), std::move(target));
    } else {
        startTask(m_executor, "attempt", runFirst(self, request, std::move(target)));
        while (!isDecided() && SteadyClock().now() < hedgeAt)
            co_await m_changed.wait(hedgeAt);
        if (isHedgeNeeded()) {
            m_hedge.hasStarted = true;
            startTask(m_executor, "hedge",
                      runHedge(self, makeHedgeRequest(std::move(request), startedAt)));
        }
        while (!isDecided())
            co_await m_changed.wait(TimePoint::max());
    }
    m_request->cancel = nullptr;
    co_return takeResult();
}

template <FrontEnd F, PlacementSource P>
bool AttemptRace<F, P>::mayHedge(const PlacedTarget &target) const
{
    const auto targets = static_cast<int>(m_request->triedTargets.size()) + 2;
    return target.placement.hedgeAfter > Milliseconds(0) && m_request->plan.isIdempotent &&
           m_request->isBodyBuffered && targets <= m_request->plan.maxAttempts;
}

template <FrontEnd F, PlacementSource P>
PlacementRequest AttemptRace<F, P>::makeHedgeRequest(PlacementRequest first,
                                                     TimePoint startedAt) const
{
    PlacementRequest result = std::move(first);
    const Milliseconds age = toMilliseconds(SteadyClock().now() - startedAt);
    result.attempt.number += race_detail::hedgeNumberOffset;
    result.isRetry = true;
    result.firstAttemptAge = age;
    result.remaining = toMilliseconds(m_request->plan.deadline - SteadyClock().now());
    result.excludedTargets.push_back(*m_first.target);
    result.connectedTargets = m_runner.connectedTargets();
    if (result.latencyObjective.count() > 0)
        result.latencyObjective = std::max(result.latencyObjective - age, Milliseconds(0));
    return result;
}

template <FrontEnd F, PlacementSource P>
bool AttemptRace<F, P>::isHedgeNeeded() const
{
    return m_first.target && !m_first.hasEnded && !m_first.attempt.hasResponse &&
           !m_session->isDisconnected();
}

template <FrontEnd F, PlacementSource P>
bool AttemptRace<F, P>::isDecided() const
{
    if (m_winner != nullptr)
        return m_winner->hasEnded;
    if (m_first.failure || m_hedge.failure)
        return true;
    return m_first.hasEnded && (!m_hedge.hasStarted || m_hedge.hasEnded);
}

template <FrontEnd F, PlacementSource P>
Task<> AttemptRace<F, P>::runFirst(Self self, PlacementRequest placed, PlacedTarget target)
{
    try {
        co_await exchange(self->m_first, std::move(placed), std::move(target));
    } catch (const InvariantError &) {
        throw;
    } catch (...) {
        self->m_first.failure = std::current_exception();
    }
    self->end(self->m_first);
}

template <FrontEnd F, PlacementSource P>
Task<> AttemptRace<F, P>::runHedge(Self self, PlacementRequest request)
{
    try {
        co_await placeAndRunHedge(std::move(request));
    } catch (const InvariantError &) {
        throw;
    } catch (...) {
        self->m_hedge.failure = std::current_exception();
    }
    self->end(self->m_hedge);
}

template <FrontEnd F, PlacementSource P>
Task<> AttemptRace<F, P>::placeAndRunHedge(PlacementRequest request)
{
    m_hedge.attempt.previousAttempts = request.excludedTargets.size();
    m_hedge.attempt.cancel = [this, id = request.attempt] { m_placements.abandon(id); };
    auto placed = co_await m_placements.place(request, m_request->plan.deadline);
    m_hedge.attempt.cancel = nullptr;
    if (m_hedge.attempt.isOvertaken && std::holds_alternative<Refusal>(placed))
        co_return;
    if (const auto *refusal = std::get_if<Refusal>(&placed)) {
        count("refused");
        m_log.info("Hedge refused",
                   {field("request", m_request->plan.callerRequestId), field("id", m_request->id),
                    field("service", m_request->plan.service),
                    field("reason", describe(refusal->reason).name),
                    field("after_ms", request.firstAttemptAge->count())});
        co_return;
    }
    co_await exchange(m_hedge, std::move(request), std::get<PlacedTarget>(std::move(placed)));
}

template <FrontEnd F, PlacementSource P>
Task<> AttemptRace<F, P>::exchange(Lane &lane, PlacementRequest placed, PlacedTarget target)
{
    AttemptReportGuard<P> guard(m_placements, {.attempt = placed.attempt,
                                               .service = placed.service,
                                               .grant = target.placement.grant,
                                               .target = target.placement.target,
                                               .incarnation = std::nullopt,
                                               .reportedInFlight = std::nullopt,
                                               .load = std::nullopt,
                                               .pause = std::nullopt});
    if (m_session->isDisconnected())
        throw CallerError("caller disconnected while its request waited for a target");
    if (lane.attempt.isOvertaken)
        co_return; // Nothing has been sent, and the placement is released unused.
    lane.target = target.placement.target;
    lane.startedAt = SteadyClock().now();
    lane.attempt.claimCaller = [this, &lane] { return claim(lane); };
    if (&lane == &m_hedge)
        logStart(placed);
    lane.result = co_await m_runner.run(m_session, m_request, std::move(target), guard.report(),
                                        lane.attempt);
    if (lane.attempt.isOvertaken) {
        lane.result.reset();
        m_metrics.observe("endivedock_hedged_work_seconds",
                          {{"service", m_request->plan.service.value()}},
                          microsecondsSince(lane.startedAt));
    } else if (lane.result->outcome == AttemptOutcome::Answered) {
        claim(lane);
    }
}

template <FrontEnd F, PlacementSource P>
void AttemptRace<F, P>::end(Lane &lane)
{
    lane.hasEnded = true;
    lane.attempt.claimCaller = nullptr;
    m_changed.deliver(true);
}

template <FrontEnd F, PlacementSource P>
bool AttemptRace<F, P>::claim(Lane &lane)
{
    if (m_winner == nullptr) {
        m_winner = &lane;
        Lane &other = &lane == &m_first ? m_hedge : m_first;
        if (other.hasStarted && !other.hasEnded) {
            other.attempt.isOvertaken = true;
            cancel(other);
        }
        if (m_hedge.target)
            logEnd(lane);
    }
    return m_winner == &lane;
}

template <FrontEnd F, PlacementSource P>
void AttemptRace<F, P>::cancel(Lane &lane)
{
    if (lane.attempt.cancel)
        lane.attempt.cancel();
}

template <FrontEnd F, PlacementSource P>
RaceResult AttemptRace<F, P>::takeResult()
{
    if (m_winner == nullptr) {
        for (Lane *lane : {&m_first, &m_hedge}) {
            if (!lane->failure)
                continue;
            // The caller has left, so nothing may run on.
            for (Lane *other : {&m_first, &m_hedge}) {
                other->attempt.isOvertaken = true;
                cancel(*other);
            }
            std::rethrow_exception(lane->failure);
        }
    } else if (m_winner->failure) {
        std::rethrow_exception(m_winner->failure);
    }
    RaceResult result;
    for (Lane *lane : {&m_first, &m_hedge}) {
        if (lane->target)
            result.targets.push_back(*lane->target);
        if (!lane->result || lane == m_winner)
            continue;
        if (runCertaintyOf(lane->result->outcome) == RunCertainty::MayHaveRun)
            result.certainty = RunCertainty::MayHaveRun;
        if (lane->result->response)
            result.errorResponse = std::move(lane->result->response);
        result.result.outcome = lane->result->outcome;
    }
    if (m_winner != nullptr)
        result.result = std::move(*m_winner->result);
    return result;
}

template <FrontEnd F, PlacementSource P>
void AttemptRace<F, P>::logStart(const PlacementRequest &request)
{
    count("started");
    m_log.info("Hedge started",
               {field("request", m_request->plan.callerRequestId), field("id", m_request->id),
                field("service", request.service), field("target", *m_hedge.target),
                field("slow_target", request.excludedTargets.back()),
                field("after_ms", request.firstAttemptAge->count()),
                field("left_ms", request.remaining.count())});
}

template <FrontEnd F, PlacementSource P>
void AttemptRace<F, P>::logEnd(const Lane &winner)
{
    const bool isWon = &winner == &m_hedge;
    count(isWon ? "won" : "lost");
    m_log.info(isWon ? "Hedge won" : "Hedge lost",
               {field("request", m_request->plan.callerRequestId), field("id", m_request->id),
                field("service", m_request->plan.service), field("target", *winner.target),
                field("took_ms", microsecondsSince(winner.startedAt).count() / 1000)});
}

template <FrontEnd F, PlacementSource P>
void AttemptRace<F, P>::count(std::string_view event)
{
    m_metrics.count("endivedock_hedges_total",
                    {{"service", m_request->plan.service.value()}, {"event", std::string(event)}});
}

} // namespace endivedock
