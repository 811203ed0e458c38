#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/placement/messages.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, AttemptId &id)
{
    archive(id.host, id.request, id.number);
}

template <typename Archive>
void serialize(Archive &archive, PlacementRequest &request)
{
    archive(request.attempt, request.service, request.sending, request.route, request.priority,
            request.retry, request.remaining, request.fingerprint, request.exclude,
            request.objective, request.zone, request.body, request.connected);
}

template <typename Archive>
void serialize(Archive &archive, Placement &placement)
{
    archive(placement.grant, placement.target, placement.warm);
}

template <typename Archive>
void serialize(Archive &, PlacementWaits &)
{
}

template <typename Archive>
void serialize(Archive &, NotPlacing &)
{
}

template <typename Archive>
void serialize(Archive &archive, PlacementAnswer &answer)
{
    archive(answer.attempt, answer.service, answer.sending, answer.outcome);
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
    archive(report.attempt, report.service, report.grant, report.target, report.outcome,
            report.time, report.incarnation, report.reportedInFlight, report.load,
            report.misdirected);
}

template <typename Archive>
void serialize(Archive &archive, AttemptReportReceipt &receipt)
{
    archive(receipt.attempt, receipt.service);
}

template <typename Archive>
void serialize(Archive &archive, InFlightAttempt &attempt)
{
    archive(attempt.attempt, attempt.grant, attempt.target, attempt.fingerprint, attempt.route,
            attempt.remaining);
}

template <typename Archive>
void serialize(Archive &archive, InFlightRequest &request)
{
    archive(request.service);
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
