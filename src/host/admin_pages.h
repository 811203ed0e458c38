#pragma once

#include "endivedock/net.h"

#include "fleet_agent.h"

#include <string>

namespace endivedock {

/** What the admin pages show; references are valid during one call. */
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

/** @return the page at @p path: /metrics, /ready, /status, /fleet or /moves */
HttpServerResponse renderAdminPage(const std::string &path, const AdminPageContext &host);

} // namespace endivedock
