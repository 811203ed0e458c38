#pragma once

#include "endivedock/net.h"

#include "fleet_agent.h"

#include <string>

namespace endivedock {

/** The parts of a host that the admin pages read. The references are valid during one call. */
struct AdminPageContext
{
    const HostSettings &settings;
    const NewestConfiguration &configuration;
    LocalPlacers &placers;
    const FleetAgent &fleet;
    Metrics &metrics;
    std::uint64_t storeCalls;
    bool leaving;
};

/** @return the page at /metrics, /ready, /status, /fleet or /moves, or status 404 at other paths */
HttpServerResponse renderAdminPage(const std::string &path, const AdminPageContext &context);

} // namespace endivedock
