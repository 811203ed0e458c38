#pragma once

#include "endivedock/gateway/gateway_server.h"
#include "endivedock/gateway/problem.h"

#include <algorithm>

namespace endivedock {

namespace gateway_detail {

/** A body up to this size is kept, so that it can be sent again. */
constexpr std::size_t replayBytes = 64 * 1024;

/** Fields of a target's answer that are meant for endivedock. */
inline bool isTargetReport(const HeaderField &field)
{
    return isNamed(field, incarnationField) || isNamed(field, loadReportField) ||
           isNamed(field, targetStateField);
}

inline void setField(HeaderFields &fields, std::string_view name, std::string value)
{
    std::erase_if(fields, [name](const HeaderField &field) { return isNamed(field, name); });
    fields.push_back({std::string(name), std::move(value)});
}

inline Microseconds microsecondsSince(TimePoint start)
{
    return std::chrono::duration_cast<Microseconds>(SteadyClock().now() - start);
}

} // namespace gateway_detail

/** Reports an attempt however its scope is left. */
template <PlacementSource P, RunGuard R>
class GatewayServer<P, R>::ReportOnExit
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

template <PlacementSource P, RunGuard R>
GatewayServer<P, R>::GatewayServer(asio::any_io_executor executor, const Address &listen,
                                   GatewayContext context, P &placements, R &runs)
    : m_executor(executor)
    , m_acceptor(executor, tcpEndpoint(listen), true)
    , m_context(context)
    , m_placements(placements)
    , m_runs(runs)
    , m_pool(executor)
    , m_lastArrival(SteadyClock().now())
{
    startTask(m_executor, "gateway-accept", accept());
}

template <PlacementSource P, RunGuard R>
Address GatewayServer<P, R>::localAddress() const
{
    const auto endpoint = m_acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

template <PlacementSource P, RunGuard R>
void GatewayServer<P, R>::stopAccepting()
{
    m_stopping = true;
    m_acceptor.close();
    for (auto *caller : m_callers)
        caller->stopWhenIdle();
}

template <PlacementSource P, RunGuard R>
Task<> GatewayServer<P, R>::accept()
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
        startTask(m_executor, "caller", serve(std::move(socket)));
    }
}

template <PlacementSource P, RunGuard R>
Task<> GatewayServer<P, R>::serve(asio::ip::tcp::socket socket)
{
    CallerConnection caller(std::move(socket));
    m_callers.insert(&caller);
    m_lastArrival = SteadyClock().now();
    if (m_stopping)
        caller.stopWhenIdle();
    try {
        while (true) {
            std::optional<Refusal> malformed;
            try {
                std::optional<RequestHead> head = co_await caller.readHead();
                if (!head)
                    break;
                co_await serveRequest(caller, std::move(*head));
            } catch (const CallerRequestError &error) {
                malformed = error.refusal();
            }
            if (malformed) {
                caller.closeAfterAnswer();
                co_await refuse(caller, *malformed, RequestId(m_context.random()), "");
            }
            if (!caller.reusable())
                break;
        }
    } catch (const CallerError &) {
        m_context.metrics.count("endivedock_callers_lost_total");
    } catch (...) {
        m_callers.erase(&caller);
        throw;
    }
    m_callers.erase(&caller);
}

template <PlacementSource P, RunGuard R>
Task<> GatewayServer<P, R>::serveRequest(CallerConnection &caller, RequestHead head)
{
    Request request;
    request.arrivedAt = SteadyClock().now();
    m_lastArrival = request.arrivedAt;
    request.id = RequestId(m_context.random());
    request.head = std::move(head);
    const auto declarations = m_context.configuration.declarations();
    auto planned = planRequest(request.head, declarations.get(), request.arrivedAt);
    if (const auto *refusal = std::get_if<Refusal>(&planned)) {
        co_await refuse(caller, *refusal, request.id, "");
        co_return;
    }
    request.plan = std::move(std::get<RequestPlan>(planned));
    const std::string service = request.plan.service.value();
    m_context.metrics.count("endivedock_requests_total", {{"service", service}});
    co_await readBodyStart(caller, request);
    const std::string_view start(request.bodyStart.data(), request.bodyStart.size());
    request.fingerprint = fingerprintOf(request.plan, request.head.method, start);
    const auto refusal = co_await runClaimed(caller, request);
    if (refusal)
        co_await refuse(caller, *refusal, request.id, service);
    else
        countAnswer(request);
}

