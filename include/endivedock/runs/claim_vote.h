#pragma once

#include "endivedock/runs/messages.h"
#include "endivedock/shards/view_map.h"

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
class ClaimVote
{
public:
    explicit ClaimVote(Replicas replicas)
        : m_replicas(std::move(replicas))
    {
    }

    void take(HostId replica, const ClaimAnswer &answer);
    /** @return the replicas that have not answered */
    std::vector<HostId> missing() const;
    /** @return the end, as soon as no further answer can change it */
    std::optional<ClaimDecision> decide() const;
    /** @return the end when time is up */
    ClaimDecision giveUp() const;

private:
    std::size_t count(ClaimVerdict verdict) const;
    bool outlived(HostId replica, Incarnation life) const;
    std::optional<RunState> takenState() const;

    Replicas m_replicas;
    std::map<HostId, ClaimAnswer> m_answers;
};

} // namespace endivedock
