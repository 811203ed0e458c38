#pragma once

#include "endivedock/core.h"

#include <optional>
#include <variant>
#include <vector>

namespace endivedock {

/** Names one attempt of one request of one host; a repeated message has the same one. */
struct AttemptId
{
    HostId host;
    RequestId request;
    std::uint8_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
};

/** Asks the placing host of a service for a target. */
struct PlacementRequest
{
    AttemptId attempt;
    ServiceId service;
    /** Which sending of this message it is; the answer repeats it. */
    std::uint8_t transmissionNumber = 0;
    /** Position of the matching route rule in the template. */
    std::int16_t route = -1;
    std::int8_t priority = 1;
    /** An attempt after a failed one, here or in a nested call above. */
    bool isRetry = false;
    /** Time left of the request's deadline. */
    Milliseconds remaining{0};
    Fingerprint fingerprint;
    /** Targets that this request has been on. */
    std::vector<TargetId> excludedTargets;
    /** Time from arrival within which an answer is worth most to the caller. */
    Milliseconds latencyObjective{0};
    /** Zone of the asking host; empty if it does not matter. */
    ZoneId zone;
    /** Bytes that go to the target, as far as known. */
    Bytes body{0};
    /** Addresses to which the asking host has an idle connection. */
    std::vector<AddressHash> connectedTargets;
};

/** The right to send the attempt to a target. */
struct Placement
{
    GrantId grant;
    TargetId target;
    /** The target may be used without asking for a short time, should the placing host be lost. */
    bool targetIsWarm = false;
};

/** The request waits at the placing host; repeated with each sending. */
struct PlacementQueued
{
};

/** The asked host does not place the service. */
struct NotPlacingHost
{
};

/** What became of a placement request. */
struct PlacementAnswer
{
    AttemptId attempt;
    ServiceId service;
    std::uint8_t transmissionNumber = 0;
    std::variant<Placement, Refusal, PlacementQueued, NotPlacingHost> outcome;
};

/** The asking host no longer wants a placement. */
struct PlacementCancel
{
    AttemptId attempt;
    ServiceId service;
};

/** What a target tells of its load with an answer. */
struct ReportedLoad
{
    Slots running{0};
    Slots waiting{0};
    Slots slots{0};
    /** How much longer than usual its work takes at the moment; 1 is usual. */
    double slowdown = 1;

    bool operator==(const ReportedLoad &) const = default;
};

/** How an attempt at a target ended. */
enum class AttemptOutcome : std::uint8_t {
    /** A whole answer that is no server error. */
    Answered,
    /** A whole answer that is a server error. */
    Failed,
    /** The target declared that it did not run the request. */
    Shed,
    /** As Shed; the target is shutting down. */
    Draining,
    ConnectFailed,
    /** The connection was lost while the request may have run. */
    ConnectionLost,
    TimedOut,
    /** The caller went away, or the asking host had no more use for the answer. */
    Abandoned,
};

/** Tells the placing host how an attempt ended, which frees its place. */
struct AttemptReport
{
    AttemptId attempt;
    ServiceId service;
    GrantId grant;
    TargetId target;
    AttemptOutcome outcome = AttemptOutcome::Abandoned;
    /** From the first byte sent to the end of the answer. */
    Microseconds time{0};
    /** What the target showed of itself with the answer. */
    std::optional<Incarnation> incarnation;
    std::optional<Slots> reportedInFlight;
    std::optional<ReportedLoad> load;
    /** Another target answered at the address. */
    bool misdirected = false;
};

/** Confirms an AttemptReport, which is repeated until then. */
struct AttemptReportAck
{
    AttemptId attempt;
    ServiceId service;
};

/** One attempt in flight, as its host tells a new placing host. */
struct InFlightAttempt
{
    AttemptId attempt;
    GrantId grant;
    TargetId target;
    Fingerprint fingerprint;
    std::int16_t route = -1;
    Milliseconds remaining{0};
};

/** A new placing host asks what a host has in flight for a service. */
struct InFlightQuery
{
    ServiceId service;
};

/** All attempts that one host has in flight for one service. */
struct InFlightList
{
    HostId host;
    ServiceId service;
    std::vector<InFlightAttempt> attempts;
};

/** A target that is known to be warm in its present life. */
struct WarmTarget
{
    TargetId target;
    Incarnation incarnation;

    bool operator==(const WarmTarget &) const = default;
};

} // namespace endivedock