template <PlacementSource P, RunGuard R>
void GatewayServer<P, R>::countAnswer(const Request &request)
{
    const Labels labels{{"service", request.plan.service.value()}};
    const Microseconds whole = gateway_detail::microsecondsSince(request.arrivedAt);
    m_context.metrics.count("endivedock_answers_total", labels);
    m_context.metrics.observe("endivedock_request_seconds", labels, whole);
    m_context.metrics.observe("endivedock_added_seconds", labels, whole - request.targetTime);
}

template <PlacementSource P, RunGuard R>
Task<> GatewayServer<P, R>::readBodyStart(CallerConnection &caller, Request &request)
{
    using namespace gateway_detail;
    const std::uint64_t expected =
            request.head.framing.length.value_or(request.head.framing.chunked ? replayBytes : 0);
    request.bodyStart.resize(std::min<std::uint64_t>(expected, replayBytes));
    std::size_t filled = 0;
    while (!caller.bodyDone() && filled < request.bodyStart.size()) {
        const std::span<char> rest(request.bodyStart.data() + filled,
                                   request.bodyStart.size() - filled);
        filled += co_await caller.readBody(rest);
    }
    if (filled > request.plan.maxBody.value())
        throw CallerRequestError(RefusalReason::BodyTooLarge);
    request.bodyStart.resize(filled);
    request.bodyBuffered = caller.bodyDone();
}

template <PlacementSource P, RunGuard R>
Task<std::optional<Refusal>> GatewayServer<P, R>::runClaimed(CallerConnection &caller,
                                                             Request &request)
{
    if (!request.plan.runKey)
        co_return co_await runAttempts(caller, request);
    const RunClaim claim{*request.plan.runKey, request.id};
    if (auto refusal = co_await m_runs.claim(claim, request.plan.deadline))
        co_return refusal;
    std::optional<Refusal> refusal;
    try {
        refusal = co_await runAttempts(caller, request);
    } catch (...) {
        m_runs.finish(claim, RunEnd::MayHaveRun);
        throw;
    }
    if (!refusal)
        m_runs.finish(claim, RunEnd::Answered);
    else if (refusal->certainty == RunCertainty::NotRun)
        m_runs.finish(claim, RunEnd::NotRun);
    else
        m_runs.finish(claim, RunEnd::MayHaveRun);
    co_return refusal;
}

template <PlacementSource P, RunGuard R>
PlacementRequest GatewayServer<P, R>::placementRequest(const Request &request, int number) const
{
    PlacementRequest result;
    result.attempt = {m_context.host, request.id, static_cast<std::uint8_t>(number)};
    result.service = request.plan.service;
    result.route = request.plan.route;
    result.priority = static_cast<std::int8_t>(request.plan.priority);
    result.retry = number > 1 || request.plan.inheritedRetry;
    result.remaining = toMilliseconds(request.plan.deadline - SteadyClock().now());
    result.fingerprint = request.fingerprint;
    result.exclude = request.tried;
    return result;
}

