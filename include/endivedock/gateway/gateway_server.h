#pragma once

#include "endivedock/config.h"
#include "endivedock/gateway/attempt_policy.h"
#include "endivedock/gateway/caller_connection.h"
#include "endivedock/gateway/front_end.h"
#include "endivedock/gateway/request_plan.h"
#include "endivedock/gateway/target_connection_pool.h"
#include "endivedock/telemetry.h"

#include <concepts>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace endivedock {

/** A placement with what is needed to use it. */
struct PlacedTarget
{
    Placement placement;
    Address address;
    Connections connectionLimit{1};
    /** After this time without a connection the attempt fails as not run. */
    Milliseconds connectTimeout{1000};
    /** Older idle connections are not used: the target may have forgotten them. */
    Milliseconds maxIdleTime{30'000};
};

/** Where placements come from. */
template <typename P>
concept PlacementSource = requires(P source, const PlacementRequest &request, TimePoint deadline,
                                   AttemptReport report, const AttemptId &attempt) {
    /** Waits for a target, or a refusal, until the deadline. */
    {
        source.place(request, deadline)
    } -> std::same_as<Task<std::variant<PlacedTarget, Refusal>>>;
    /** Makes a waiting place() of this attempt end at once. */
    {
        source.abandon(attempt)
    } -> std::same_as<void>;
    /** Frees the place of an attempt; to be called exactly once for each placement. */
    {
        source.report(std::move(report))
    } -> std::same_as<void>;
};

/** The right to run a request that must run at most once. */
struct RunClaim
{
    IdempotencyKeyHash key;
    RequestId request;
};

/** What became of a claimed run. */
enum class RunOutcome : std::uint8_t { NotRun, Answered, MayHaveRun };

/** Who keeps requests that are not idempotent from running twice. */
template <typename R>
concept RunGuard = requires(R guard, RunClaim claim, TimePoint deadline, RunOutcome end) {
    /** @return nothing when the run may begin, or why it must not */
    {
        guard.claim(claim, deadline)
    } -> std::same_as<Task<std::optional<Refusal>>>;
    {
        guard.finish(claim, end)
    } -> std::same_as<void>;
};

/** What the gateway needs to know of its host. */
struct GatewayContext
{
    HostId host;
    Metrics &metrics;
    Random &random;
};

/** What the gateway did last, for a graceful shutdown. */
struct GatewayActivity
{
    std::size_t openConnections = 0;
    std::size_t openRequests = 0;
    /** When the last connection or request arrived. */
    TimePoint lastArrival;
};

/**
 * Takes requests from callers and brings each one the answer of one target. One task for each
 * caller's connection reads the requests; one for each request claims, places, exchanges and
 * answers, in that order. Requests that a caller sends before the answer to an earlier one run at
 * the same time if all are idempotent; answers keep the order of the requests.
 *
 * @tparam F  interface towards callers and targets
 * @tparam P  source of placements; outlives the server
 * @tparam R  guard of runs; outlives the server
 */
template <FrontEnd F, PlacementSource P, RunGuard R>
class GatewayServer
{
public:
    /** @throws HttpError if @p listen cannot be bound */
    GatewayServer(asio::any_io_executor executor, const Address &listen, GatewayContext context,
                  F front, P &placements, R &runs);

    Address localAddress() const;
    /** Each further answer closes its connection; new connections are still taken. */
    void disableKeepAlive();
    /** Accepts no further connections; those open are closed after their present requests. */
    void stopAccepting();
    GatewayActivity activity() const;

private:
    struct Request
    {
        RequestHead head;
        RequestPlan plan;
        RequestId id;
        /** Position on its connection. */
        std::uint64_t number = 0;
        TimePoint arrivedAt;
        Fingerprint fingerprint;
        std::vector<char> bodyStart;
        bool bodyBuffered = false;
        std::vector<TargetId> tried;
        Microseconds targetTime{0};
        ResponseOptions terms;
        /** Ends what the request waits for, should its caller go away. */
        std::function<void()> cancel;
    };
    /** One caller's connection with its requests in progress. */
    struct Session
    {
        Session(asio::ip::tcp::socket socket, const asio::any_io_executor &executor)
            : caller(std::move(socket))
            , changed(executor, TimePoint::max())
        {
        }
        CallerConnection caller;
        /** Cancelled whenever one of the fields below changes. */
        asio::steady_timer changed;
        std::uint64_t read = 0;
        std::uint64_t answered = 0;
        std::map<std::uint64_t, std::shared_ptr<Request>> open;
        /** The request read last is not idempotent, so nothing may run beside it. */
        bool exclusive = false;
        bool callerGone = false;
        /** A request has arrived in part. */
        bool reading = false;
        /** An answer that closes the connection has been sent, or will be. */
        bool closing = false;
    };
    using SessionPtr = std::shared_ptr<Session>;
    using RequestPtr = std::shared_ptr<Request>;
    /** A whole answer of a target, kept until it is its turn. */
    struct Answer
    {
        ResponseHead head;
        std::vector<char> body;
    };
    /** The answer was too long to be kept and has been passed on piece by piece. */
    struct PassedOn
    {
    };
    using Result = std::variant<Refusal, Answer, PassedOn>;
    /** What an attempt came to. */
    struct AttemptResult
    {
        AttemptOutcome outcome = AttemptOutcome::Abandoned;
        bool passedOn = false;
        /** Present where the target gave one that may be passed on. */
        std::optional<Answer> answer;
    };
    class ReportOnExit;

    Task<> accept();
    Task<> serve(SessionPtr session);
    Task<> readRequests(SessionPtr session);
    Task<> readRequest(SessionPtr session, RequestHead head);
    Task<> exchange(SessionPtr session, RequestPtr request);
    Task<> answer(SessionPtr session, RequestPtr request, Result result);
    Task<> awaitTurn(SessionPtr session, std::uint64_t number);
    void finishRequest(Session &session, const Request &request);
    void callerIsGone(Session &session);
    void notify(Session &session);
    void closeIfIdle(Session &session);
    Task<Result> runClaimed(SessionPtr session, RequestPtr request);
    Task<Result> runAttempts(SessionPtr session, RequestPtr request);
    Task<AttemptResult> attempt(SessionPtr session, RequestPtr request, PlacedTarget target,
                                AttemptReport &report);
    Task<> sendRequest(SessionPtr session, RequestPtr request, TargetId target,
                       TargetConnection &connection);
    Task<AttemptResult> takeAnswer(SessionPtr session, RequestPtr request, TargetConnection &target,
                                   AttemptReport &report);
    Task<AttemptResult> passOn(SessionPtr session, RequestPtr request, TargetConnection &target,
                               AttemptReport &report, ResponseHead head, std::vector<char> start);
    Task<> readBodyStart(CallerConnection &caller, RequestPtr request);
    Task<> refuse(SessionPtr session, RequestPtr request, Refusal refusal);
    PlacementRequest placementRequest(const Request &request, int number) const;
    RequestHead headForTarget(const Request &request, const TargetId &target) const;
    /** @return whether the answer that is due is to close its connection for a planned stop */
    bool mayCloseBehind(const Session &session) const;
    void countAnswer(const Request &request);

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    GatewayContext m_context;
    F m_front;
    P &m_placements;
    R &m_runs;
    TargetConnectionPool m_pool;
    std::set<Session *> m_sessions;
    TimePoint m_lastArrival;
    bool m_discouraging = false;
    bool m_stopping = false;
    Log m_log{"gateway"};
};

} // namespace endivedock
