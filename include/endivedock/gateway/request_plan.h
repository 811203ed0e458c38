#pragma once

#include "endivedock/config.h"
#include "endivedock/core.h"
#include "endivedock/gateway/http_message.h"

#include <memory>
#include <optional>
#include <string_view>
#include <variant>

namespace endivedock {

/** How one request is to be handled. */
struct RequestPlan
{
    ServiceId service;
    /** Path and query for the target: without tenant and service. */
    std::string targetPath;
    std::int16_t route = -1;
    int priority = 1;
    bool idempotent = true;
    /** Present if the request must be run at most once over all its copies. */
    std::optional<IdempotencyKeyHash> idempotencyKeyHash;
    TimePoint deadline;
    int maxAttempts = 1;
    /** A nested call above this one is a retry. */
    bool isPartOfRetry = false;
    Bytes maxBodySize{0};
    /** Time from arrival within which an answer is worth most; zero if none is declared. */
    Milliseconds latencyObjective{0};
    /** The id that the caller gave, which its target repeats; empty if it gave none. */
    std::string callerRequestId;
    /** Revision of the configuration that the plan follows, for the log. */
    Revision configuration;
};

/**
 * Plans a request from its header alone. The path is /tenant/service/rest.
 *
 * @param declarations  the host's configuration; may be null
 * @return the plan, or why the request is refused; it was not run then
 */
std::variant<RequestPlan, Refusal> planRequest(const RequestHead &head,
                                               const Declarations *declarations, TimePoint now);

/** @return a hash of what a target gets to see first; equal for copies of one request */
Fingerprint fingerprintOf(const RequestPlan &plan, std::string_view method,
                          std::string_view bodyStart);

} // namespace endivedock
