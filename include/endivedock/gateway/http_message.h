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

/** @return whether @p field has this name, whatever its case */
bool isNamed(const HeaderField &field, std::string_view name);

/** @return the value of the first field with this name, whatever its case; valid as @p fields */
std::optional<std::string_view> findField(const HeaderFields &fields, std::string_view name);

/** How a body is delimited: by its length, in chunks, or by the end of the connection. */
struct BodyFraming
{
    std::optional<std::uint64_t> length;
    bool chunked = false;
};

/** What callers may send, and how long they may take. */
struct CallerLimits
{
    Bytes header{16 * 1024};
    /** A header must arrive whole within this time of its first byte. */
    Milliseconds headerTimeout{10'000};
    /** A connection without a request in progress is closed after this time. */
    Milliseconds idleTimeout{120'000};
};

/** A request without its body; fields that concern one connection only are left out. */
struct RequestHead
{
    std::string method;
    std::string path;
    HeaderFields fields;
    BodyFraming framing;
    bool expectsContinue = false;
    /** Minor version of HTTP/1 that the caller speaks. */
    int minorVersion = 1;
    /** The caller means to send further requests on the connection. */
    bool keepAlive = true;
};

/** An answer without its body; fields that concern one connection only are left out. */
struct ResponseHead
{
    unsigned status = 0;
    HeaderFields fields;
    BodyFraming framing;
    /** The status or the request's method rules a body out. */
    bool hasNoBody = false;
};

// Fields that endivedock reads or writes.
constexpr std::string_view idempotencyKeyField = "Idempotency-Key";
constexpr std::string_view requestIdField = "Request-Id";
/** Time left of the caller's deadline, in milliseconds. */
constexpr std::string_view timeoutField = "Request-Timeout-Ms";
/** Present on an attempt after a failed one, and to be passed on with nested calls. */
constexpr std::string_view retryField = "Retry-Attempt";
/** "true" on a refusal that says that the request was not run. */
constexpr std::string_view notRunField = "Request-Not-Run";
/** "draining" on an answer of a target that is shutting down. */
constexpr std::string_view targetStateField = "Target-State";
/** A number that rises with each start of a target. */
constexpr std::string_view incarnationField = "Target-Incarnation";
/** The published ORCA load report in an answer's header. */
constexpr std::string_view loadReportField = "endpoint-load-metrics";

/** What a target says of itself with an answer. */
struct TargetReport
{
    std::optional<Incarnation> incarnation;
    std::optional<Slots> inFlight;
    std::optional<ReportedLoad> load;
    bool notRun = false;
    bool draining = false;
    /** Another target has taken over the address. */
    bool misdirected = false;
};

/** Reads the target's report; fields that cannot be read count as absent. */
TargetReport parseTargetReport(const HeaderFields &fields);

} // namespace endivedock
