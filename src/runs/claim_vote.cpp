#include "endivedock/runs/claim_vote.h"

#include <algorithm>

namespace endivedock {

namespace {

Refusal refusalFor(RunState state)
{
    // An earlier copy of the request has, or may have, run.
    if (state == RunState::Claimed)
        return {RefusalReason::RunInProgress, RunCertainty::MayHaveRun};
    return {RefusalReason::AlreadyRun, RunCertainty::MayHaveRun};
}

} // namespace

void ClaimVote::take(HostId replica, const ClaimAnswer &answer)
{
    if (std::find(m_replicas.begin(), m_replicas.end(), replica) == m_replicas.end())
        return;
    // A replica that was not ready may be asked again.
    const auto known = m_answers.find(replica);
    const bool final =
            known != m_answers.end() && (known->second.verdict == ClaimVerdict::Accepted ||
                                         known->second.verdict == ClaimVerdict::Taken);
    if (!final)
        m_answers[replica] = answer;
}

std::vector<HostId> ClaimVote::missing() const
{
    std::vector<HostId> result;
    for (const auto &replica : m_replicas) {
        const auto answer = m_answers.find(replica);
        const bool waiting = answer == m_answers.end() ||
                             answer->second.verdict == ClaimVerdict::NotReady ||
                             answer->second.verdict == ClaimVerdict::OtherView;
        if (waiting)
            result.push_back(replica);
    }
    return result;
}

bool ClaimVote::outlived(HostId replica, Incarnation life) const
{
    for (const auto &[other, answer] : m_answers) {
        for (const auto &seen : answer.otherLives) {
            if (seen.replica == replica && seen.incarnation > life)
                return true;
        }
    }
    return false;
}

std::size_t ClaimVote::count(ClaimVerdict verdict) const
{
    return static_cast<std::size_t>(
            std::count_if(m_answers.begin(), m_answers.end(), [&](const auto &entry) {
                const bool counts = verdict != ClaimVerdict::Accepted ||
                                    !outlived(entry.first, entry.second.life);
                return counts && entry.second.verdict == verdict;
            }));
}

std::optional<RunState> ClaimVote::takenState() const
{
    std::optional<RunState> state;
    for (const auto &[replica, answer] : m_answers) {
        if (answer.verdict != ClaimVerdict::Taken)
            continue;
        // A run that has ended outweighs one that is only claimed.
        if (!state || *state == RunState::Claimed)
            state = answer.state;
    }
    return state;
}

std::optional<ClaimDecision> ClaimVote::decide() const
{
    const std::size_t majority = majorityOf(m_replicas);
    const auto state = takenState();
    if (state && *state != RunState::Claimed)
        return ClaimDecision{false, refusalFor(*state)};
    if (!m_replicas.empty() && count(ClaimVerdict::Accepted) >= majority)
        return ClaimDecision{true, {}};
    if (count(ClaimVerdict::Taken) + majority > m_replicas.size())
        return ClaimDecision{false, refusalFor(*state)};
    return std::nullopt;
}

ClaimDecision ClaimVote::giveUp() const
{
    if (const auto state = takenState())
        return {false, refusalFor(*state)};
    // Too few replicas can be asked whether an earlier copy has run.
    return {false, {RefusalReason::RunRecordUnavailable, RunCertainty::MayHaveRun}};
}

} // namespace endivedock
