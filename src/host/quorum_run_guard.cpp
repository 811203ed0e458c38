#include "quorum_run_guard.h"

#include <algorithm>

namespace endivedock {

namespace {

constexpr Milliseconds resendInterval{40};

} // namespace

Task<std::optional<Refusal>> QuorumRunGuard::claim(RunClaim claim, TimePoint deadline)
{
    const ClaimId id{m_self, claim.request};
    const TimePoint until = std::min(deadline, SteadyClock().now() + RunSettings{}.claimTimeout);
    ClaimRequest request{m_fleet.acceptor().view().number, claim.key, id};
    ClaimDecision decision = co_await collectVotes(request, until);
    if (decision.won)
        co_return std::nullopt;
    // Some replicas may have accepted the claim. They must release the key, or a later attempt of
    // the caller would be refused.
    sendOutcome({claim.key, id, true, RunState::MayHaveRun});
    m_metrics.count("endivedock_claims_refused_total",
                    {{"reason", std::string(describe(decision.refusal.reason).name)}});
    co_return decision.refusal;
}

Task<ClaimDecision> QuorumRunGuard::collectVotes(ClaimRequest request, TimePoint deadline)
{
    const ShardId shard = shardOf(request.key);
    while (true) {
        // Votes of different views do not add up to a majority, so a new view starts a new round.
        request.view = m_fleet.acceptor().view().number;
        PendingClaim pending(m_executor, m_fleet.acceptor().map().replicas(shard));
        m_pending[request.claim] = &pending;
        struct RemovePending
        {
            std::map<ClaimId, PendingClaim *> &pending;
            ClaimId claim;
            ~RemovePending() { pending.erase(claim); }
        } removePending{m_pending, request.claim};
        while (request.view == m_fleet.acceptor().view().number) {
            const TimePoint now = SteadyClock().now();
            if (now >= deadline)
                co_return pending.tally.decideAtTimeout();
            sendToUnansweredReplicas(pending, request);
            const auto decision =
                    co_await pending.decision.wait(std::min(deadline, now + resendInterval));
            if (decision)
                co_return *decision;
        }
    }
}

void QuorumRunGuard::sendToUnansweredReplicas(PendingClaim &pending, const ClaimRequest &request)
{
    const TimePoint now = SteadyClock().now();
    for (const auto &replica : pending.tally.unansweredReplicas()) {
        if (replica == m_self)
            deliver(m_self, m_fleet.acceptor().claim(request, m_fleet.isInMajority(now), now));
        else
            m_fleet.send(replica, request);
    }
}

void QuorumRunGuard::deliver(HostId replica, const ClaimAnswer &answer)
{
    const auto found = m_pending.find(answer.claim);
    if (found == m_pending.end() || answer.view != m_fleet.acceptor().view().number)
        return;
    found->second->tally.addAnswer(replica, answer);
    if (const auto decision = found->second->tally.decide())
        found->second->decision.deliver(*decision);
}

void QuorumRunGuard::sendOutcome(const ClaimOutcome &outcome)
{
    for (const auto &replica : m_fleet.acceptor().map().replicas(shardOf(outcome.key))) {
        if (replica == m_self)
            m_fleet.acceptor().finish(outcome, SteadyClock().now());
        else
            m_fleet.send(replica, outcome);
    }
}

void QuorumRunGuard::finish(RunClaim claim, RunOutcome outcome)
{
    const ClaimId id{m_self, claim.request};
    const RunState state =
            outcome == RunOutcome::Answered ? RunState::Answered : RunState::MayHaveRun;
    sendOutcome({claim.key, id, outcome == RunOutcome::NotRun, state});
}

} // namespace endivedock
