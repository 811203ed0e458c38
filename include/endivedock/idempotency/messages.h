#pragma once

#include "endivedock/core.h"
#include "endivedock/shards/messages.h"

#include <vector>

namespace endivedock {

/** Identifies one received request that claims its idempotency key; unique over all hosts. */
struct ClaimId
{
    HostId host;
    RequestId request;

    auto operator<=>(const ClaimId &) const = default;
};

/** State of a run in a replica's record. */
enum class RunState : std::uint8_t {
    /** The replica has accepted a claim; the run may be in progress. */
    Claimed,
    /** The run ended with a response. */
    Answered,
    /** Whether the request has run is unknown, or replicas accepted different claims of the key. */
    MayHaveRun
};

/** The record of one key at one replica. */
struct RunRecord
{
    IdempotencyKeyHash key;
    ClaimId claim;
    RunState state = RunState::Claimed;
    /** Time until the record expires. */
    Milliseconds remaining{0};
};

/** Requests that a replica accepts a claim of a key. */
struct ClaimRequest
{
    ViewNumber view;
    IdempotencyKeyHash key;
    ClaimId claim;
};

/** Result of a claim at one replica. */
enum class ClaimResult : std::uint8_t {
    Accepted,
    /** The replica has a record of another claim of the key. */
    Taken,
    /** The replica may have lost earlier records, or is isolated from most of its view. */
    NotReady,
    /** The requesting host and the replica have installed different views. */
    DifferentView,
};

/** Newest incarnation of a replica that has synchronised its records from the answering replica. */
struct ReplicaIncarnation
{
    HostId replica;
    Incarnation incarnation;
};

/** A replica's answer to a ClaimRequest. */
struct ClaimAnswer
{
    IdempotencyKeyHash key;
    ClaimId claim;
    ClaimResult result = ClaimResult::NotReady;
    /** State of the existing record; meaningful only if the replica has a record of the key. */
    RunState state = RunState::Claimed;
    ViewNumber view;
    /** Incarnation in which the replica voted; the vote is lost if the replica restarts. */
    Incarnation incarnation;
    /** Newest incarnations of other replicas that the answering replica knows; see ClaimTally. */
    std::vector<ReplicaIncarnation> knownIncarnations;
};

/** Notifies the replicas how a claim or its run ended. If notRun is true, they erase the record. */
struct ClaimOutcome
{
    IdempotencyKeyHash key;
    ClaimId claim;
    bool notRun = false;
    RunState state = RunState::MayHaveRun;
};

/** Sent by a recovering replica to get the records of some shards. */
struct RecordSyncRequest
{
    /** View of the requesting host; the receiver installs the view unless it has a newer one. */
    View view;
    std::vector<ShardId> shards;
};

/** The records of one shard at one host. */
struct ShardRecords
{
    ShardId shard;
    /** Whether the records include all that the host has accepted in the requesting host's view. */
    bool isCompleteForView = false;
    /** Whether the records include all that the host accepted in the view before that view. */
    bool isCompleteForPreviousView = false;
    std::vector<RunRecord> records;
};

/** Answer to a RecordSyncRequest. */
struct RecordSyncAnswer
{
    ViewNumber view;
    std::vector<ShardRecords> shards;
};

} // namespace endivedock
