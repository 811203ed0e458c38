#pragma once

#include "endivedock/shards/messages.h"

#include <optional>
#include <vector>

namespace endivedock {

/** State of a host as seen by the proposing host. */
struct MemberCandidate
{
    ViewMember member;
    bool isLive = false;
    /** No heartbeat has arrived for so long that the host is to be removed. */
    bool dead = false;
    bool leaving = false;
    /** Whether the platform's list of hosts names the host; true while the list is unknown. */
    bool listed = true;
    /** Newest view in which the host accepts claims of keys for all shards that it replicates. */
    ViewNumber activeView;
};

/**
 * Decides whether the view must change. Live hosts are added, dead hosts are removed. A minority of
 * the members, which may be partitioned from the others, can change the view only if the platform's
 * list confirms that all removed members are gone. A view is replaced only after all its live
 * members have become active in it, or after all run records from before it have expired, so that
 * no run record is lost between two view changes. RunAcceptor keeps the run records.
 *
 * @param current                 the current view; number 0 if there is none
 * @param candidates              all known hosts, including this one
 * @param previousRecordsExpired  whether all run records from before the current view have expired
 * @return the next view without a number; absent if the view stays
 */
std::optional<View> proposeView(const View &current, const std::vector<MemberCandidate> &candidates,
                                bool previousRecordsExpired);

} // namespace endivedock
