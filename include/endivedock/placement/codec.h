#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/placement/messages.h"
#include "endivedock/servicetime/codec.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, AttemptId &id)
{
    archive(id.host, id.request, id.number);
}

template <typename Archive>
void serialize(Archive &archive, PlacementRequest &request)
{
    archive(request.attempt, request.service, request.transmissionNumber, request.route,
            request.requestClass, request.priority, request.isRetry, request.remaining,
            request.fingerprint, request.excludedTargets, request.closedTargets,
            request.latencyObjective, request.zone, request.body, request.connectedTargets,
            request.team, request.isSpilled, request.firstAttemptAge);
}

template <typename Archive>
void serialize(Archive &archive, Placement &placement)
{
    archive(placement.grant, placement.target, placement.targetIsWarm, placement.incarnation,
            placement.hedgeAfter);
}

template <typename Archive>
void serialize(Archive &, PlacementQueued &)
{
}

template <typename Archive>
void serialize(Archive &, NotPlacingHost &)
{
}

template <typename Archive>
void serialize(Archive &archive, OtherZone &other)
{
    archive(other.zone, other.isSlower);
}

template <typename Archive>
void serialize(Archive &archive, PlacementAnswer &answer)
{
    archive(answer.attempt, answer.service, answer.transmissionNumber, answer.outcome);
}

template <typename Archive>
void serialize(Archive &archive, PlacementCancel &cancel)
{
    archive(cancel.attempt, cancel.service);
}

template <typename Archive>
void serialize(Archive &archive, ReportedLoad &load)
{
    archive(load.running, load.waiting, load.slots, load.slowdown);
}

template <typename Archive>
void serialize(Archive &archive, AttemptReport &report)
{
    archive(report.attempt, report.service, report.grant, report.target,
            enumerator(report.outcome, AttemptOutcome::Overtaken), report.time, report.incarnation,
            report.reportedInFlight, report.load, report.pause, report.isTargetDraining,
            report.misdirected);
}

template <typename Archive>
void serialize(Archive &archive, AttemptReportAck &acknowledgement)
{
    archive(acknowledgement.attempt, acknowledgement.service);
}

template <typename Archive>
void serialize(Archive &archive, InFlightAttempt &attempt)
{
    archive(attempt.attempt, attempt.grant, attempt.target, attempt.fingerprint, attempt.route,
            attempt.remaining);
}

template <typename Archive>
void serialize(Archive &archive, InFlightQuery &query)
{
    archive(query.service);
}

template <typename Archive>
void serialize(Archive &archive, InFlightList &list)
{
    archive(list.host, list.service, list.attempts);
}

template <typename Archive>
void serialize(Archive &archive, WarmTarget &target)
{
    archive(target.target, target.incarnation);
}

} // namespace endivedock
