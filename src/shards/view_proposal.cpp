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

bool staysMember(const MemberCandidate *candidate)
{
    return candidate != nullptr && !(candidate->dead || (candidate->leaving && !candidate->listed));
}

/** Numbers and states of the members of the current view. */
struct MemberSummary
{
    std::size_t liveMembers = 0;
    std::size_t removedMembers = 0;
    std::size_t removedUnlistedMembers = 0;
    bool areLiveMembersActive = true;
};

MemberSummary summarizeMembers(const View &current, const std::vector<MemberCandidate> &candidates)
{
    MemberSummary summary;
    for (const auto &member : current.members) {
        const MemberCandidate *candidate = findCandidate(candidates, member.id);
        if (candidate != nullptr && candidate->isLive) {
            ++summary.liveMembers;
            summary.areLiveMembersActive =
                    summary.areLiveMembersActive && candidate->activeView == current.number;
        }
        if (!staysMember(candidate)) {
            ++summary.removedMembers;
            summary.removedUnlistedMembers += candidate == nullptr || !candidate->listed ? 1 : 0;
        }
    }
    return summary;
}

std::vector<ViewMember> nextMembers(const View &current,
                                    const std::vector<MemberCandidate> &candidates)
{
    std::vector<ViewMember> members;
    for (const auto &candidate : candidates) {
        const bool isMember = findMember(current.members, candidate.member.id) != nullptr;
        const bool mayJoin = candidate.isLive && !candidate.leaving;
        if (isMember ? staysMember(&candidate) : mayJoin)
            members.push_back(candidate.member);
    }
    std::sort(members.begin(), members.end(),
              [](const ViewMember &a, const ViewMember &b) { return a.id < b.id; });
    return members;
}

bool haveSameHosts(const std::vector<ViewMember> &a, const std::vector<ViewMember> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const ViewMember &x, const ViewMember &y) { return x.id == y.id; });
}

} // namespace

std::optional<View> proposeView(const View &current, const std::vector<MemberCandidate> &candidates,
                                bool previousRecordsExpired)
{
    View next;
    next.members = nextMembers(current, candidates);
    next.previousNumber = current.number;
    next.previous = current.members;
    if (next.members.empty() || haveSameHosts(next.members, current.members))
        return std::nullopt;
    if (current.members.empty())
        return next;
    const MemberSummary summary = summarizeMembers(current, candidates);
    const bool hasMajority = summary.liveMembers * 2 > current.members.size();
    const bool isRemovalConfirmed = summary.removedMembers == summary.removedUnlistedMembers;
    if (!hasMajority && !isRemovalConfirmed)
        return std::nullopt;
    if (!summary.areLiveMembersActive && !previousRecordsExpired)
        return std::nullopt;
    return next;
}

} // namespace endivedock
