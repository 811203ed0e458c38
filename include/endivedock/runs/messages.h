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
    RunKey key;
    ClaimId claim;
    RunState state = RunState::Claimed;
    /** Time until the record may be forgotten. */
    Milliseconds remaining{0};
};

struct ClaimRequest
{
    ViewNumber view;
    RunKey key;
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
    OtherView,
};

/** The newest life of a replica that has collected records from the answering one. */
struct ReplicaLife
{
    HostId replica;
    Incarnation incarnation;
};

struct ClaimAnswer
{
    RunKey key;
    ClaimId claim;
    ClaimVerdict verdict = ClaimVerdict::NotReady;
    /** State of the record that has the key. */
    RunState state = RunState::Claimed;
    ViewNumber view;
    /** The life in which the replica voted; its vote is lost with that life. */
    Incarnation life;
    std::vector<ReplicaLife> otherLives;
};

/** Tells the replicas what became of a claim; NotRun erases it. */
struct ClaimFinish
{
    RunKey key;
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
    bool activeInView = false;
    bool activeInPrevious = false;
    std::vector<RunRecord> records;
};

struct RecordSyncAnswer
{
    ViewNumber view;
    std::vector<ShardRecords> shards;
};

} // namespace endivedock
