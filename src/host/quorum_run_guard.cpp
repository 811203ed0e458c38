#include "quorum_run_guard.h"

#include <algorithm>

namespace endivedock {

namespace {

constexpr Milliseconds resendTime{40};

} // namespace

Task<std::optional<Refusal>> QuorumRunGuard::claim(RunClaim claim, TimePoint deadline)
{
    const ClaimId id{m_self, claim.request};
    const TimePoint until = std::min(deadline, SteadyClock().now() + RunSettings{}.claimTimeout);
    ClaimRequest request{m_fleet.acceptor().view().number, claim.key, id};
    ClaimDecision decision = co_await vote(request, until);
    if (decision.won)
        co_return std::nullopt;
    // What some replicas have accepted must not keep the key from later sendings.
    sendFinish({claim.key, id, true, RunState::MayHaveRun});
    m_metrics.count("endivedock_claims_refused_total",
                    {{"reason", std::string(describe(decision.refusal.reason).name)}});
    co_return decision.refusal;
}

Task<ClaimDecision> QuorumRunGuard::vote(ClaimRequest request, TimePoint deadline)
{
    const ShardId shard = shardOf(request.key);
    while (true) {
        // Each round counts the votes of one view only.
        request.view = m_fleet.acceptor().view().number;
        Pending pending(m_executor, m_fleet.acceptor().map().replicas(shard));
        m_pending[request.claim] = &pending;
        struct Forget
        {
            std::map<ClaimId, Pending *> &pending;
            ClaimId claim;
            ~Forget() { pending.erase(claim); }
        } forget{m_pending, request.claim};
        while (request.view == m_fleet.acceptor().view().number) {
            const TimePoint now = SteadyClock().now();
            if (now >= deadline)
                co_return pending.vote.decideAtTimeout();
            sendClaim(pending, request);
            const auto decision =
                    co_await pending.decision.wait(std::min(deadline, now + resendTime));
            if (decision)
                co_return *decision;
        }
    }
}

void QuorumRunGuard::sendClaim(Pending &pending, const ClaimRequest &request)
{
    const TimePoint now = SteadyClock().now();
    for (const auto &replica : pending.vote.unansweredReplicas()) {
        if (replica == m_self)
            deliver(m_self, m_fleet.acceptor().claim(request, m_fleet.connected(now), now));
        else
            m_fleet.send(replica, request);
    }
}

void QuorumRunGuard::deliver(HostId replica, const ClaimAnswer &answer)
{
    const auto found = m_pending.find(answer.claim);
    if (found == m_pending.end() || answer.view != m_fleet.acceptor().view().number)
        return;
    found->second->vote.addAnswer(replica, answer);
    if (const auto decision = found->second->vote.decide())
        found->second->decision.deliver(*decision);
}

void QuorumRunGuard::sendFinish(const ClaimOutcome &finish)
{
    for (const auto &replica : m_fleet.acceptor().map().replicas(shardOf(finish.key))) {
        if (replica == m_self)
            m_fleet.acceptor().finish(finish, SteadyClock().now());
        else
            m_fleet.send(replica, finish);
    }
}

void QuorumRunGuard::finish(RunClaim claim, RunOutcome end)
{
    const ClaimId id{m_self, claim.request};
    const RunState state = end == RunOutcome::Answered ? RunState::Answered : RunState::MayHaveRun;
    sendFinish({claim.key, id, end == RunOutcome::NotRun, state});
}

} // namespace endivedock
