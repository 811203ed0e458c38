#pragma once

#include "endivedock/core.h"
#include "endivedock/fairness.h"
#include "endivedock/servicetime.h"

#include <optional>
#include <variant>
#include <vector>

namespace endivedock {

/** Identifies one attempt at one request of one host; resent messages carry the same id. */
struct AttemptId
{
    HostId host;
    RequestId request;
    std::uint8_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
};

/**
 * Requests a target for one attempt. Sent to the placing host of the service, which BasicPlacer
 * describes.
 */
struct PlacementRequest
{
    AttemptId attempt;
    ServiceId service;
    /** Number of this transmission of the message; the answer returns the number unchanged. */
    std::uint8_t transmissionNumber = 0;
    /** Index of the matching route rule in the service template; -1 if no rule matches. */
    std::int16_t route = -1;
    /** Which service time to expect. */
    RequestClass requestClass;
    /** Requests with a higher value are served first and can evict others from a full queue. */
    std::int8_t priority = 1;
    /** Team of the caller, among which the room of the targets is divided. */
    TeamHash team;
    /** True for an attempt after a failed one, at this host or at a caller further upstream. */
    bool isRetry = false;
    /**
     * Present if the request asks for a hedge: for a second target while an earlier attempt runs,
     * which is the last one of excludedTargets. The time since that attempt began. A hedge is
     * granted or refused at once; it never waits.
     */
    std::optional<Milliseconds> firstAttemptAge;
    /** Time until the request's deadline. */
    Milliseconds remaining{0};
    /** Equal for all copies of a request, so that a crash suspect is recognised. */
    Fingerprint fingerprint;
    /** Targets that must not be chosen, because earlier attempts of this request used them. */
    std::vector<TargetId> excludedTargets;
    /** Targets that want no requests from the requesting host for a while. */
    std::vector<TargetId> closedTargets;
    /**
     * Time left of the route's latency objective, which is the response time within which a
     * response has the highest value for the caller; 0 if the route has no latency objective.
     */
    Milliseconds latencyObjective{0};
    /** Zone of the requesting host; empty if the zone must not influence the choice. */
    ZoneId zone;
    /**
     * Whether the request comes from a zone without room for it. The placing host of that zone has
     * counted and admitted it, and the zone that gets it does not pass it on again.
     */
    bool isSpilled = false;
    /** Size of the request body, or the bytes read so far if the size is unknown. */
    Bytes body{0};
    /** Hashes of the target addresses to which the requesting host has an idle connection. */
    std::vector<AddressHash> connectedTargets;
};

/** Grants the attempt one in-flight slot at a target. */
struct Placement
{
    GrantId grant;
    TargetId target;
    /**
     * Whether the target is warm, see WarmupTracker. If no placing host can be reached, the
     * requesting host may use a warm target without a grant for a short time.
     */
    bool targetIsWarm = false;
    /** Incarnation of the target as far as the placing host knows it. */
    std::optional<Incarnation> incarnation = std::nullopt;
    /** Time after the start of the attempt at which to ask for a hedge; zero for none. */
    Milliseconds hedgeAfter{0};
};

/**
 * The request waits in the placing host's queue. The placing host sends this answer for each
 * transmission of the request.
 */
struct PlacementQueued
{
};

/** The host that received the request is not the placing host of the service. */
struct NotPlacingHost
{
};

/**
 * The zone of the placing host has no room for the request; the requesting host is to ask the
 * placing host of another zone.
 */
struct OtherZone
{
    ZoneId zone;
    /** Whether the own zone has room, but its targets are much slower. */
    bool isSlower = false;
};

/** Answer to a PlacementRequest: a grant, a refusal, or the request's state. */
struct PlacementAnswer
{
    AttemptId attempt;
    ServiceId service;
    std::uint8_t transmissionNumber = 0;
    std::variant<Placement, Refusal, PlacementQueued, NotPlacingHost, OtherZone> outcome;
};

/** Withdraws a placement request, and a grant that was made for it. */
struct PlacementCancel
{
    AttemptId attempt;
    ServiceId service;
};

/** Load that a target reports with a response. */
struct ReportedLoad
{
    Slots running{0};
    Slots waiting{0};
    Slots slots{0};
    /** Current service time as a multiple of the target's base service time; 1 is normal. */
    double slowdown = 1;

    bool operator==(const ReportedLoad &) const = default;
};

/** How an attempt at a target ended. */
enum class AttemptOutcome : std::uint8_t {
    /** The target sent a complete response that is not a server error. */
    Answered,
    /** The target sent a complete response that is a server error. */
    Failed,
    /** The target refused the request and stated that it did not run it. */
    Shed,
    /** As Shed, and the target stated that it is shutting down. */
    Draining,
    ConnectFailed,
    /**
     * The connection was lost after the request may have started to run, or the target sent a
     * broken response.
     */
    ConnectionLost,
    TimedOut,
    /** The caller disconnected, or the requesting host no longer needed the response. */
    Abandoned,
    /** Another attempt of the request was answered first, so this one was cancelled. */
    Overtaken,
};

/** Reports to the placing host how an attempt ended, which releases its grant. */
struct AttemptReport
{
    AttemptId attempt;
    ServiceId service;
    GrantId grant;
    TargetId target;
    AttemptOutcome outcome = AttemptOutcome::Abandoned;
    /** Time from the first byte sent to the end of the response. */
    Microseconds time{0};
    /** Incarnation that the target stated in the response. */
    std::optional<Incarnation> incarnation;
    /** Requests in flight at the target, as stated in the response. */
    std::optional<Slots> reportedInFlight;
    /** Load that the target stated in the response. */
    std::optional<ReportedLoad> load;
    /** Time for which the target wants no requests from the host that sent this one. */
    std::optional<Milliseconds> pause;
    /** True if the target stated in the response that it is draining. */
    bool isTargetDraining = false;
    /** True if the response came from another target than the one expected at the address. */
    bool misdirected = false;
    /**
     * True if the request was sent and its response was incomplete when the attempt ended. Only the
     * sending host needs to know this, so the encoding does not contain it.
     */
    bool isUnanswered = false;
};

/** Acknowledges an AttemptReport, which its sender repeats until the acknowledgement arrives. */
struct AttemptReportAck
{
    AttemptId attempt;
    ServiceId service;
};

/** One attempt in flight, as reported to a new placing host by the host that made it. */
struct InFlightAttempt
{
    AttemptId attempt;
    GrantId grant;
    TargetId target;
    Fingerprint fingerprint;
    std::int16_t route = -1;
    Milliseconds remaining{0};
};

/** Requests the attempts that a host has in flight for a service; sent by a new placing host. */
struct InFlightQuery
{
    ServiceId service;
};

/** Answer to an InFlightQuery: all attempts that one host has in flight for one service. */
struct InFlightList
{
    HostId host;
    ServiceId service;
    std::vector<InFlightAttempt> attempts;
};

/** A target that is warm in the given incarnation. */
struct WarmTarget
{
    TargetId target;
    Incarnation incarnation;

    bool operator==(const WarmTarget &) const = default;
};

} // namespace endivedock
