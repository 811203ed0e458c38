#pragma once

#include "endivedock/gateway/gateway_server.h"
#include "endivedock/gateway/problem.h"

#include <algorithm>

namespace endivedock {

namespace gateway_detail {

/** A body up to this size is kept whole, so that it can be sent again; longer ones pass through. */
constexpr std::size_t keptBodyBytes = 512 * 1024;
/** An answer up to this size is read whole before its caller sees any of it. */
constexpr std::size_t keptAnswerBytes = 512 * 1024;
/** A body up to this size fits the windows of a connection and is written before the answer. */
constexpr std::size_t writtenAtOnce = 8 * 1024;
/** Requests of one connection in progress at the same time. */
constexpr std::size_t mostPipelined = 16;
/** After an answer that closes, the caller has this time to close its side. */
constexpr Seconds lingerTime{2};

inline Microseconds microsecondsSince(TimePoint start)
{
    return std::chrono::duration_cast<Microseconds>(SteadyClock().now() - start);
}

} // namespace gateway_detail

/** Reports an attempt however its scope is left. */
template <FrontEnd F, PlacementSource P, RunGuard R>
class GatewayServer<F, P, R>::ReportOnExit
{
public:
    ReportOnExit(P &placements, AttemptReport report)
        : m_placements(placements)
        , m_report(std::move(report))
    {
    }
    ~ReportOnExit() { m_placements.report(std::move(m_report)); }
    ReportOnExit(const ReportOnExit &) = delete;

