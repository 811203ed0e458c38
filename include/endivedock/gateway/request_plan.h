#pragma once

#include "endivedock/config.h"
#include "endivedock/core.h"
#include "endivedock/gateway/http_message.h"
#include "endivedock/servicetime.h"

#include <memory>
#include <optional>
#include <string_view>
#include <variant>

namespace endivedock {

/** How a request is handled, as decided from its header and the configuration. */
struct RequestPlan
{
    ServiceId service;
    /** The team that the caller belongs to; empty if its request needs no key. */
    TeamId team;
    /** The caller's key, and what the caller says of its team, are not passed on to targets. */
    bool hidesCallerKey = false;
    /**
     * What the path is relative to, as the caller names it: a service, or a host whose routes lead
     * to several services. Equal paths of different authorities are unrelated.
     */
    std::string authority;
    /** Path and query that are sent to the target: without team and service. */
    std::string targetPath;
    /** Index of the matching route rule of the service; -1 if no rule matches. */
    std::int16_t route = -1;
    /** Which service time to expect. */
    RequestClass requestClass;
    /** Requests with a higher priority are shed later. */
    int priority = 1;
    bool isIdempotent = true;
    /** Present if the request has an Idempotency-Key: it and its copies must run at most once. */
    std::optional<IdempotencyKeyHash> idempotencyKeyHash;
    TimePoint deadline;
    int maxAttempts = 1;
    /** The request is a nested call of a request that is itself a retry. */
    bool isPartOfRetry = false;
    Bytes maxBodySize{0};
    /** Time from arrival within which the response should be sent; zero if none is declared. */
    Milliseconds latencyObjective{0};
    /** Request id from the caller, which the target repeats; empty if the caller sent none. */
    std::string callerRequestId;
    /** Revision of the configuration that the plan is based on, for the log. */
    Revision configuration;
};

/**
 * Returns the priority of a request; a team's rank goes before that of the route.
 *
 * @param teamRank   rank of the caller's team, 0 is the most urgent; absent if it has none
 * @param routeRank  rank of the route
 */
int priorityOf(std::optional<int> teamRank, int routeRank);

/**
 * Plans a request from its header alone. The path of the request is /team/service/rest.
 *
 * @param declarations  the host's configuration; null if the host has none yet
 * @return the plan, or the refusal of the request, which was not run
 */
std::variant<RequestPlan, Refusal> planRequest(const RequestHead &head,
                                               const Declarations *declarations, TimePoint now);

/**
 * Returns a hash of the authority, the method, the target path and the buffered part of the body.
 * Copies of one request have equal fingerprints, also if they go to different services.
 */
Fingerprint fingerprintOf(const RequestPlan &plan, std::string_view method,
                          std::string_view bufferedBody);

} // namespace endivedock
