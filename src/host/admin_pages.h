#pragma once

#include "endivedock/net.h"

#include "fleet.h"

#include <string>

namespace endivedock {

/** What the admin pages show; references are valid during one call. */
struct HostView
{
    const HostSettings &settings;
    const NewestConfiguration &configuration;
    PlacementHost &placers;
    const Fleet &fleet;
    Metrics &metrics;
    std::uint64_t storeCalls;
    bool leaving;
};

/** @return the page at @p path: /metrics, /ready, /status, /fleet or /moves */
HttpResult renderAdminPage(const std::string &path, const HostView &host);

} // namespace endivedock