    AttemptReport &report() { return m_report; }

private:
    P &m_placements;
    AttemptReport m_report;
};

template <FrontEnd F, PlacementSource P, RunGuard R>
GatewayServer<F, P, R>::GatewayServer(asio::any_io_executor executor, const Address &listen,
                                      GatewayContext context, F front, P &placements, R &runs)
    : m_executor(executor)
    , m_acceptor(executor, tcpEndpoint(listen), true)
    , m_context(context)
    , m_front(std::move(front))
    , m_placements(placements)
    , m_runs(runs)
    , m_pool(executor)
    , m_lastArrival(SteadyClock().now())
{
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
    m_discouraging = true;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
void GatewayServer<F, P, R>::stopAccepting()
{
    m_discouraging = true;
    m_stopping = true;
    boost::system::error_code ignored; // Closing can only fail if it was closed before.
    m_acceptor.close(ignored);
    for (auto *session : m_sessions) {
        closeIfIdle(*session);
        notify(*session);
    }
}

template <FrontEnd F, PlacementSource P, RunGuard R>
void GatewayServer<F, P, R>::closeIfIdle(Session &session)
{
    if (session.reading || !session.open.empty())
        return;
    session.closing = true;
    session.caller.shutdownSend();
}

template <FrontEnd F, PlacementSource P, RunGuard R>
GatewayActivity GatewayServer<F, P, R>::activity() const
{
    GatewayActivity result{m_sessions.size(), 0, m_lastArrival};
    for (const auto *session : m_sessions)
        result.openRequests += session->open.size();
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
            m_log.warning("Accepting failed", {field("error", error.message())});
            co_await sleepFor(Milliseconds(10)); // Out of descriptors, most likely.
            continue;
        }
        startTask(m_executor, "caller",
                  serve(std::make_shared<Session>(std::move(socket), m_executor)));
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
        callerIsGone(*session);
        throw;
    }
    m_sessions.erase(session.get());
    callerIsGone(*session);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::readRequests(SessionPtr session)
{
    while (true) {
        std::optional<Refusal> malformed;
        try {
            CallerLimits limits = m_front.limits();
            if (session->closing)
                limits.idleTimeout = gateway_detail::lingerTime;
            // While an answer is due, silence means that the caller waits for it.
            if (!session->open.empty())
                limits.idleTimeout = std::max(limits.idleTimeout, Milliseconds(60'000));
            std::optional<RequestHead> head = co_await session->caller.readHead(limits);
            if (!head) {
                // Idle for too long beside an answer that is due, or closed; both end it.
                co_return;
            }
            if (session->closing)
                co_return; // Counts as not read; the answer before it says that it is the last.
            session->reading = true;
            co_await readRequest(session, std::move(*head));
            session->reading = false;
        } catch (const CallerRequestError &error) {
            malformed = error.refusal();
        }
        if (!malformed)
            continue;
        auto request = std::make_shared<Request>();
        request->id = RequestId(m_context.random());
        request->number = session->read++;
        request->terms.keepAlive = false;
        session->closing = true;
        session->open[request->number] = request;
        co_await refuse(session, request, *malformed);
        finishRequest(*session, *request);
        co_await session->caller.readHead(
                {Bytes(1024), gateway_detail::lingerTime, gateway_detail::lingerTime});
        co_return;
    }
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::readRequest(SessionPtr session, RequestHead head)
{
    auto request = std::make_shared<Request>();
    request->arrivedAt = SteadyClock().now();
    m_lastArrival = request->arrivedAt;
    request->id = RequestId(m_context.random());
    request->terms = {head.minorVersion, head.method == "HEAD", head.keepAlive};
    request->head = std::move(head);
    auto planned = m_front.plan(request->head, request->arrivedAt);
    if (auto *plan = std::get_if<RequestPlan>(&planned))
        request->plan = std::move(*plan);
    else
        request->plan.maxBodySize = Bytes(gateway_detail::keptBodyBytes);
    co_await readBodyStart(session->caller, request);
    const bool alone = !request->bodyBuffered || !request->plan.idempotent;
    while (!session->open.empty() &&
           (alone || session->exclusive || session->open.size() >= gateway_detail::mostPipelined)) {
        boost::system::error_code ignored; // Cancelled is how a change is told.
        co_await session->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (session->closing)
        co_return; // Counts as not read: an answer before it has closed the connection.
    session->exclusive = alone;
    request->number = session->read++;
    // What is left of a body that nobody reads would be taken for the next request.
    session->closing = session->closing || !request->terms.keepAlive || m_stopping;
    session->open[request->number] = request;
    if (const auto *refusal = std::get_if<Refusal>(&planned)) {
        if (!request->bodyBuffered) {
            request->terms.keepAlive = false;
            session->closing = true;
        }
        co_await refuse(session, request, *refusal);
        finishRequest(*session, *request);
        co_return;
    }
    m_context.metrics.count("endivedock_requests_total",
                            {{"service", request->plan.service.value()}});
    const std::string_view start(request->bodyStart.data(), request->bodyStart.size());
    request->fingerprint = fingerprintOf(request->plan, request->head.method, start);
    if (request->bodyBuffered)
        startTask(m_executor, "request", exchange(session, request));
    else
        co_await exchange(session, request);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
void GatewayServer<F, P, R>::notify(Session &session)
{
    session.changed.cancel();
}

template <FrontEnd F, PlacementSource P, RunGuard R>
void GatewayServer<F, P, R>::callerIsGone(Session &session)
{
    session.callerGone = true;
    session.caller.close();
    const auto open = session.open;
    for (const auto &[number, request] : open) {
        if (request->cancel)
            request->cancel();
    }
    notify(session);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
void GatewayServer<F, P, R>::finishRequest(Session &session, const Request &request)
{
    session.open.erase(request.number);
    session.answered = std::max(session.answered, request.number + 1);
    if (m_stopping)
        closeIfIdle(session);
    notify(session);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::awaitTurn(SessionPtr session, std::uint64_t number)
{
    while (!session->callerGone && session->answered < number) {
        boost::system::error_code ignored; // Cancelled is how a change is told.
        co_await session->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (session->callerGone)
        throw CallerError("the caller went away before its answer");
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::exchange(SessionPtr session, RequestPtr request)
{
    bool broken = false;
    std::optional<Refusal> malformed;
    try {
        Result result = co_await runClaimed(session, request);
        co_await answer(session, request, std::move(result));
    } catch (const CallerRequestError &error) {
        malformed = error.refusal();
    } catch (const CallerError &error) {
        broken = true;
        m_log.info("Caller gone",
                   {field("request", request->plan.callerRequestId), field("id", request->id),
                    field("service", request->plan.service),
                    field("after_ms",
                          toMilliseconds(SteadyClock().now() - request->arrivedAt).count()),
                    field("error", error.what())});
    }
    if (malformed) {
        request->terms.keepAlive = false;
        session->closing = true;
        co_await refuse(session, request, *malformed);
    }
    if (broken && !session->callerGone) {
        session->closing = true;
        session->caller.abort();
    }
    finishRequest(*session, *request);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::answer(SessionPtr session, RequestPtr request, Result result)
{
    if (const auto *refusal = std::get_if<Refusal>(&result)) {
        co_await refuse(session, request, *refusal);
        co_return;
    }
    if (auto *whole = std::get_if<Answer>(&result)) {
        co_await awaitTurn(session, request->number);
        if (mayCloseBehind(*session))
            request->terms.keepAlive = false;
        session->closing = session->closing || !request->terms.keepAlive;
        co_await session->caller.sendResponse(whole->head, whole->body, request->terms);
        if (!request->terms.keepAlive)
            session->caller.shutdownSend();
    }
    countAnswer(*request);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
bool GatewayServer<F, P, R>::mayCloseBehind(const Session &session) const
{
    // Later requests of a pipeline that are under way are owed their answers on this connection.
    return m_discouraging && session.open.size() <= 1;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
void GatewayServer<F, P, R>::countAnswer(const Request &request)
{
    const Labels labels{{"service", request.plan.service.value()}};
    const Microseconds whole = gateway_detail::microsecondsSince(request.arrivedAt);
    m_context.metrics.count("endivedock_answers_total", labels);
    m_context.metrics.observe("endivedock_request_seconds", labels, whole);
    m_context.metrics.observe("endivedock_added_seconds", labels, whole - request.targetTime);
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::readBodyStart(CallerConnection &caller, RequestPtr request)
{
    using namespace gateway_detail;
    const BodyFraming &framing = request->head.framing;
    const std::uint64_t expected = framing.length.value_or(framing.chunked ? keptBodyBytes : 0);
    const std::size_t most = std::min<std::uint64_t>(expected, keptBodyBytes);
    constexpr std::size_t step = 32 * 1024;
    std::vector<char> &body = request->bodyStart;
    while (!caller.isBodyComplete() && body.size() < most) {
        const std::size_t filled = body.size();
        body.resize(std::min(most, filled + step));
        const std::size_t count =
                co_await caller.readBody({body.data() + filled, body.size() - filled});
        body.resize(filled + count);
    }
    if (body.size() > request->plan.maxBodySize.value())
        throw CallerRequestError(RefusalReason::BodyTooLarge);
    request->bodyBuffered = caller.isBodyComplete();
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<typename GatewayServer<F, P, R>::Result> GatewayServer<F, P, R>::runClaimed(SessionPtr session,
                                                                                 RequestPtr request)
{
    if (!request->plan.idempotencyKeyHash)
        co_return co_await runAttempts(session, request);
    const RunClaim claim{*request->plan.idempotencyKeyHash, request->id};
    if (auto refusal = co_await m_runs.claim(claim, request->plan.deadline))
        co_return *refusal;
    Result result;
    try {
        result = co_await runAttempts(session, request);
    } catch (...) {
        m_runs.finish(claim, RunOutcome::MayHaveRun);
        throw;
    }
    const auto *refusal = std::get_if<Refusal>(&result);
    if (!refusal)
        m_runs.finish(claim, RunOutcome::Answered);
    else if (refusal->certainty == RunCertainty::NotRun)
        m_runs.finish(claim, RunOutcome::NotRun);
    else
        m_runs.finish(claim, RunOutcome::MayHaveRun);
    co_return result;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
PlacementRequest GatewayServer<F, P, R>::placementRequest(const Request &request, int number) const
{
    PlacementRequest result;
    result.attempt = {m_context.host, request.id, static_cast<std::uint8_t>(number)};
    result.service = request.plan.service;
    result.route = request.plan.route;
    result.priority = static_cast<std::int8_t>(request.plan.priority);
    result.isRetry = number > 1 || request.plan.isPartOfRetry;
    result.remaining = toMilliseconds(request.plan.deadline - SteadyClock().now());
    result.fingerprint = request.fingerprint;
    result.excludedTargets = request.tried;
    result.body = Bytes(request.head.framing.length.value_or(request.bodyStart.size()));
    result.connectedTargets = m_pool.connectedTargets();
    if (request.plan.latencyObjective.count() > 0)
        result.latencyObjective = request.plan.latencyObjective -
                                  toMilliseconds(SteadyClock().now() - request.arrivedAt);
    return result;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<typename GatewayServer<F, P, R>::Result>
GatewayServer<F, P, R>::runAttempts(SessionPtr session, RequestPtr request)
{
    const std::string service = request->plan.service.value();
    // Once any attempt may have run, no later refusal can say that the request was not run.
    RunCertainty certainty = RunCertainty::NotRun;
    std::optional<Answer> failed;
    for (int number = 1;; ++number) {
        const PlacementRequest wanted = placementRequest(*request, number);
        request->cancel = [this, id = wanted.attempt] { m_placements.abandon(id); };
        if (session->callerGone)
            throw CallerError("the caller went away before its request was sent");
        auto placed = co_await m_placements.place(wanted, request->plan.deadline);
        request->cancel = nullptr;
        if (auto *refusal = std::get_if<Refusal>(&placed)) {
            if (failed)
                co_return std::move(*failed);
            if (certainty == RunCertainty::MayHaveRun)
                refusal->certainty = certainty;
            co_return *refusal;
        }
        const PlacedTarget target = std::get<PlacedTarget>(std::move(placed));
        AttemptResult result;
        {
            ReportOnExit guard(m_placements, {.attempt = wanted.attempt,
                                              .service = request->plan.service,
                                              .grant = target.placement.grant,
                                              .target = target.placement.target,
                                              .incarnation = std::nullopt,
                                              .reportedInFlight = std::nullopt,
                                              .load = std::nullopt});
            if (session->callerGone)
                throw CallerError("the caller went away while it waited for a target");
            result = co_await attempt(session, request, target, guard.report());
        }
        if (result.passedOn)
            co_return PassedOn{};
        if (result.outcome == AttemptOutcome::Answered)
            co_return std::move(*result.answer);
        if (result.answer)
            failed = std::move(result.answer);
        if (runCertaintyOf(result.outcome) == RunCertainty::MayHaveRun)
            certainty = RunCertainty::MayHaveRun;
        FailedAttempt end;
        end.outcome = result.outcome;
        end.attempts = number;
        end.maxAttempts = request->plan.maxAttempts;
        end.idempotent = request->plan.idempotent;
        end.replayable =
                request->bodyBuffered || runCertaintyOf(result.outcome) == RunCertainty::NotRun;
        end.timeLeft = request->plan.deadline - SteadyClock().now();
        if (auto refusal = refusalUnlessRetryable(end)) {
            if (failed)
                co_return std::move(*failed);
            refusal->certainty = certainty;
            co_return *refusal;
        }
        m_context.metrics.count("endivedock_retries_total",
                                {{"service", service}, {"reason", std::string(name(end.outcome))}});
        request->tried.push_back(target.placement.target);
    }
}

template <FrontEnd F, PlacementSource P, RunGuard R>
RequestHead GatewayServer<F, P, R>::headForTarget(const Request &request,
                                                  const TargetId &target) const
{
    RequestHead head = request.head;
    head.path = request.plan.targetPath;
    const Milliseconds left = toMilliseconds(request.plan.deadline - SteadyClock().now());
    m_front.setRequestFields(head.fields, request.plan, {target, request.tried.size(), left},
                             request.id);
    return head;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<typename GatewayServer<F, P, R>::AttemptResult>
GatewayServer<F, P, R>::attempt(SessionPtr session, RequestPtr request, PlacedTarget target,
                                AttemptReport &report)
{
    const TimePoint startedAt = SteadyClock().now();
    AttemptResult result;
    bool sent = false;
    std::string cause;
    try {
        const TimePoint connectBy =
                std::min(request->plan.deadline, startedAt + target.connectTimeout);
        PooledConnection connection = co_await m_pool.acquire(
                target.address, target.connectionLimit, target.maxIdleTime, connectBy);
        if (session->callerGone)
            throw CallerError("the caller went away before its request was sent");
        connection->setDeadline(request->plan.deadline);
        TargetConnection *raw = &*connection;
        request->cancel = [raw] { raw->close(); }; // The target sees the cancellation.
        sent = true;
        co_await sendRequest(session, request, target.placement.target, *connection);
        result = co_await takeAnswer(session, request, *connection, report);
    } catch (const TargetConnectError &error) {
        result.outcome = AttemptOutcome::ConnectFailed;
        cause = error.what();
    } catch (const TargetError &error) {
        result.outcome =
                error.timedOut() ? AttemptOutcome::TimedOut : AttemptOutcome::ConnectionLost;
        cause = error.what();
    } catch (...) {
        request->cancel = nullptr;
        throw;
    }
    request->cancel = nullptr;
    if (session->callerGone) {
        report.outcome = AttemptOutcome::Abandoned;
        throw CallerError(sent ? "the caller went away while a target worked"
                               : "the caller went away");
    }
    report.outcome = result.outcome;
    report.time = gateway_detail::microsecondsSince(startedAt);
    request->targetTime += report.time;
    m_log.info(
            "Attempt ended",
            {field("request", request->plan.callerRequestId), field("id", request->id),
             field("target", target.placement.target), field("service", request->plan.service),
             field("outcome", name(result.outcome)), field("attempt", request->tried.size() + 1),
             field("took_ms", report.time.count() / 1000),
             field("config", request->plan.configuration),
             field("left_ms", toMilliseconds(request->plan.deadline - SteadyClock().now()).count()),
             field("running", report.load ? report.load->running.value() : -1),
             field("waiting", report.load ? report.load->waiting.value() : -1),
             field("slowdown", report.load ? report.load->slowdown : -1),
             field("cause", cause.empty() ? "-" : cause)});
    co_return result;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::sendRequest(SessionPtr session, RequestPtr request, TargetId target,
                                           TargetConnection &connection)
{
    try {
        co_await connection.sendHead(headForTarget(*request, target));
        if (request->bodyBuffered && request->bodyStart.size() > gateway_detail::writtenAtOnce) {
            // The target may answer before it has read the whole body.
            const std::span<const char> body(request->bodyStart);
            connection.sendBodyInBackground(std::shared_ptr<const void>(request), body);
            co_return;
        }
        if (!request->bodyStart.empty())
            co_await connection.sendBody(request->bodyStart);
        std::uint64_t sent = request->bodyStart.size();
        CallerConnection &caller = session->caller;
        const std::span<char> piece =
                request->bodyBuffered ? std::span<char>{} : caller.scratchBuffer();
        while (!request->bodyBuffered && !caller.isBodyComplete()) {
            const std::size_t count = co_await caller.readBody(piece);
            sent += count;
            if (sent > request->plan.maxBodySize.value())
                throw CallerRequestError(RefusalReason::BodyTooLarge, RunCertainty::MayHaveRun);
            if (count > 0)
                co_await connection.sendBody({piece.data(), count});
        }
        co_await connection.endRequest();
    } catch (const TargetError &error) {
        if (error.timedOut())
            throw;
        // The target may have answered without reading the whole body; that answer counts.
    }
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<typename GatewayServer<F, P, R>::AttemptResult>
GatewayServer<F, P, R>::takeAnswer(SessionPtr session, RequestPtr request, TargetConnection &target,
                                   AttemptReport &report)
{
    ResponseHead head;
    std::vector<char> body;
    while (true) {
        head = co_await target.readHead();
        body.clear();
        const ResponseOrigin origin = m_front.origin(head, request->plan);
        if (origin == ResponseOrigin::Unusable)
            throw TargetError("the answer is not one to this request", false);
        while (body.size() <= gateway_detail::keptAnswerBytes) {
            const std::size_t filled = body.size();
            body.resize(filled +
                        std::min<std::size_t>(
                                std::max<std::size_t>(head.framing.length.value_or(0), 2048),
                                32 * 1024));
            const std::size_t count =
                    co_await target.readBody({body.data() + filled, body.size() - filled});
            body.resize(filled + count);
            if (count == 0)
                break;
        }
        if (origin == ResponseOrigin::ThisRequest)
            break;
        m_context.metrics.count("endivedock_foreign_answers_total",
                                {{"service", request->plan.service.value()}});
    }
    const TargetReport shown = m_front.report(head);
    report.incarnation = shown.incarnation;
    report.reportedInFlight = shown.inFlight;
    report.load = shown.load;
    report.misdirected = shown.misdirected;
    AttemptResult result;
    if (shown.notRun) {
        result.outcome = shown.draining ? AttemptOutcome::Draining : AttemptOutcome::Shed;
        co_return result;
    }
    std::erase_if(head.fields,
                  [this](const HeaderField &field) { return m_front.isInternal(field); });
    m_front.setResponseFields(head.fields, request->id);
    if (!target.isResponseComplete())
        co_return co_await passOn(session, request, target, report, std::move(head),
                                  std::move(body));
    result.outcome = outcomeForStatus(head.status);
    result.answer = Answer{std::move(head), std::move(body)};
    co_return result;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<typename GatewayServer<F, P, R>::AttemptResult>
GatewayServer<F, P, R>::passOn(SessionPtr session, RequestPtr request, TargetConnection &target,
                               AttemptReport &report, ResponseHead head, std::vector<char> start)
{
    CallerConnection &caller = session->caller;
    co_await awaitTurn(session, request->number);
    try {
        std::vector<char> piece = std::move(start);
        std::size_t count = piece.size();
        co_await caller.sendHead(head, request->terms);
        while (count > 0) {
            co_await caller.sendBody({piece.data(), count});
            count = co_await target.readBody(piece);
        }
        co_await caller.endResponse();
    } catch (const TargetError &error) {
        // The caller has the beginning of an answer; it must see that the rest is missing.
        report.outcome = AttemptOutcome::ConnectionLost;
        m_context.metrics.count("endivedock_answers_cut_off_total",
                                {{"service", request->plan.service.value()}});
        throw CallerError(std::string("the target broke off its answer: ") + error.what());
    }
    AttemptResult result;
    result.outcome = outcomeForStatus(head.status);
    result.passedOn = true;
    co_return result;
}

template <FrontEnd F, PlacementSource P, RunGuard R>
Task<> GatewayServer<F, P, R>::refuse(SessionPtr session, RequestPtr request, Refusal refusal)
{
    const RefusalDescription &description = describe(refusal.reason);
    const bool notRun = refusal.certainty == RunCertainty::NotRun;
    if (notRun && !refusal.retryAfter)
        refusal.retryAfter = retryAfterDelay(refusal.reason, drawUnitInterval(m_context.random));
    m_context.metrics.count("endivedock_refusals_total",
                            {{"service", request->plan.service.value()},
                             {"reason", std::string(description.name)},
                             {"run", notRun ? "not-run" : "may-have-run"}});
    const RefusalResponse answer = m_front.formatRefusal(refusal, request->head, request->id);
    m_log.info("Rejected",
               {field("request", request->plan.callerRequestId), field("id", request->id),
                field("service", request->plan.service), field("reason", description.name),
                field("run", notRun ? "not-run" : "may-have-run"),
                field("status", answer.head.status),
                field("retry_after_ms", refusal.retryAfter.value_or(Milliseconds(0)).count()),
                field("attempts", request->tried.size()),
                field("config", request->plan.configuration)});
    co_await awaitTurn(session, request->number);
    if (mayCloseBehind(*session))
        request->terms.keepAlive = false;
    session->closing = session->closing || !request->terms.keepAlive;
    co_await session->caller.sendResponse(answer.head, answer.body, request->terms);
    if (!request->terms.keepAlive)
        session->caller.shutdownSend();
}

} // namespace endivedock