template <PlacementSource P, RunGuard R>
Task<std::optional<Refusal>> GatewayServer<P, R>::runAttempts(CallerConnection &caller,
                                                              Request &request)
{
    const std::string service = request.plan.service.value();
    // Once any attempt may have run, no later refusal can say that the request was not run.
    RunCertainty certainty = RunCertainty::NotRun;
    for (int number = 1;; ++number) {
        const PlacementRequest wanted = placementRequest(request, number);
        const auto gone = std::make_shared<bool>(false);
        if (request.bodyBuffered)
            caller.watch([this, gone, id = wanted.attempt] {
                *gone = true;
                m_placements.abandon(id);
            });
        auto placed = co_await m_placements.place(wanted, request.plan.deadline);
        caller.unwatch();
        if (auto *refusal = std::get_if<Refusal>(&placed)) {
            if (certainty == RunCertainty::MayHaveRun)
                refusal->certainty = certainty;
            co_return *refusal;
        }
        const PlacedTarget target = std::get<PlacedTarget>(std::move(placed));
        AttemptResult result;
        {
            ReportOnExit guard(m_placements, {.attempt = wanted.attempt,
                                              .service = request.plan.service,
                                              .grant = target.placement.grant,
                                              .target = target.placement.target,
                                              .incarnation = std::nullopt,
                                              .reportedInFlight = std::nullopt});
            if (*gone)
                throw CallerError("the caller went away while it waited for a target");
            result = co_await attempt(caller, request, target, guard.report());
        }
        if (result.answered)
            co_return std::nullopt;
        if (certaintyOf(result.outcome) == RunCertainty::MayHaveRun)
            certainty = RunCertainty::MayHaveRun;
        AttemptEnd end;
        end.outcome = result.outcome;
        end.attempts = number;
        end.maxAttempts = request.plan.maxAttempts;
        end.idempotent = request.plan.idempotent;
        end.replayable =
                request.bodyBuffered || certaintyOf(result.outcome) == RunCertainty::NotRun;
        end.timeLeft = request.plan.deadline - SteadyClock().now();
        if (auto refusal = decideAfterAttempt(end)) {
            refusal->certainty = certainty;
            co_return refusal;
        }
        m_context.metrics.count("endivedock_retries_total",
                                {{"service", service}, {"reason", std::string(name(end.outcome))}});
        request.tried.push_back(target.placement.target);
    }
}

template <PlacementSource P, RunGuard R>
RequestHead GatewayServer<P, R>::headForTarget(const Request &request) const
{
    using gateway_detail::setField;
    RequestHead head = request.head;
    head.path = request.plan.targetPath;
    const auto left = toMilliseconds(request.plan.deadline - SteadyClock().now());
    setField(head.fields, timeoutField, std::to_string(std::max<std::int64_t>(left.count(), 0)));
    if (!findField(head.fields, requestIdField))
        setField(head.fields, requestIdField, formatRequestId(request.id));
    if (!request.tried.empty())
        setField(head.fields, retryField, std::to_string(request.tried.size()));
    return head;
}

template <PlacementSource P, RunGuard R>
Task<typename GatewayServer<P, R>::AttemptResult>
GatewayServer<P, R>::attempt(CallerConnection &caller, Request &request, const PlacedTarget &target,
                             AttemptReport &report)
{
    const TimePoint startedAt = SteadyClock().now();
    AttemptResult result;
    bool callerGone = false;
    try {
        PooledConnection connection = co_await m_pool.acquire(
                target.address, target.connectionLimit, request.plan.deadline);
        connection->setDeadline(request.plan.deadline);
        TargetConnection *raw = &*connection;
        co_await sendRequest(caller, request, *connection);
        if (caller.bodyDone())
            caller.watch([raw, &callerGone] {
                callerGone = true;
                raw->close(); // The target sees the cancellation.
            });
        result = co_await passAnswer(caller, request, *connection, report);
    } catch (const TargetConnectError &error) {
        result.outcome = AttemptOutcome::ConnectFailed;
        m_log.debug("No connection to a target",
                    {field("target", target.placement.target), field("error", error.what())});
    } catch (const TargetError &error) {
        result.outcome =
                error.timedOut() ? AttemptOutcome::TimedOut : AttemptOutcome::ConnectionLost;
    }
    caller.unwatch();
    if (callerGone) {
        report.outcome = AttemptOutcome::Abandoned;
        throw CallerError("the caller went away");
    }
    report.outcome = result.outcome;
    report.time = gateway_detail::microsecondsSince(startedAt);
    request.targetTime += report.time;
    co_return result;
}

