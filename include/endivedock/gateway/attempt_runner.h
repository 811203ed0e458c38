#pragma once

#include "endivedock/gateway/attempt_policy.h"
#include "endivedock/gateway/caller_session.h"
#include "endivedock/gateway/front_end.h"
#include "endivedock/gateway/placement_source.h"
#include "endivedock/gateway/target_connection_pool.h"
#include "endivedock/telemetry.h"

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
    /** The references must outlive this object. */
    AttemptRunner(asio::any_io_executor executor, Metrics &metrics, const F &frontEnd,
                  P &placements)
        : m_metrics(metrics)
        , m_frontEnd(frontEnd)
        , m_placements(placements)
        , m_pool(std::move(executor))
    {
    }

    /**
     * Sends the request to @p target and reads the response.
     *
     * @param report  receives how the attempt ended
     * @throws CallerError if the caller disconnected, or the exchange with it failed
     * @throws CallerRequestError if the rest of a streamed body is malformed or too long
     */
    Task<AttemptResult> run(SessionPtr session, RequestPtr request, PlacedTarget target,
                            AttemptReport &report);
    /** @return see TargetConnectionPool::connectedTargets() */
    std::vector<AddressHash> connectedTargets() const { return m_pool.connectedTargets(); }
    /** See TargetConnectionPool::setLimit(). */
    void limitTargetConnections(Connections limit) { m_pool.setLimit(limit); }

private:
    RequestHead makeTargetRequestHead(const GatewayRequest &request, const TargetId &target) const;
    Task<> sendRequest(SessionPtr session, RequestPtr request, TargetId target,
                       TargetConnection &connection);
    Task<AttemptResult> receiveResponse(SessionPtr session, RequestPtr request,
                                        TargetConnection &target, AttemptReport &report);
    Task<AttemptResult> streamResponse(SessionPtr session, RequestPtr request,
                                       TargetConnection &target, AttemptReport &report,
                                       BufferedResponse start);
    /** Takes what the target states about itself in the header of its response. */
    TargetReport readTargetReport(const ResponseHead &head, AttemptReport &report);

    Metrics &m_metrics;
    const F &m_frontEnd;
    P &m_placements;
    TargetConnectionPool m_pool;
    /** Targets whose malformed pauses have been logged. */
    std::set<TargetId> m_malformedPauses;
    Log m_log{"gateway"};
};

} // namespace endivedock
