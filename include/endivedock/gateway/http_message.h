#pragma once

#include "endivedock/core.h"
#include "endivedock/placement/messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivedock {

struct HeaderField
{
    std::string name;
    std::string value;
};

using HeaderFields = std::vector<HeaderField>;

/** @return whether the name of @p field equals @p name, ignoring case */
bool isNamed(const HeaderField &field, std::string_view name);

/**
 * @return the value of the first field with the name @p name, ignoring case; valid for as long as
 *         @p fields is unchanged
 */
std::optional<std::string_view> findField(const HeaderFields &fields, std::string_view name);

/** How a body is delimited: by its length, in chunks, or by the end of the connection. */
struct BodyFraming
{
    std::optional<std::uint64_t> length;
    bool chunked = false;
};

/** Limits on the header size and the timing of a caller's connection. */
struct CallerLimits
{
    /** Largest request header. */
    Bytes header{16 * 1024};
    /** Longest time from the first byte of a request header to its last one. */
    Milliseconds headerTimeout{10'000};
    /** Longest time that a connection without a request in progress is kept open. */
    Milliseconds idleTimeout{120'000};
};

/** The header of a request, without hop-by-hop fields. */
struct RequestHead
{
    std::string method;
    std::string path;
    HeaderFields fields;
    BodyFraming framing;
    /** The caller waits for "100 Continue" before it sends the body. */
    bool expectsContinue = false;
    /** Minor version of HTTP/1 that the caller speaks. */
    int minorVersion = 1;
    /** The caller keeps the connection open for further requests. */
    bool keepAlive = true;
};

/** The header of a response, without hop-by-hop fields. */
struct ResponseHead
{
    unsigned status = 0;
    HeaderFields fields;
    BodyFraming framing;
    /** The status code or the request method does not allow a body. */
    bool hasNoBody = false;
};

// Names of the header fields that endivedock reads or writes.
constexpr std::string_view idempotencyKeyField = "Idempotency-Key";
constexpr std::string_view requestIdField = "Request-Id";
/** Time left until the caller's deadline, in milliseconds. */
constexpr std::string_view timeoutField = "Request-Timeout-Ms";
/**
 * Number of earlier attempts; absent on a first attempt. Targets copy the field to the requests
 * that they send for the attempt (nested calls).
 */
constexpr std::string_view retryField = "Retry-Attempt";
/** "true" on a refusal of a request that was not run. */
constexpr std::string_view notRunField = "Request-Not-Run";
/** "draining" on a response from a target that is shutting down. */
constexpr std::string_view targetStateField = "Target-State";
/** Incarnation of the target: a number that grows with each start of the target's process. */
constexpr std::string_view incarnationField = "Target-Incarnation";
/** Load report in a response header, in the format of ORCA (Open Request Cost Aggregation). */
constexpr std::string_view loadReportField = "endpoint-load-metrics";

constexpr std::string_view authorizationField = "Authorization";
/** Team of the caller, for the target; set only if callers have keys. */
constexpr std::string_view callingTeamField = "Calling-Team";
/** Tells the caller how to authenticate. */
constexpr std::string_view challengeField = "WWW-Authenticate";
constexpr std::string_view bearerScheme = "Bearer";

/**
 * @return the caller's key from "Authorization: Bearer KEY"; nothing if there is no such field,
 * more than one, or one of another scheme. Valid for as long as @p fields is unchanged.
 */
std::optional<std::string_view> bearerToken(const HeaderFields &fields);

/** What a target reports about itself in the header of a response. */
struct TargetReport
{
    std::optional<Incarnation> incarnation;
    /** Requests that the target is running, as stated in its load report. */
    std::optional<Slots> inFlight;
    std::optional<ReportedLoad> load;
    /** The target declares that it did not run the request. */
    bool notRun = false;
    /** The target is shutting down. */
    bool isDraining = false;
    /** Time for which the target wants no requests from this host. */
    std::optional<Milliseconds> pause;
    /** The target stated such a time in a form that cannot be used. */
    bool hasMalformedPause = false;
    /** The response came from another target that now has the address. */
    bool misdirected = false;
};

/** @return the target's report in @p fields; malformed fields count as absent */
TargetReport parseTargetReport(const HeaderFields &fields);

} // namespace endivedock