template <PlacementSource P, RunGuard R>
Task<> GatewayServer<P, R>::sendRequest(CallerConnection &caller, Request &request,
                                        TargetConnection &target)
{
    try {
        co_await target.sendHead(headForTarget(request));
        if (!request.bodyStart.empty())
            co_await target.sendBody(request.bodyStart);
        std::uint64_t sent = request.bodyStart.size();
        const std::span<char> piece = caller.scratch();
        while (!caller.bodyDone()) {
            const std::size_t count = co_await caller.readBody(piece);
            sent += count;
            if (sent > request.plan.maxBody.value())
                throw CallerRequestError(RefusalReason::BodyTooLarge, RunCertainty::MayHaveRun);
            if (count > 0)
                co_await target.sendBody({piece.data(), count});
        }
        co_await target.endRequest();
    } catch (const TargetError &error) {
        if (error.timedOut())
            throw;
        // The target may have answered without reading the whole body; that answer counts.
    }
}

template <PlacementSource P, RunGuard R>
Task<typename GatewayServer<P, R>::AttemptResult>
GatewayServer<P, R>::passAnswer(CallerConnection &caller, Request &request,
                                TargetConnection &target, AttemptReport &report)
{
    AnswerHead head = co_await target.readHead();
    const TargetReport shown = parseTargetReport(head.fields);
    report.incarnation = shown.incarnation;
    report.reportedInFlight = shown.inFlight;
    const std::span<char> piece = caller.scratch();
    if (head.status == 503 && shown.notRun) {
        while (co_await target.readBody(piece) > 0) {
        }
        co_return AttemptResult{shown.draining ? AttemptOutcome::Draining : AttemptOutcome::Shed,
                                false};
    }
    std::erase_if(head.fields, gateway_detail::isTargetReport);
    gateway_detail::setField(head.fields, requestIdField, formatRequestId(request.id));
    caller.unwatch();
    try {
        co_await caller.sendHead(head);
        while (const std::size_t count = co_await target.readBody(piece))
            co_await caller.sendBody({piece.data(), count});
        co_await caller.endAnswer();
    } catch (const TargetError &error) {
        // The caller has the beginning of an answer; it must see that the rest is missing.
        caller.abort();
        report.outcome = AttemptOutcome::ConnectionLost;
        m_context.metrics.count("endivedock_answers_cut_off_total",
                                {{"service", request.plan.service.value()}});
        throw CallerError(std::string("the target broke off its answer: ") + error.what());
    }
    co_return AttemptResult{head.status >= 500 ? AttemptOutcome::Failed : AttemptOutcome::Answered,
                            true};
}

template <PlacementSource P, RunGuard R>
Task<> GatewayServer<P, R>::refuse(CallerConnection &caller, const Refusal &refusal, RequestId id,
                                   const std::string &service)
{
    const RefusalDescription &description = describe(refusal.reason);
    const bool notRun = refusal.certainty == RunCertainty::NotRun;
    m_context.metrics.count("endivedock_refusals_total",
                            {{"service", service},
                             {"reason", std::string(description.name)},
                             {"run", notRun ? "not-run" : "may-have-run"}});
    m_log.debug("Refused a request",
                {field("request", formatRequestId(id)), field("service", service),
                 field("reason", description.name)});
    const std::string body = formatProblem(refusal, id);
    AnswerHead head;
    head.status = description.httpStatus;
    head.framing.length = body.size();
    head.fields = {{"Content-Type", "application/problem+json"},
                   {std::string(notRunField), notRun ? "true" : "false"},
                   {std::string(requestIdField), formatRequestId(id)}};
    if (description.retryAfter.count() > 0)
        head.fields.push_back({"Retry-After", std::to_string(description.retryAfter.count())});
    co_await caller.sendHead(head);
    co_await caller.sendBody(body);
    co_await caller.endAnswer();
}

} // namespace endivedock
