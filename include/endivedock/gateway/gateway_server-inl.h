#pragma once

#include "endivedock/gateway/attempt_race-inl.h"
#include "endivedock/gateway/gateway_server.h"
#include "endivedock/gateway/problem.h"

#include <algorithm>

namespace endivedock {

namespace gateway_detail {

/** Largest number of requests of one connection that run at the same time. */
constexpr std::size_t maxPipelinedRequests = 16;
/**
 * After the last response on a connection, what the caller still sends is discarded until the
 * caller closes its side or sends nothing for this long. A connection that is closed with unread
 * data is reset, and the reset can take the response away from the caller.
 */
constexpr Seconds lingerTimeout{2};
/** Longest time for which data is discarded, however steadily the caller sends. */
constexpr Seconds maxLingerTime{30};
/** Shortest idle timeout of a caller connection on which a response is due. */
constexpr Milliseconds minResponseWaitTimeout{60'000};
/** Delay before the next connection is accepted after a failure to accept. */
constexpr Milliseconds acceptRetryDelay{10};
/** Responses up to this size fit into the memory that a connection counts for anyway. */
constexpr std::size_t smallResponseBytes = 16 * 1024;
/** Time for the first request on a connection that was accepted at the end of a planned stop. */
constexpr Milliseconds stoppingIdleTimeout{500};

} // namespace gateway_detail

template <FrontEnd F, PlacementSource P, RunGuard R>
GatewayServer<F, P, R>::GatewayServer(asio::any_io_executor executor, const Address &listen,
                                      GatewayContext context, F frontEnd, P &placements,
                                      R &runGuard)
    : m_executor(executor)
    , m_acceptor(executor, tcpEndpoint(listen), true)
    , m_context(context)
    , m_frontEnd(std::move(frontEnd))
    , m_placements(placements)
    , m_runGuard(runGuard)
    , m_limits(admissionLimits(m_context.machine))
    , m_memory(executor, m_limits.budget, m_context.metrics)
    , m_attempts(executor, m_context.metrics, m_frontEnd, placements, m_context.usage)
    , m_lastArrival(SteadyClock().now())
{
    m_attempts.limitTargetConnections(m_limits.targets);
    limitSocketBuffers();
    startTask(m_executor, "gateway-accept", accept());
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Address GatewayServer<F, P, R>::localAddress() const
{
    const auto endpoint = m_acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

template <FrontEnd F, PlacementSource P, RunGuard R>
void GatewayServer<F, P, R>::disableKeepAlive()
{
    m_shutdown.isKeepAliveDisabled = true;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
void GatewayServer<F, P, R>::stopAccepting()
{
    m_shutdown.isKeepAliveDisabled = true;
    m_shutdown.isStopping = true;
    for (auto *session : m_sessions) {
        session->closeIfIdle();
        session->notifyChange();
    }
    acceptBacklog();
    boost::system::error_code ignored; // close() fails only on a closed acceptor.
    m_acceptor.close(ignored);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
void GatewayServer<F, P, R>::acceptBacklog()
{
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(m_executor);
        m_acceptor.accept(socket, error);
        if (!error)
            startTask(m_executor, "caller", serve(makeSession(std::move(socket))));
    }
}

template <FrontEnd F, PlacementSource P, RunGuard R>
SessionPtr GatewayServer<F, P, R>::makeSession(asio::ip::tcp::socket socket)
{
    return std::make_shared<CallerSession>(std::move(socket), m_executor, m_shutdown, m_memory);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
void GatewayServer<F, P, R>::limitSocketBuffers()
{
    const auto buffer = socketBufferSize(m_limits, m_sessions.size());
    if (!buffer || buffer == m_socketBuffer)
        return;
    m_socketBuffer = buffer;
    const int size = static_cast<int>(buffer->value());
    // Accepted connections have the sizes of the listening socket. Without them, they are larger.
    boost::system::error_code ignored;
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(size), ignored);
    m_acceptor.set_option(asio::socket_base::send_buffer_size(size), ignored);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
bool GatewayServer<F, P, R>::makeRoomForConnection()
{
    CallerSession *const idlest = CallerSession::longestIdle(m_sessions);
    std::string_view closed = "none";
    if (idlest != nullptr) {
        idlest->disconnect();
        closed = "idle";
    } else if (m_memory.takeBackOne(LoserChoice::OverdueOrLargest)) {
        closed = "overdue";
    }
    m_context.metrics.count("endivedock_callers_shed_total", {{"closed", std::string(closed)}});
    if (const std::uint64_t events = m_roomRate.record(SteadyClock().now()))
        m_log.warning("Connections are short",
                      {field("closed", closed), field("decisions", events),
                       field("open", m_sessions.size()), field("limit", m_limits.callers.value())});
    return closed != "none";
}

template <FrontEnd F, PlacementSource P, RunGuard R>
GatewayActivity GatewayServer<F, P, R>::activity() const
{
    GatewayActivity result{m_sessions.size(), 0, m_lastArrival};
    for (const auto *session : m_sessions)
        result.openRequestCount += session->pendingCount();
    return result;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::accept()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket =
                co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            if (m_acceptRate.record(SteadyClock().now()) > 0)
                m_log.warning("Accepting a connection failed", {field("error", error.message())});
            // Most likely no file descriptors are left.
            makeRoomForConnection();
            co_await sleepFor(gateway_detail::acceptRetryDelay);
            continue;
        }
        const auto limit = static_cast<std::size_t>(m_limits.callers.value());
        if (m_sessions.size() >= limit && !makeRoomForConnection())
            continue; // The new connection is closed.
        limitSocketBuffers();
        startTask(m_executor, "caller", serve(makeSession(std::move(socket))));
    }
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::serve(SessionPtr session)
{
    m_sessions.insert(session.get());
    m_lastArrival = SteadyClock().now();
    try {
        co_await readRequests(session);
    } catch (const CallerError &) {
        m_context.metrics.count("endivedock_callers_lost_total");
    } catch (...) {
        m_sessions.erase(session.get());
        session->disconnect();
        throw;
    }
    m_sessions.erase(session.get());
    session->disconnect();
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::readRequests(SessionPtr session)
{
    while (!session->isClosing()) {
        std::optional<Refusal> requestRefusal;
        try {
            CallerLimits limits = m_frontEnd.limits();
            // While a response is due, the connection is idle because the caller waits for it, and
            // a timeout would end the running request as well.
            if (session->hasPending()) {
                limits.idleTimeout =
                        std::max(limits.idleTimeout, gateway_detail::minResponseWaitTimeout);
                limits.headerTimeout =
                        std::max(limits.headerTimeout, gateway_detail::minResponseWaitTimeout);
            } else if (m_shutdown.isStopping) {
                limits.idleTimeout =
                        std::min(limits.idleTimeout, gateway_detail::stoppingIdleTimeout);
            }
            std::optional<RequestHead> head = co_await session->caller().readHead(limits);
            if (session->isClosing())
                break; // Counts as unread, because an earlier response announces the close.
            if (!head) {
                // The caller closed the connection, or exceeded the idle timeout, which ends the
                // session also while a response is due.
                co_return;
            }
            session->setReading(true);
            co_await readRequest(session, std::move(*head));
            session->setReading(false);
            if (m_shutdown.isStopping)
                session->closeIfIdle();
        } catch (const CallerRequestError &error) {
            session->setReading(false);
            requestRefusal = error.refusal();
        }
        if (!requestRefusal)
            continue;
        auto request = std::make_shared<GatewayRequest>();
        request->id = RequestId(m_context.random());
        request->responseOptions.keepAlive = false;
        session->setClosing();
        session->add(request);
        co_await sendRefusal(session, request, *requestRefusal);
        session->finish(*request);
    }
    co_await awaitCallerClose(session);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::awaitCallerClose(SessionPtr session)
{
    std::optional<TimePoint> closeBy;
    bool isOpen = true;
    while (isOpen) {
        Duration timeout = gateway_detail::minResponseWaitTimeout;
        if (!session->hasPending()) {
            const TimePoint now = SteadyClock().now();
            if (!closeBy)
                closeBy = now + gateway_detail::maxLingerTime;
            timeout = std::min<Duration>(gateway_detail::lingerTimeout, *closeBy - now);
        }
        if (timeout <= Duration::zero())
            co_return;
        isOpen = co_await session->caller().discardInput(toMilliseconds(timeout));
    }
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::readRequest(SessionPtr session, RequestHead head)
{
    auto request = std::make_shared<GatewayRequest>();
    request->arrivedAt = SteadyClock().now();
    m_lastArrival = request->arrivedAt;
    request->id = RequestId(m_context.random());
    request->responseOptions = {head.minorVersion, head.method == "HEAD", head.keepAlive};
    request->head = std::move(head);
    auto planned = m_frontEnd.plan(request->head, request->arrivedAt);
    std::optional<Refusal> refused;
    if (auto *plan = std::get_if<RequestPlan>(&planned)) {
        request->plan = std::move(*plan);
        refused = co_await bufferBody(session, request, m_memory);
    } else {
        refused = std::get<Refusal>(planned);
        if (refused->reason != RefusalReason::Unauthenticated &&
            refused->reason != RefusalReason::BodyTooLarge)
            co_await discardBody(session, request, m_memory);
    }
    const bool mustRunAlone = !request->isBodyBuffered || !request->plan.isIdempotent;
    while (session->hasPending() &&
           (mustRunAlone || session->isExclusive() ||
            session->pendingCount() >= gateway_detail::maxPipelinedRequests)) {
        co_await session->awaitChange();
    }
    if (session->isClosing())
        co_return; // Counts as unread: the response to an earlier request announced the close.
    session->setExclusive(mustRunAlone);
    if (!request->responseOptions.keepAlive || m_shutdown.isStopping)
        session->setClosing();
    session->add(request);
    if (refused) {
        co_await sendRefusal(session, request, *refused);
        session->finish(*request);
        co_return;
    }
    m_context.metrics.count("endivedock_requests_total",
                            {{"service", request->plan.service.value()}});
    m_teamCounters.count(m_context.metrics, request->plan.team);
    const std::string_view start(request->bufferedBody.data(), request->bufferedBody.size());
    request->fingerprint = fingerprintOf(request->plan, request->head.method, start);
    if (request->isBodyBuffered)
        startTask(m_executor, "request", handleRequest(session, request));
    else
        co_await handleRequest(session, request);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::handleRequest(SessionPtr session, RequestPtr request)
{
    bool isAborted = false;
    std::optional<Refusal> requestRefusal;
    try {
        RequestResult result = co_await runWithClaim(session, request);
        co_await sendResult(session, request, std::move(result));
    } catch (const CallerRequestError &error) {
        requestRefusal = error.refusal();
    } catch (const CallerError &error) {
        isAborted = true;
        m_log.info("Exchange with the caller aborted",
                   {field("request", request->plan.callerRequestId), field("id", request->id),
                    field("service", request->plan.service),
                    field("after_ms",
                          toMilliseconds(SteadyClock().now() - request->arrivedAt).count()),
                    field("error", error.what())});
    }
    if (requestRefusal) {
        request->responseOptions.keepAlive = false;
        session->setClosing();
        co_await sendRefusal(session, request, *requestRefusal);
    }
    if (isAborted && !session->isDisconnected()) {
        session->setClosing();
        session->caller().abort();
    }
    session->finish(*request);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::sendResult(SessionPtr session, RequestPtr request,
                                          RequestResult result)
{
    if (const auto *refusal = std::get_if<Refusal>(&result)) {
        co_await sendRefusal(session, request, *refusal);
        co_return;
    }
    if (auto *response = std::get_if<BufferedResponse>(&result)) {
        co_await session->awaitResponseTurn(request->sequenceNumber);
        session->decideKeepAlive(*request);
        response->memory.awaitCaller(SteadyClock().now() + gateway_detail::maxLingerTime);
        co_await session->caller().sendResponse(response->head, response->body,
                                                request->responseOptions);
        if (response->body.size() > gateway_detail::smallResponseBytes)
            session->holdUnsent(response->body.size());
    }
    recordResponseMetrics(*request);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
void GatewayServer<F, P, R>::recordResponseMetrics(const GatewayRequest &request)
{
    const Labels labels{{"service", request.plan.service.value()}};
    const Microseconds totalTime = microsecondsSince(request.arrivedAt);
    m_context.metrics.count("endivedock_answers_total", labels);
    m_context.metrics.observe("endivedock_request_seconds", labels, totalTime);
    m_context.metrics.observe("endivedock_added_seconds", labels, totalTime - request.targetTime);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<typename GatewayServer<F, P, R>::RequestResult>
GatewayServer<F, P, R>::runWithClaim(SessionPtr session, RequestPtr request)
{
    if (!request->plan.idempotencyKeyHash)
        co_return co_await runAttempts(session, request);
    const RunClaim claim{*request->plan.idempotencyKeyHash, request->id};
    if (auto refusal = co_await m_runGuard.claim(claim, request->plan.deadline))
        co_return *refusal;
    RequestResult result;
    try {
        result = co_await runAttempts(session, request);
    } catch (...) {
        m_runGuard.finish(claim, RunOutcome::MayHaveRun);
        throw;
    }
    const auto *refusal = std::get_if<Refusal>(&result);
    if (!refusal)
        m_runGuard.finish(claim, RunOutcome::Answered);
    else if (refusal->certainty == RunCertainty::NotRun)
        m_runGuard.finish(claim, RunOutcome::NotRun);
    else
        m_runGuard.finish(claim, RunOutcome::MayHaveRun);
    co_return result;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
PlacementRequest GatewayServer<F, P, R>::makePlacementRequest(const GatewayRequest &request,
                                                              int attemptNumber) const
{
    PlacementRequest result;
    result.attempt = {m_context.host, request.id, static_cast<std::uint8_t>(attemptNumber)};
    result.service = request.plan.service;
    result.route = request.plan.route;
    result.requestClass = request.plan.requestClass;
    result.priority = static_cast<std::int8_t>(request.plan.priority);
    result.team = hashTeam(request.plan.team);
    result.isRetry = attemptNumber > 1 || request.plan.isPartOfRetry;
    result.remaining = toMilliseconds(request.plan.deadline - SteadyClock().now());
    result.fingerprint = request.fingerprint;
    result.excludedTargets = request.triedTargets;
    result.body = Bytes(request.head.framing.length.value_or(request.bufferedBody.size()));
    result.connectedTargets = m_attempts.connectedTargets();
    if (request.plan.latencyObjective.count() > 0)
        result.latencyObjective = request.plan.latencyObjective -
                                  toMilliseconds(SteadyClock().now() - request.arrivedAt);
    return result;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<typename GatewayServer<F, P, R>::RequestResult>
GatewayServer<F, P, R>::runAttempts(SessionPtr session, RequestPtr request)
{
    const std::string service = request->plan.service.value();
    // After an attempt that may have run, a refusal must not claim that the request was not run.
    RunCertainty certainty = RunCertainty::NotRun;
    std::optional<BufferedResponse> lastErrorResponse;
    for (int attemptNumber = 1;; ++attemptNumber) {
        const PlacementRequest placementRequest = makePlacementRequest(*request, attemptNumber);
        request->cancel = [this, id = placementRequest.attempt] { m_placements.abandon(id); };
        if (session->isDisconnected())
            throw CallerError("caller disconnected before a target was requested");
        auto placed = co_await m_placements.place(placementRequest, request->plan.deadline);
        request->cancel = nullptr;
        if (auto *refusal = std::get_if<Refusal>(&placed)) {
            if (lastErrorResponse)
                co_return std::move(*lastErrorResponse);
            if (certainty == RunCertainty::MayHaveRun)
                refusal->certainty = certainty;
            co_return *refusal;
        }
        const auto attempts = std::make_shared<AttemptRace<F, P>>(
                m_executor, m_attempts, m_placements, m_context.metrics, session, request);
        RaceResult race =
                co_await attempts->run(placementRequest, std::get<PlacedTarget>(std::move(placed)));
        AttemptResult &result = race.result;
        if (result.isStreamed)
            co_return StreamedResponse{};
        if (result.outcome == AttemptOutcome::Answered)
            co_return std::move(*result.response);
        if (race.errorResponse)
            lastErrorResponse = std::move(race.errorResponse);
        if (race.certainty == RunCertainty::MayHaveRun)
            certainty = RunCertainty::MayHaveRun;
        attemptNumber += static_cast<int>(race.targets.size()) - 1;
        FailedAttempt failedAttempt;
        failedAttempt.outcome = result.outcome;
        failedAttempt.attempts = attemptNumber;
        failedAttempt.maxAttempts = request->plan.maxAttempts;
        failedAttempt.isIdempotent = request->plan.isIdempotent;
        failedAttempt.isReplayable = !request->isBodyStreamed;
        failedAttempt.timeLeft = request->plan.deadline - SteadyClock().now();
        if (auto refusal = refusalUnlessRetryable(failedAttempt)) {
            if (lastErrorResponse)
                co_return std::move(*lastErrorResponse);
            refusal->certainty = certainty;
            co_return *refusal;
        }
        m_context.metrics.count(
                "endivedock_retries_total",
                {{"service", service}, {"reason", std::string(name(failedAttempt.outcome))}});
        request->triedTargets.insert(request->triedTargets.end(), race.targets.begin(),
                                     race.targets.end());
    }
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::sendRefusal(SessionPtr session, RequestPtr request, Refusal refusal)
{
    const RefusalDescription &description = describe(refusal.reason);
    const bool notRun = refusal.certainty == RunCertainty::NotRun;
    if (notRun && !refusal.retryAfter)
        refusal.retryAfter = retryAfterDelay(refusal.reason, drawUnitInterval(m_context.random));
    m_context.metrics.count("endivedock_refusals_total",
                            {{"service", request->plan.service.value()},
                             {"reason", std::string(description.name)},
                             {"run", notRun ? "not-run" : "may-have-run"}});
    const RefusalResponse response = m_frontEnd.formatRefusal(refusal, request->head, request->id);
    m_log.info("Request refused",
               {field("request", request->plan.callerRequestId), field("id", request->id),
                field("service", request->plan.service), field("reason", description.name),
                field("detail", refusal.detail), field("team", request->plan.team),
                field("run", notRun ? "not-run" : "may-have-run"),
                field("content", request->fingerprint), field("status", response.head.status),
                field("retry_after_ms", refusal.retryAfter.value_or(Milliseconds(0)).count()),
                field("attempts", request->triedTargets.size()),
                field("config", request->plan.configuration)});
    co_await session->awaitResponseTurn(request->sequenceNumber);
    session->decideKeepAlive(*request);
    co_await session->caller().sendResponse(response.head, response.body, request->responseOptions);
}

} // namespace endivedock
