#pragma once

#include "endivedock/idempotency/messages.h"
#include "endivedock/shards/shard_map.h"

#include <map>
#include <optional>

namespace endivedock {

/** How a claim ends. */
struct ClaimDecision
{
    /** The run may begin. */
    bool won = false;
    /** Why it must not, where it was not won. */
    Refusal refusal;
};

/**
 * Counts the replicas' answers to one claim. A vote is void once another replica has seen its voter
 * in a later life: the voter has restarted, collected the others' records without this claim, and
 * knows nothing of its vote.
 */
class ClaimTally
{
public:
    explicit ClaimTally(Replicas replicas)
        : m_replicas(std::move(replicas))
    {
    }

    void addAnswer(HostId replica, const ClaimAnswer &answer);
    /** @return the replicas that have not answered */
    std::vector<HostId> unansweredReplicas() const;
    /** @return the end, as soon as no further answer can change it */
    std::optional<ClaimDecision> decide() const;
    /** @return the end when time is up */
    ClaimDecision decideAtTimeout() const;

private:
    std::size_t count(ClaimVerdict verdict) const;
    bool isFromPastIncarnation(HostId replica, Incarnation incarnation) const;
    std::optional<RunState> takenState() const;

    Replicas m_replicas;
    std::map<HostId, ClaimAnswer> m_answers;
};

} // namespace endivedock
