#pragma once

#include "endivedock/core.h"
#include "endivedock/shards/messages.h"

#include <vector>

namespace endivedock {

/** One sending of a caller's request that claims its key; unique over all hosts. */
struct ClaimId
{
    HostId host;
    RequestId request;

    auto operator<=>(const ClaimId &) const = default;
};

/** What became of a run, as far as a record tells. */
enum class RunState : std::uint8_t { Claimed, Answered, MayHaveRun };

/** The record of one key at one host. */
struct RunRecord
{
    IdempotencyKeyHash key;
    ClaimId claim;
    RunState state = RunState::Claimed;
    /** Time until the record may be forgotten. */
    Milliseconds remaining{0};
};

struct ClaimRequest
{
    ViewNumber view;
    IdempotencyKeyHash key;
    ClaimId claim;
};

/** What a replica says of a claim. */
enum class ClaimVerdict : std::uint8_t {
    Accepted,
    /** Another claim has the key. */
    Taken,
    /** The replica cannot vouch for what was there before. */
    NotReady,
    /** The two hosts know different views. */
    DifferentView,
};

/** The newest life of a replica that has collected records from the answering one. */
struct ReplicaIncarnation
{
    HostId replica;
    Incarnation incarnation;
};

struct ClaimAnswer
{
    IdempotencyKeyHash key;
    ClaimId claim;
    ClaimVerdict verdict = ClaimVerdict::NotReady;
    /** State of the record that has the key. */
    RunState state = RunState::Claimed;
    ViewNumber view;
    /** The life in which the replica voted; its vote is lost with that life. */
    Incarnation incarnation;
    std::vector<ReplicaIncarnation> knownIncarnations;
};

/** Tells the replicas what became of a claim; NotRun erases it. */
struct ClaimOutcome
{
    IdempotencyKeyHash key;
    ClaimId claim;
    bool notRun = false;
    RunState state = RunState::MayHaveRun;
};

/** A replica that lacks records asks for those of some shards. */
struct RecordSyncRequest
{
    /** The asking host's view; the asked host takes part in no older one from now on. */
    View view;
    std::vector<ShardId> shards;
};

/** What a host has of one shard. */
struct ShardRecords
{
    ShardId shard;
    /** It has all that it accepted in the asking host's view, or in the one before that. */
    bool isCompleteForView = false;
    bool isCompleteForPreviousView = false;
    std::vector<RunRecord> records;
};

struct RecordSyncAnswer
{
    ViewNumber view;
    std::vector<ShardRecords> shards;
};

} // namespace endivedock
