#pragma once

#include "endivedock/config.h"
#include "endivedock/gateway/attempt_race.h"
#include "endivedock/gateway/body_reader.h"
#include "endivedock/gateway/team_counters.h"
#include "endivedock/telemetry.h"

#include <concepts>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace endivedock {

namespace gateway_detail {

/** Time between two log lines on connections that found no room. */
constexpr Milliseconds roomLogInterval{1000};

} // namespace gateway_detail

/** The claim to run a request that must run at most once. */
struct RunClaim
{
    IdempotencyKeyHash key;
    RequestId request;
};

/** How a claimed run ended. */
enum class RunOutcome : std::uint8_t { NotRun, Answered, MayHaveRun };

/** Prevents requests with an idempotency key from running more than once. */
template <typename R>
concept RunGuard = requires(R guard, RunClaim claim, TimePoint deadline, RunOutcome outcome) {
    /** @return nothing if the request may run, or the refusal if it must not */
    {
        guard.claim(claim, deadline)
    } -> std::same_as<Task<std::optional<Refusal>>>;
    /** Ends a claim that was granted, with the outcome of its run. */
    {
        guard.finish(claim, outcome)
    } -> std::same_as<void>;
};

/** The host's id, metrics, random numbers and counts; all but the id must outlive the server. */
struct GatewayContext
{
    HostId host;
    Metrics &metrics;
    Random &random;
    /** Counts the requests of teams that targets began to run; null if they are not counted. */
    OwnUsage *usage = nullptr;
    /** What the machine allows the process; callers and targets get parts of it. */
    MachineLimits machine = {};
};

/** The gateway's open connections and requests, which a graceful drain waits for. */
struct GatewayActivity
{
    std::size_t openConnectionCount = 0;
    std::size_t openRequestCount = 0;
    /** Time at which the last connection or request arrived. */
    TimePoint lastArrival;
};

/**
 * Accepts requests from callers and returns the response of one target to each. One task for each
 * caller connection reads the requests. A task for each request claims its idempotency key, gets a
 * placement, exchanges the request with the target and sends the response, in that order; the
 * reading task does the same for a request whose body is streamed. Pipelined requests run at the
 * same time if all of them are idempotent; their responses are sent in the order of the requests.
 *
 * @tparam F  HTTP conventions with callers and targets
 * @tparam P  source of placements; must outlive the server
 * @tparam R  guard of requests that must run at most once; must outlive the server
 */
template <FrontEnd F, PlacementSource P, RunGuard R>
class GatewayServer
{
public:
    /** @throws boost::system::system_error if @p listen cannot be bound */
    GatewayServer(asio::any_io_executor executor, const Address &listen, GatewayContext context,
                  F frontEnd, P &placements, R &runGuard);

    Address localAddress() const;
    /**
     * Closes each connection after its next response, as the first stage of a graceful drain. New
     * connections are still accepted.
     */
    void disableKeepAlive();
    /** Stops accepting connections; open connections are closed after their pending requests. */
    void stopAccepting();
    GatewayActivity activity() const;

private:
    /** The response was too long to be buffered and has been streamed to the caller. */
    struct StreamedResponse
    {
    };
    using RequestResult = std::variant<Refusal, BufferedResponse, StreamedResponse>;

    Task<> accept();
    Task<> serve(SessionPtr session);
    Task<> readRequests(SessionPtr session);
    Task<> readRequest(SessionPtr session, RequestHead head);
    /**
     * Discards what the caller sends until it closes the connection, or, after the last response,
     * until its time to do so has passed.
     */
    Task<> awaitCallerClose(SessionPtr session);
    Task<> handleRequest(SessionPtr session, RequestPtr request);
    Task<> sendResult(SessionPtr session, RequestPtr request, RequestResult result);
    /** Accepts the connections that callers have opened and the system holds for accept(). */
    void acceptBacklog();
    SessionPtr makeSession(asio::ip::tcp::socket socket);
    /** Sets the socket buffers of further connections, smaller the more connections are open. */
    void limitSocketBuffers();
    /**
     * Closes the connection that has been idle for longest, or if none is idle, ends the exchange
     * whose caller is overdue most.
     *
     * @return whether there was one
     */
    bool makeRoomForConnection();
    Task<RequestResult> runWithClaim(SessionPtr session, RequestPtr request);
    Task<RequestResult> runAttempts(SessionPtr session, RequestPtr request);
    Task<> sendRefusal(SessionPtr session, RequestPtr request, Refusal refusal);
    PlacementRequest makePlacementRequest(const GatewayRequest &request, int attemptNumber) const;
    void recordResponseMetrics(const GatewayRequest &request);

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    GatewayContext m_context;
    F m_frontEnd;
    P &m_placements;
    R &m_runGuard;
    AdmissionLimits m_limits;
    MemoryGate m_memory;
    std::optional<Bytes> m_socketBuffer;
    MessageRate m_roomRate{gateway_detail::roomLogInterval};
    MessageRate m_acceptRate{gateway_detail::roomLogInterval};
    AttemptRunner<F, P> m_attempts;
    std::set<CallerSession *> m_sessions;
    TimePoint m_lastArrival;
    TeamCounters m_teamCounters;
    GatewayShutdown m_shutdown;
    Log m_log{"gateway"};
};

} // namespace endivedock
