#include "endivedock/idempotency/claim_tally.h"

#include <algorithm>

namespace endivedock {

namespace {

Refusal refusalFor(RunState state)
{
    // An earlier request with the same key has run or may have run.
    if (state == RunState::Claimed)
        return {RefusalReason::RunInProgress, RunCertainty::MayHaveRun};
    return {RefusalReason::AlreadyRun, RunCertainty::MayHaveRun};
}

} // namespace

void ClaimTally::addAnswer(HostId replica, const ClaimAnswer &answer)
{
    if (std::find(m_replicas.begin(), m_replicas.end(), replica) == m_replicas.end())
        return;
    // NotReady and DifferentView are not final: the claim may be sent to the replica again.
    const auto known = m_answers.find(replica);
    const bool final = known != m_answers.end() && (known->second.result == ClaimResult::Accepted ||
                                                    known->second.result == ClaimResult::Taken);
    if (!final)
        m_answers[replica] = answer;
}

std::vector<HostId> ClaimTally::unansweredReplicas() const
{
    std::vector<HostId> result;
    for (const auto &replica : m_replicas) {
        const auto answer = m_answers.find(replica);
        const bool isUnanswered = answer == m_answers.end() ||
                                  answer->second.result == ClaimResult::NotReady ||
                                  answer->second.result == ClaimResult::DifferentView;
        if (isUnanswered)
            result.push_back(replica);
    }
    return result;
}

bool ClaimTally::isFromPastIncarnation(HostId replica, Incarnation incarnation) const
{
    for (const auto &[other, answer] : m_answers) {
        for (const auto &seen : answer.knownIncarnations) {
            if (seen.replica == replica && seen.incarnation > incarnation)
                return true;
        }
    }
    return false;
}

std::size_t ClaimTally::count(ClaimResult result) const
{
    return static_cast<std::size_t>(
            std::count_if(m_answers.begin(), m_answers.end(), [&](const auto &entry) {
                const bool isValid = result != ClaimResult::Accepted ||
                                     !isFromPastIncarnation(entry.first, entry.second.incarnation);
                return isValid && entry.second.result == result;
            }));
}

std::optional<RunState> ClaimTally::takenState() const
{
    std::optional<RunState> state;
    for (const auto &[replica, answer] : m_answers) {
        if (answer.result != ClaimResult::Taken)
            continue;
        // A record of a run that has ended takes precedence over a record in the state Claimed.
        if (!state || *state == RunState::Claimed)
            state = answer.state;
    }
    return state;
}

std::optional<ClaimDecision> ClaimTally::decide() const
{
    const std::size_t majority = majorityOf(m_replicas);
    const auto state = takenState();
    if (state && *state != RunState::Claimed)
        return ClaimDecision{false, refusalFor(*state)};
    if (!m_replicas.empty() && count(ClaimResult::Accepted) >= majority)
        return ClaimDecision{true, {}};
    if (count(ClaimResult::Taken) + majority > m_replicas.size())
        return ClaimDecision{false, refusalFor(*state)};
    return std::nullopt;
}

ClaimDecision ClaimTally::decideAtTimeout() const
{
    if (const auto state = takenState())
        return {false, refusalFor(*state)};
    // Too few replicas have answered to rule out that an earlier request with the key has run.
    return {false, {RefusalReason::RunRecordUnavailable, RunCertainty::MayHaveRun}};
}

} // namespace endivedock
