#pragma once

#include "endivedock/gateway/attempt_runner.h"

#include <array>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace endivedock {

/** How the attempts of one race ended. */
struct RaceResult
{
    /** The result of the winner, or else of the attempt that failed last. */
    AttemptResult result;
    /** An error response of the other attempt, if the one in result has none. */
    std::optional<BufferedResponse> errorResponse;
    /** Whether any of the attempts may have run. */
    RunCertainty certainty = RunCertainty::NotRun;
    /** Targets to which the request was sent, one for each attempt. */
    std::vector<TargetId> targets;
};

/**
 * Runs the first attempt at a request, and a second one at another target, a hedge, if the first
 * one has no response when the placing host says that a hedge is worth its work. The first complete
 * response wins, or the first one of which a part is sent to the caller. The other attempt is
 * cancelled at once, which closes its connection.
 *
 * Each attempt runs in a task of its own and reports its end to its placement source. The request's
 * task waits for them, and alone decides. A race outlives the request's task until both attempts
 * have ended.
 */
template <FrontEnd F, PlacementSource P>
class AttemptRace : public std::enable_shared_from_this<AttemptRace<F, P>>
{
public:
    /** The references must outlive the race. */
    AttemptRace(const asio::any_io_executor &executor, AttemptRunner<F, P> &runner, P &placements,
                Metrics &metrics, SessionPtr session, RequestPtr request)
        : m_executor(executor)
        , m_runner(runner)
        , m_placements(placements)
        , m_metrics(metrics)
        , m_session(std::move(session))
        , m_request(std::move(request))
        , m_changed(executor)
    {
    }

    /**
     * @param request  what the first attempt was placed for
     * @param target   its target, and when to ask for a hedge
     * @throws CallerError as AttemptRunner::run()
     */
    Task<RaceResult> run(PlacementRequest request, PlacedTarget target);

private:
    using Self = std::shared_ptr<AttemptRace>;

    /** One of the two attempts. */
    struct Lane
    {
        RunningAttempt attempt;
        /** Absent until a target was granted. */
        std::optional<TargetId> target;
        TimePoint startedAt{};
        bool hasStarted = false;
        bool hasEnded = false;
        std::optional<AttemptResult> result;
        std::exception_ptr failure;
    };

    Task<> runFirst(Self self, PlacementRequest placed, PlacedTarget target);
    Task<> runHedge(Self self, PlacementRequest request);
    Task<> placeAndRunHedge(PlacementRequest request);
    Task<> exchange(Lane &lane, PlacementRequest placed, PlacedTarget target);
    void end(Lane &lane);
    /** @return whether @p lane may send its response; if so, the other attempt is cancelled */
    bool claim(Lane &lane);
    void cancel(Lane &lane);
    /** @return whether the first attempt has neither ended nor begun to respond */
    bool isHedgeNeeded() const;
    /** @return whether the request may be sent twice, and to one more target */
    bool mayHedge(const PlacedTarget &target) const;
    /** @return the request for the hedge of an attempt that began at @p startedAt */
    PlacementRequest makeHedgeRequest(PlacementRequest first, TimePoint startedAt) const;
    bool isDecided() const;
    RaceResult takeResult();
    void logStart(const PlacementRequest &request);
    void logEnd(const Lane &winner);
    void count(std::string_view event);

    asio::any_io_executor m_executor;
    AttemptRunner<F, P> &m_runner;
    P &m_placements;
    Metrics &m_metrics;
    SessionPtr m_session;
    RequestPtr m_request;
    /** Wakes the request's task after a change of a lane. */
    OneShotChannel<bool> m_changed;
    Lane m_first;
    Lane m_hedge;
    Lane *m_winner = nullptr;
    Log m_log{"gateway"};
};

} // namespace endivedock
