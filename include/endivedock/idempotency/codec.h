#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/idempotency/messages.h"
#include "endivedock/shards/codec.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, ClaimId &id)
{
    archive(id.host, id.request);
}

template <typename Archive>
void serialize(Archive &archive, RunRecord &record)
{
    archive(record.key, record.claim, enumerator(record.state, RunState::MayHaveRun),
            record.remaining);
}

template <typename Archive>
void serialize(Archive &archive, ClaimRequest &request)
{
    archive(request.view, request.key, request.claim);
}

template <typename Archive>
void serialize(Archive &archive, ReplicaIncarnation &incarnation)
{
    archive(incarnation.replica, incarnation.incarnation);
}

template <typename Archive>
void serialize(Archive &archive, ClaimAnswer &answer)
{
    archive(answer.key, answer.claim, enumerator(answer.result, ClaimResult::DifferentView),
            enumerator(answer.state, RunState::MayHaveRun), answer.view, answer.incarnation,
            answer.knownIncarnations);
}

template <typename Archive>
void serialize(Archive &archive, ClaimOutcome &outcome)
{
    archive(outcome.key, outcome.claim, outcome.notRun,
            enumerator(outcome.state, RunState::MayHaveRun));
}

template <typename Archive>
void serialize(Archive &archive, RecordSyncRequest &request)
{
    archive(request.view, request.shards);
}

template <typename Archive>
void serialize(Archive &archive, ShardRecords &records)
{
    archive(records.shard, records.isCompleteForView, records.isCompleteForPreviousView,
            records.records);
}

template <typename Archive>
void serialize(Archive &archive, RecordSyncAnswer &answer)
{
    archive(answer.view, answer.shards);
}

} // namespace endivedock
