#include "endivedock/shards/view_proposal.h"

#include "endivedock/shards/shard_map.h"

#include <algorithm>

namespace endivedock {

namespace {

const MemberCandidate *findCandidate(const std::vector<MemberCandidate> &candidates, HostId id)
{
    for (const auto &candidate : candidates) {
        if (candidate.member.id == id)
            return &candidate;
    }
    return nullptr;
}

bool keeps(const MemberCandidate *candidate)
{
    return candidate != nullptr && !(candidate->dead || (candidate->leaving && !candidate->listed));
}

/** What the present members' states allow. */
struct Standing
{
    std::size_t isLive = 0;
    std::size_t removed = 0;
    std::size_t removedUnlisted = 0;
    bool allActive = true;
};

Standing standingOf(const View &current, const std::vector<MemberCandidate> &candidates)
{
    Standing standing;
    for (const auto &member : current.members) {
        const MemberCandidate *candidate = findCandidate(candidates, member.id);
        if (candidate != nullptr && candidate->isLive) {
            ++standing.isLive;
            standing.allActive = standing.allActive && candidate->activeView == current.number;
        }
        if (!keeps(candidate)) {
            ++standing.removed;
            standing.removedUnlisted += candidate == nullptr || !candidate->listed ? 1 : 0;
        }
    }
    return standing;
}

std::vector<ViewMember> nextMembers(const View &current,
                                    const std::vector<MemberCandidate> &candidates)
{
    std::vector<ViewMember> members;
    for (const auto &candidate : candidates) {
        const bool present = findMember(current.members, candidate.member.id) != nullptr;
        const bool joins = candidate.isLive && !candidate.leaving;
        if (present ? keeps(&candidate) : joins)
            members.push_back(candidate.member);
    }
    std::sort(members.begin(), members.end(),
              [](const ViewMember &a, const ViewMember &b) { return a.id < b.id; });
    return members;
}

bool sameHosts(const std::vector<ViewMember> &a, const std::vector<ViewMember> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const ViewMember &x, const ViewMember &y) { return x.id == y.id; });
}

} // namespace

std::optional<View> proposeView(const View &current, const std::vector<MemberCandidate> &candidates,
                                bool settled)
{
    View next;
    next.members = nextMembers(current, candidates);
    next.previousNumber = current.number;
    next.previous = current.members;
    if (next.members.empty() || sameHosts(next.members, current.members))
        return std::nullopt;
    if (current.members.empty())
        return next;
    const Standing standing = standingOf(current, candidates);
    const bool majority = standing.isLive * 2 > current.members.size();
    const bool confirmed = standing.removed == standing.removedUnlisted;
    if (!majority && !confirmed)
        return std::nullopt;
    if (!standing.allActive && !settled)
        return std::nullopt;
    return next;
}

} // namespace endivedock
