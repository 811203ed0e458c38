#pragma once

#include "endivedock/core.h"
#include "endivedock/net.h"

#include <string>
#include <vector>

namespace endivedock {

/** One entry host as another one knows it. */
struct FleetMember
{
    HostId host;
    std::string zone;
    std::string state;
    Revision revision;
    /** Since its last sign of life. */
    Milliseconds age{0};
};

/** @throws HttpError or JsonError if @p admin gives no such list */
Task<std::vector<FleetMember>> readFleet(asio::any_io_executor executor, Address admin);

/** Whether a change is in force everywhere, and where it is not. */
struct PropagationStatus
{
    std::size_t hosts = 0;
    std::size_t upToDateHosts = 0;
    std::vector<HostId> laggingHosts;

    bool isComplete() const { return hosts > 0 && upToDateHosts == hosts; }
};

/** Judges by every member that is not known to be dead: one that is silent counts as missing. */
PropagationStatus checkPropagation(const std::vector<FleetMember> &fleet, Revision revision);

} // namespace endivedock
