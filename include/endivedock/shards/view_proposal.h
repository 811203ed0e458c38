#pragma once

#include "endivedock/shards/messages.h"

#include <optional>
#include <vector>

namespace endivedock {

/** A host as the proposer sees it. */
struct MemberCandidate
{
    ViewMember member;
    bool isLive = false;
    /** Silent for so long that it counts as dead. */
    bool dead = false;
    bool leaving = false;
    /** The platform's list names it; unknown counts as listed. */
    bool listed = true;
    /** The view in which it is a full member. */
    ViewNumber activeView;
};

/**
 * Decides whether the view must change: live hosts come in, dead ones go. A minority cut off from
 * the others changes nothing unless the platform's list confirms that they are gone, and a view
 * changes only when all its live members are full members, so that nothing held is lost between.
 *
 * @param current     the present view; number 0 if there is none
 * @param candidates  all hosts that are known, this one included
 * @param settled     the present view is so old that records from before it no longer matter
 * @return the next view, without a number, or nothing
 */
std::optional<View> proposeView(const View &current, const std::vector<MemberCandidate> &candidates,
                                bool settled);

} // namespace endivedock
