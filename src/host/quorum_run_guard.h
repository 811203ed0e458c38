#pragma once

#include "endivedock/gateway.h"
#include "endivedock/idempotency.h"

#include "fleet_agent.h"

#include <map>

namespace endivedock {

/** Claims keys at their replicas for this host's requests; the RunGuard of the gateway. */
class QuorumRunGuard
{
public:
    /** @param fleet  outlives this object */
    QuorumRunGuard(asio::any_io_executor executor, HostId self, FleetAgent &fleet, Metrics &metrics)
        : m_executor(std::move(executor))
        , m_self(self)
        , m_fleet(fleet)
        , m_metrics(metrics)
    {
    }

    Task<std::optional<Refusal>> claim(RunClaim claim, TimePoint deadline);
    void finish(RunClaim claim, RunOutcome end);
    void deliver(HostId replica, const ClaimAnswer &answer);

private:
    struct Pending
    {
        Pending(const asio::any_io_executor &executor, Replicas replicas)
            : vote(std::move(replicas))
            , decision(executor)
        {
        }
        ClaimTally vote;
        OneShotChannel<ClaimDecision> decision;
    };

    void sendClaim(Pending &pending, const ClaimRequest &request);
    void sendFinish(const ClaimOutcome &finish);
    Task<ClaimDecision> vote(ClaimRequest request, TimePoint deadline);

    asio::any_io_executor m_executor;
    HostId m_self;
    FleetAgent &m_fleet;
    Metrics &m_metrics;
    std::map<ClaimId, Pending *> m_pending;
};

} // namespace endivedock
