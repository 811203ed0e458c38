#include "endivedock/core/refusal.h"

namespace endivedock {

namespace {

constexpr Seconds soon{1};
constexpr Seconds later{5};
constexpr Seconds never{0};

constexpr std::array<RefusalDescription, refusalReasonCount> descriptions{{
        {"bad-request", "The request is malformed", 400, never},
        {"header-too-large", "The request header exceeds its limit", 431, never},
        {"body-too-large", "The request body exceeds its limit", 413, never},
        {"unknown-service", "No such service is configured", 404, never},
        {"key-required", "This route demands an Idempotency-Key", 428, never},
        {"no-configuration", "This host has no configuration yet", 503, soon},
        {"queue-full", "All targets are busy and the queue is full", 503, soon},
        {"deadline-exceeded", "The deadline passed before an answer", 504, never},
        {"no-target", "No target of the service may take work", 503, soon},
        {"crash-suspect", "Earlier copies of this request crashed their targets", 422, never},
        {"retry-budget", "The retry budget of the service is spent", 503, soon},
        {"run-in-progress", "A request with this key is running", 409, soon},
        {"already-run", "A request with this key has been run", 409, never},
        {"run-record-unavailable", "The record of this key cannot be read", 503, later},
        {"target-refused", "The target refused without running the request", 503, soon},
        {"target-failed", "The target failed during the request", 502, never},
        {"internal", "The host failed to handle the request", 500, never},
}};

} // namespace

const RefusalDescription &describe(RefusalReason reason)
{
    return descriptions.at(static_cast<std::size_t>(reason));
}

} // namespace endivedock
