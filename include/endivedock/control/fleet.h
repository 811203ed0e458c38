#pragma once

#include "endivedock/core.h"
#include "endivedock/net.h"

#include <string>
#include <vector>

namespace endivedock {

/** One entry host as another entry host knows it. */
struct FleetMember
{
    HostId host;
    std::string zone;
    /** "live", "suspect", "dead" or "leaving". */
    std::string state;
    /** Revision of the configuration that the host has. */
    Revision revision;
    /** Time since the last heartbeat of the host. */
    Milliseconds age{0};
};

/**
 * Reads the page /fleet of one entry host.
 *
 * @throws HttpError if @p admin does not answer with status 200
 * @throws JsonError if the page is malformed
 */
Task<std::vector<FleetMember>> readFleet(asio::any_io_executor executor, Address admin);

/** Number of entry hosts on which a revision is in force, and the hosts that lag behind. */
struct PropagationStatus
{
    std::size_t hostCount = 0;
    std::size_t upToDateHostCount = 0;
    std::vector<HostId> laggingHosts;

    bool isComplete() const { return hostCount > 0 && upToDateHostCount == hostCount; }
};

/**
 * Counts the members that have @p revision or a newer one. Members in the state "dead" are left
 * out; a member that does not respond counts with its last known revision.
 */
PropagationStatus checkPropagation(const std::vector<FleetMember> &fleet, Revision revision);

} // namespace endivedock
