#pragma once

#include "endivedock/gateway.h"
#include "endivedock/idempotency.h"

#include "fleet_agent.h"

#include <map>

namespace endivedock {

/**
 * Implements the gateway's concept RunGuard. Claims the idempotency key of each of this host's
 * requests at the replicas of the key's shard; a majority of the replicas decides a claim, so that
 * a request with the key runs at most once.
 */
class QuorumRunGuard
{
public:
    /** @param fleet  must outlive this object, as must @p metrics */
    QuorumRunGuard(asio::any_io_executor executor, HostId self, FleetAgent &fleet, Metrics &metrics)
        : m_executor(std::move(executor))
        , m_self(self)
        , m_fleet(fleet)
        , m_metrics(metrics)
    {
    }

    /** @return nothing if the claim is won, otherwise the reason why the run must not begin */
    Task<std::optional<Refusal>> claim(RunClaim claim, TimePoint deadline);
    /** Tells the replicas how the run ended. */
    void finish(RunClaim claim, RunOutcome outcome);
    /** Hands a replica's answer to the claim that waits for it. */
    void deliver(HostId replica, const ClaimAnswer &answer);

private:
    struct PendingClaim
    {
        PendingClaim(const asio::any_io_executor &executor, Replicas replicas)
            : tally(std::move(replicas))
            , decision(executor)
        {
        }
        ClaimTally tally;
        OneShotChannel<ClaimDecision> decision;
    };

    void sendToUnansweredReplicas(PendingClaim &pending, const ClaimRequest &request);
    void sendOutcome(const ClaimOutcome &outcome);
    Task<ClaimDecision> collectVotes(ClaimRequest request, TimePoint deadline);

    asio::any_io_executor m_executor;
    HostId m_self;
    FleetAgent &m_fleet;
    Metrics &m_metrics;
    std::map<ClaimId, PendingClaim *> m_pending;
};

} // namespace endivedock
