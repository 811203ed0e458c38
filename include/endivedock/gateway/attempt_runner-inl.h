#pragma once

#include "endivedock/gateway/attempt_runner.h"

#include <algorithm>
#include <span>

namespace endivedock {

namespace attempt_detail {

/** Responses up to this size are buffered completely before they are sent to the caller. */
constexpr std::size_t maxBufferedResponseBytes = 512 * 1024;
/**
 * Bodies up to this size fit into the socket buffers, so writing them before the response is read
 * cannot block.
 */
constexpr std::size_t maxInlineBodyBytes = 8 * 1024;
/** Largest number of targets whose malformed statements are logged, once for each target. */
constexpr std::size_t maxLoggedTargets = 1000;
/** Bounds of the memory that is reserved for one read of a response body. */
constexpr std::size_t minResponseReadBytes = 2048;
constexpr std::size_t maxResponseReadBytes = 32 * 1024;
/** Memory is reserved for buffers of responses from this size on. */
constexpr std::size_t minReservedResponseBytes = 16 * 1024;

/**
 * Makes room for the next read of a response, within the memory for callers.
 *
 * @return false if there is no memory; the response must then be streamed
 */
inline bool growResponse(const SessionPtr &session, std::vector<char> &body, MemoryHold &memory,
                         std::size_t readBytes)
{
    const std::size_t size = body.size() + readBytes;
    if (size > body.capacity()) {
        const std::size_t capacity = std::max(size, 2 * body.capacity());
        if (capacity > minReservedResponseBytes) {
            if (!memory)
                memory = CallerSession::openResponseHold(session);
            if (!memory.tryHold(Bytes(capacity)) && !body.empty())
                return false;
        }
        body.reserve(capacity);
    }
    body.resize(size);
    return true;
}

} // namespace attempt_detail

template <FrontEnd F, PlacementSource P>
RequestHead AttemptRunner<F, P>::makeTargetRequestHead(const GatewayRequest &request,
                                                       const AttemptContext &attempt) const
{
    RequestHead head = request.head;
    head.path = request.plan.targetPath;
    m_frontEnd.setRequestFields(head.fields, request.plan, attempt, request.id);
    return head;
}

template <FrontEnd F, PlacementSource P>
Task<AttemptResult> AttemptRunner<F, P>::run(SessionPtr session, RequestPtr request,
                                             PlacedTarget target, AttemptReport &report,
                                             RunningAttempt &attempt)
{
    const TimePoint startedAt = SteadyClock().now();
    AttemptResult result;
    bool hasStartedSending = false;
    RunCount runCount(m_usage, *request);
    std::string cause;
    // Callers that do not read their responses keep connections to targets in use.
    if (m_pool.isFull())
        session->memory().takeBackOne(LoserChoice::Overdue);
    try {
        const TimePoint connectBy =
                std::min(request->plan.deadline, startedAt + target.connectTimeout);
        PooledConnection connection = co_await m_pool.acquire(
                target.address, target.connectionLimit, target.maxIdleTime, connectBy);
        if (session->isDisconnected())
            throw CallerError("caller disconnected before its request was sent to a target");
        if (attempt.isOvertaken) {
            recordUnneeded(*session, attempt, report, startedAt);
            co_return result;
        }
        connection->setDeadline(request->plan.deadline);
        TargetConnection *active = &*connection;
        attempt.cancel = [active] { active->close(); }; // Signals the cancellation.
        hasStartedSending = true;
        const AttemptContext context{target.placement.target, attempt.previousAttempts,
                                     toMilliseconds(request->plan.deadline - SteadyClock().now())};
        co_await sendRequest(session, request, context, *connection);
        runCount.setSent();
        result = co_await receiveResponse(session, request, *connection, report, attempt);
        if (result.outcome == AttemptOutcome::Shed || result.outcome == AttemptOutcome::Draining)
            runCount.setNotRun();
    } catch (const TargetConnectError &error) {
        result.outcome = AttemptOutcome::ConnectFailed;
        cause = error.what();
    } catch (const TargetError &error) {
        result.outcome =
                error.isTimeout() ? AttemptOutcome::TimedOut : AttemptOutcome::ConnectionLost;
        report.isUnanswered = true;
        cause = error.what();
    } catch (...) {
        attempt.cancel = nullptr;
        throw;
    }
    attempt.cancel = nullptr;
    if (report.isTargetDraining)
        m_pool.closeIdle(target.address);
    if (session->isDisconnected()) {
        report.outcome = AttemptOutcome::Abandoned;
        report.isUnanswered = hasStartedSending && result.outcome != AttemptOutcome::Answered;
        throw CallerError(hasStartedSending
                                  ? "caller disconnected while a target ran its request"
                                  : "caller disconnected while the host connected to a target");
    }
    if (attempt.isOvertaken) {
        recordUnneeded(*session, attempt, report, startedAt);
        co_return result;
    }
    report.outcome = result.outcome;
    report.time = microsecondsSince(startedAt);
    request->targetTime += report.time;
    m_log.info(
            "Attempt ended",
            {field("request", request->plan.callerRequestId), field("id", request->id),
             field("target", target.placement.target), field("service", request->plan.service),
             field("content", request->fingerprint), field("outcome", name(result.outcome)),
             field("attempt", attempt.previousAttempts + 1),
             field("took_ms", report.time.count() / 1000),
             field("config", request->plan.configuration),
             field("left_ms", toMilliseconds(request->plan.deadline - SteadyClock().now()).count()),
             field("running", report.load ? report.load->running.value() : -1),
             field("waiting", report.load ? report.load->waiting.value() : -1),
             field("slowdown", report.load ? report.load->slowdown : -1),
             field("cause", cause.empty() ? "-" : cause)});
    co_return result;
}

template <FrontEnd F, PlacementSource P>
void AttemptRunner<F, P>::recordUnneeded(const CallerSession &session,
                                         const RunningAttempt &attempt, AttemptReport &report,
                                         TimePoint startedAt) const
{
    report.outcome = attempt.isOvertaken && !session.isDisconnected() ? AttemptOutcome::Overtaken
                                                                      : AttemptOutcome::Abandoned;
    report.isUnanswered = false;
    report.time = microsecondsSince(startedAt);
}

template <FrontEnd F, PlacementSource P>
Task<> AttemptRunner<F, P>::sendRequest(SessionPtr session, RequestPtr request,
                                        AttemptContext attempt, TargetConnection &connection)
{
    try {
        co_await connection.sendHead(makeTargetRequestHead(*request, attempt));
        if (request->isBodyBuffered &&
            request->bufferedBody.size() > attempt_detail::maxInlineBodyBytes) {
            // The target may respond before it has read the whole body, so the response is read
            // while the body is sent.
            const std::span<const char> body(request->bufferedBody);
            connection.sendBodyInBackground(std::shared_ptr<const void>(request), body);
            co_return;
        }
        if (!request->bufferedBody.empty())
            co_await connection.sendBody(request->bufferedBody);
        std::uint64_t bytesSent = request->bufferedBody.size();
        CallerConnection &caller = session->caller();
        const std::span<char> piece =
                request->isBodyBuffered ? std::span<char>{} : caller.scratchBuffer();
        while (!request->isBodyBuffered && !caller.isBodyComplete()) {
            if (!request->isBodyStreamed)
                request->memory.awaitCaller(request->plan.deadline);
            request->isBodyStreamed = true;
            const std::size_t count = co_await caller.readBody(piece);
            request->memory.recordProgress(Bytes(count));
            bytesSent += count;
            if (bytesSent > request->plan.maxBodySize.value())
                throw CallerRequestError(RefusalReason::BodyTooLarge, RunCertainty::MayHaveRun);
            if (count > 0)
                co_await connection.sendBody({piece.data(), count});
        }
        request->memory.stopAwaiting();
        co_await connection.endRequest();
    } catch (const TargetError &error) {
        if (error.isTimeout())
            throw;
        // The target may have responded and closed without reading the whole body; that response
        // is still read.
    }
}

template <FrontEnd F, PlacementSource P>
Task<AttemptResult> AttemptRunner<F, P>::receiveResponse(SessionPtr session, RequestPtr request,
                                                         TargetConnection &target,
                                                         AttemptReport &report,
                                                         RunningAttempt &attempt)
{
    ResponseHead head;
    std::vector<char> body;
    MemoryHold memory;
    TargetReport targetReport;
    while (true) {
        head = co_await target.readHead();
        body.clear();
        const ResponseOrigin origin = m_frontEnd.origin(head, request->plan, request->id);
        if (origin == ResponseOrigin::Unusable)
            throw TargetError("target sent a response that does not belong to the request", false);
        if (origin == ResponseOrigin::ThisRequest) {
            targetReport = readTargetReport(head, report);
            attempt.hasResponse = true;
        }
        while (body.size() <= attempt_detail::maxBufferedResponseBytes) {
            const std::size_t filled = body.size();
            const std::size_t readBytes = std::clamp<std::size_t>(
                    head.framing.length.value_or(0), attempt_detail::minResponseReadBytes,
                    attempt_detail::maxResponseReadBytes);
            if (!attempt_detail::growResponse(session, body, memory, readBytes))
                break;
            const std::size_t count =
                    co_await target.readBody({body.data() + filled, body.size() - filled});
            body.resize(filled + count);
            if (count == 0)
                break;
        }
        if (origin == ResponseOrigin::ThisRequest)
            break;
        m_metrics.count("endivedock_foreign_answers_total",
                        {{"service", request->plan.service.value()}});
    }
    AttemptResult result;
    if (targetReport.notRun) {
        // A response that is cut off proves nothing.
        while (!target.isResponseComplete())
            co_await target.readBody(body);
        result.outcome = targetReport.isDraining ? AttemptOutcome::Draining : AttemptOutcome::Shed;
        co_return result;
    }
    std::erase_if(head.fields,
                  [this](const HeaderField &field) { return m_frontEnd.isInternal(field); });
    m_frontEnd.setResponseFields(head.fields, request->id);
    // Not a temporary of the call below: g++ 12 destroys such aggregates twice.
    BufferedResponse response{std::move(head), std::move(body), std::move(memory)};
    if (!target.isResponseComplete())
        co_return co_await streamResponse(session, request, target, report, attempt,
                                          std::move(response));
    result.outcome = outcomeForStatus(response.head.status);
    result.response = std::move(response);
    co_return result;
}

template <FrontEnd F, PlacementSource P>
TargetReport AttemptRunner<F, P>::readTargetReport(const ResponseHead &head, AttemptReport &report)
{
    TargetReport result = m_frontEnd.extractTargetReport(head);
    report.incarnation = result.incarnation;
    report.reportedInFlight = result.inFlight;
    report.load = result.load;
    report.misdirected = result.misdirected;
    // A misdirected response comes from another target.
    report.isTargetDraining = result.isDraining && !result.misdirected;
    if (report.isTargetDraining)
        m_placements.recordDraining(report);
    if (!result.misdirected)
        report.pause = result.pause;
    if (result.hasMalformedPause && m_malformedPauses.size() < attempt_detail::maxLoggedTargets &&
        m_malformedPauses.insert(report.target).second)
        m_log.warning("Target stated a malformed pause",
                      {field("target", report.target), field("service", report.service)});
    return result;
}

template <FrontEnd F, PlacementSource P>
Task<AttemptResult>
AttemptRunner<F, P>::streamResponse(SessionPtr session, RequestPtr request,
                                    TargetConnection &target, AttemptReport &report,
                                    RunningAttempt &attempt, BufferedResponse start)
{
    if (attempt.isOvertaken || (attempt.claimCaller && !attempt.claimCaller()))
        co_return AttemptResult{};
    CallerConnection &caller = session->caller();
    co_await session->awaitResponseTurn(request->sequenceNumber);
    session->decideKeepAlive(*request);
    request->responseOptions.sendBy = request->plan.deadline;
    try {
        std::vector<char> &piece = start.body;
        std::size_t count = piece.size();
        start.memory.awaitCaller(request->plan.deadline);
        co_await caller.sendHead(start.head, request->responseOptions);
        while (count > 0) {
            co_await caller.sendBody({piece.data(), count});
            start.memory.recordProgress(Bytes(count));
            count = co_await target.readBody(piece);
        }
        co_await caller.endResponse();
    } catch (const TargetError &error) {
        // The caller already has the start of the response and must see that the rest is missing.
        report.outcome = AttemptOutcome::ConnectionLost;
        report.isUnanswered = true;
        m_metrics.count("endivedock_answers_cut_off_total",
                        {{"service", request->plan.service.value()}});
        throw CallerError(std::string("target failed while its response was streamed: ") +
                          error.what());
    }
    AttemptResult result;
    result.outcome = outcomeForStatus(start.head.status);
    result.isStreamed = true;
    co_return result;
}

} // namespace endivedock
