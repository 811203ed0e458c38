#pragma once

#include "endivedock/idempotency/messages.h"
#include "endivedock/shards/shard_map.h"

#include <map>
#include <optional>

namespace endivedock {

/** Decision on a claim, made from the answers of the replicas. */
struct ClaimDecision
{
    /** Whether the run may start. */
    bool won = false;
    /** Why the run must not start; valid if the claim was not won. */
    Refusal refusal;
};

/**
 * Counts the replicas' answers to one claim; the answer Accepted is the replica's vote. A vote is
 * void if another replica reports a later incarnation of the voter: the voter has restarted, has
 * synchronised its records with the other replicas before they had this claim, and has lost its
 * vote. Not thread-safe.
 */
class ClaimTally
{
public:
    explicit ClaimTally(Replicas replicas)
        : m_replicas(std::move(replicas))
    {
    }

    void addAnswer(HostId replica, const ClaimAnswer &answer);
    /** @return the replicas without a final answer, to which the claim may be sent again */
    std::vector<HostId> unansweredReplicas() const;
    /** @return the decision, as soon as no further answer can change it */
    std::optional<ClaimDecision> decide() const;
    /** @return the decision when the claim has timed out and no further answers are awaited */
    ClaimDecision decideAtTimeout() const;

private:
    std::size_t count(ClaimResult result) const;
    bool isFromPastIncarnation(HostId replica, Incarnation incarnation) const;
    /** @return the state of another claim's run; absent if no replica answered Taken */
    std::optional<RunState> takenState() const;

    Replicas m_replicas;
    std::map<HostId, ClaimAnswer> m_answers;
};

} // namespace endivedock
