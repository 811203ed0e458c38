#include "endivedock/core/refusal.h"

namespace endivedock {

namespace {

constexpr Seconds shortDelay{1};
constexpr Seconds longDelay{5};
constexpr Seconds noDelay{0};

constexpr std::array<RefusalDescription, refusalReasonCount> descriptions{{
        {"bad-request", "The request is malformed", 400, noDelay},
        {"header-too-large", "The request header exceeds its limit", 431, noDelay},
        {"body-too-large", "The request body exceeds its limit", 413, noDelay},
        {"unknown-service", "No such service is configured", 404, noDelay},
        {"unauthenticated", "The request has no key of a team", 401, noDelay},
        {"key-required", "This route demands an Idempotency-Key", 428, noDelay},
        {"no-configuration", "This host has no configuration yet", 503, shortDelay},
        {"stale-configuration", "This host does not know whether its keys are in force", 503,
         shortDelay},
        {"queue-full", "All targets are busy and the queue is full", 503, shortDelay},
        {"deadline-exceeded", "The deadline passed before an answer", 504, noDelay},
        {"no-target", "No target of the service may take work", 503, shortDelay},
        {"crash-suspect", "Earlier copies of this request crashed their targets", 422, noDelay},
        {"retry-budget", "The retry budget of the service is spent", 503, shortDelay},
        {"run-in-progress", "A request with this key is running", 409, shortDelay},
        {"already-run", "A request with this key has been run", 409, noDelay},
        {"run-record-unavailable", "The record of this key cannot be read", 503, longDelay},
        {"target-refused", "The target refused without running the request", 503, shortDelay},
        {"target-failed", "The target failed during the request", 502, noDelay},
        {"memory-short", "This host has no memory left for the request", 503, shortDelay},
        {"internal", "The host failed to handle the request", 500, noDelay},
}};

} // namespace

const RefusalDescription &describe(RefusalReason reason)
{
    return descriptions.at(static_cast<std::size_t>(reason));
}

} // namespace endivedock
