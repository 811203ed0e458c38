#pragma once

#include "endivedock/config.h"
#include "endivedock/gateway/attempt_policy.h"
#include "endivedock/gateway/caller_connection.h"
#include "endivedock/gateway/request_plan.h"
#include "endivedock/gateway/target_pool.h"
#include "endivedock/telemetry.h"

#include <concepts>
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
    RunKey key;
    RequestId request;
};

/** What became of a claimed run. */
enum class RunEnd : std::uint8_t { NotRun, Answered, MayHaveRun };

/** Who keeps requests that are not idempotent from running twice. */
template <typename R>
concept RunGuard = requires(R guard, RunClaim claim, TimePoint deadline, RunEnd end) {
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
    const NewestConfiguration &configuration;
    Metrics &metrics;
    Random &random;
};

/**
 * Takes requests from callers and brings each one the answer of one target. One task for each
 * caller's connection; it reads the request, claims, places, exchanges and answers, in that order.
 *
 * @tparam P  source of placements; outlives the server
 * @tparam R  guard of runs; outlives the server
 */
template <PlacementSource P, RunGuard R>
class GatewayServer
{
public:
    /** @throws HttpError if @p listen cannot be bound */
    GatewayServer(asio::any_io_executor executor, const Address &listen, GatewayContext context,
                  P &placements, R &runs);

    Address localAddress() const;
    /** Accepts no further connections; those open are closed after their present request. */
    void stopAccepting();
    /** Connections of callers that are open. */
    std::size_t openConnections() const { return m_callers.size(); }
    /** When the last connection or request arrived. */
    TimePoint lastArrival() const { return m_lastArrival; }

private:
    struct Request
    {
        RequestHead head;
        RequestPlan plan;
        RequestId id;
        TimePoint arrivedAt;
        Fingerprint fingerprint;
        std::vector<char> bodyStart;
        bool bodyBuffered = false;
        std::vector<TargetId> tried;
        Microseconds targetTime{0};
    };
    /** What an attempt came to; an answer that was passed on needs nothing more. */
    struct AttemptResult
    {
        AttemptOutcome outcome = AttemptOutcome::Abandoned;
        bool answered = false;
    };
    class ReportOnExit;

    Task<> accept();
    Task<> serve(asio::ip::tcp::socket socket);
    Task<> serveRequest(CallerConnection &caller, RequestHead head);
    Task<std::optional<Refusal>> runClaimed(CallerConnection &caller, Request &request);
    Task<std::optional<Refusal>> runAttempts(CallerConnection &caller, Request &request);
    Task<AttemptResult> attempt(CallerConnection &caller, Request &request,
                                const PlacedTarget &target, AttemptReport &report);
    Task<> sendRequest(CallerConnection &caller, Request &request, TargetConnection &target);
    Task<AttemptResult> passAnswer(CallerConnection &caller, Request &request,
                                   TargetConnection &target, AttemptReport &report);
    Task<> readBodyStart(CallerConnection &caller, Request &request);
    Task<> refuse(CallerConnection &caller, const Refusal &refusal, RequestId id,
                  const std::string &service);
    PlacementRequest placementRequest(const Request &request, int number) const;
    RequestHead headForTarget(const Request &request) const;
    void countAnswer(const Request &request);

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    GatewayContext m_context;
    P &m_placements;
    R &m_runs;
    TargetPool m_pool;
    std::set<CallerConnection *> m_callers;
    TimePoint m_lastArrival;
    bool m_stopping = false;
    Log m_log{"gateway"};
};

} // namespace endivedock
