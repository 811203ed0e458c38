#pragma once

#include "endivedock/gateway/attempt_policy.h"
#include "endivedock/gateway/caller_session.h"
#include "endivedock/gateway/front_end.h"
#include "endivedock/gateway/placement_source.h"
#include "endivedock/gateway/target_connection_pool.h"
#include "endivedock/telemetry.h"
#include "endivedock/usage.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace endivedock {

/** A complete response of a target, buffered until it is due on the caller connection. */
struct BufferedResponse
{
    ResponseHead head;
    std::vector<char> body;
    /** The memory of a body that is not small. */
    MemoryHold memory;
};

/** How an attempt ended, with the target's response if there is one. */
struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::Abandoned;
    /** The response has been streamed to the caller. */
    bool isStreamed = false;
    /** A complete response that may be sent to the caller; absent if there is none. */
    std::optional<BufferedResponse> response;
};

/** One attempt while it runs, as seen by the task of its request. */
struct RunningAttempt
{
    /** Targets to which the request was sent before. */
    std::size_t previousAttempts = 0;
    /** Ends the attempt's wait for a placement or for its target; empty between waits. */
    std::function<void()> cancel;
    /** Another attempt of the request is answered, so this one must end. */
    bool isOvertaken = false;
    /** The header of the target's response has arrived. */
    bool hasResponse = false;
    /**
     * Asked before any of a streamed response is sent to the caller: whether this attempt is the
     * one that responds. Empty if the request has no other attempt.
     */
    std::function<bool()> claimCaller;
};

/** @return the time that has passed since @p start */
inline Microseconds microsecondsSince(TimePoint start)
{
    return std::chrono::duration_cast<Microseconds>(SteadyClock().now() - start);
}

/** Reports an attempt on scope exit, so that its placement is released on every path. */
template <PlacementSource P>
class AttemptReportGuard
{
public:
    AttemptReportGuard(P &placements, AttemptReport report)
        : m_placements(placements)
        , m_report(std::move(report))
    {
    }
    ~AttemptReportGuard() { m_placements.report(std::move(m_report)); }
    AttemptReportGuard(const AttemptReportGuard &) = delete;

    AttemptReport &report() { return m_report; }

private:
    P &m_placements;
    AttemptReport m_report;
};

/**
 * Counts a request for its team on scope exit, if a target may have begun to run it; once for all
 * its attempts.
 */
class RunCount
{
public:
    /** @param usage  null if requests are not counted */
    RunCount(OwnUsage *usage, GatewayRequest &request)
        : m_usage(usage)
        , m_request(request)
    {
    }
    ~RunCount()
    {
        if (m_usage == nullptr || !m_sentAt || m_request.isUsageCounted ||
            m_request.plan.team.value().empty())
            return;
        m_request.isUsageCounted = true;
        m_usage->record(m_request.plan.team, *m_sentAt);
    }
    RunCount(const RunCount &) = delete;

    /** The request has been sent, so that a target may run it. */
    void setSent() { m_sentAt = Milliseconds(unixTimeMilliseconds()); }
    /** The target stated that it did not run the request. */
    void setNotRun() { m_sentAt.reset(); }

private:
    OwnUsage *m_usage;
    GatewayRequest &m_request;
    std::optional<Milliseconds> m_sentAt;
};

/**
 * Runs single attempts: exchanges a request with one target over a connection of the host's pool.
 * Responses are buffered; one that is too long is streamed to the caller.
 *
 * @tparam F  HTTP conventions with callers and targets
 * @tparam P  source of placements
 */
template <FrontEnd F, PlacementSource P>
class AttemptRunner
{
public:
    /**
     * The references must outlive this object.
     *
     * @param usage  counts the requests that targets began to run; null if they are not counted
     */
    AttemptRunner(asio::any_io_executor executor, Metrics &metrics, const F &frontEnd,
                  P &placements, OwnUsage *usage)
        : m_metrics(metrics)
        , m_frontEnd(frontEnd)
        , m_placements(placements)
        , m_usage(usage)
        , m_pool(std::move(executor))
    {
    }

    /**
     * Sends the request to @p target and reads the response.
     *
     * @param report   receives how the attempt ended
     * @param attempt  must outlive the returned task
     * @throws CallerError if the caller disconnected, or the exchange with it failed
     * @throws CallerRequestError if the rest of a streamed body is malformed or too long
     */
    Task<AttemptResult> run(SessionPtr session, RequestPtr request, PlacedTarget target,
                            AttemptReport &report, RunningAttempt &attempt);
    /** @return see TargetConnectionPool::connectedTargets() */
    std::vector<AddressHash> connectedTargets() const { return m_pool.connectedTargets(); }
    /** See TargetConnectionPool::setLimit(). */
    void limitTargetConnections(Connections limit) { m_pool.setLimit(limit); }

private:
    RequestHead makeTargetRequestHead(const GatewayRequest &request,
                                      const AttemptContext &attempt) const;
    Task<> sendRequest(SessionPtr session, RequestPtr request, AttemptContext attempt,
                       TargetConnection &connection);
    Task<AttemptResult> receiveResponse(SessionPtr session, RequestPtr request,
                                        TargetConnection &target, AttemptReport &report,
                                        RunningAttempt &attempt);
    Task<AttemptResult> streamResponse(SessionPtr session, RequestPtr request,
                                       TargetConnection &target, AttemptReport &report,
                                       RunningAttempt &attempt, BufferedResponse start);
    /** Records how an attempt ended whose response is not needed any more. */
    void recordUnneeded(const CallerSession &session, const RunningAttempt &attempt,
                        AttemptReport &report, TimePoint startedAt) const;
    /** Takes what the target states about itself in the header of its response. */
    TargetReport readTargetReport(const ResponseHead &head, AttemptReport &report);

    Metrics &m_metrics;
    const F &m_frontEnd;
    P &m_placements;
    OwnUsage *m_usage;
    TargetConnectionPool m_pool;
    /** Targets whose malformed pauses have been logged. */
    std::set<TargetId> m_malformedPauses;
    Log m_log{"gateway"};
};

} // namespace endivedock
