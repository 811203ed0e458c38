#pragma once

#include "endivedock/balancing.h"
#include "endivedock/core.h"
#include "endivedock/telemetry.h"

#include <string>
#include <vector>

namespace endivedock {

/** What one entry host of this kind is told at its start. */
struct EdgeSettings
{
    /** Stable name of the host. */
    std::string name;
    ZoneId zone;
    /** For callers, over HTTP. */
    Address callers;
    /** Tells the balancer in front whether to send connections here. */
    Address readiness;
    /** Metrics and status; absent if none is served. */
    std::optional<Address> admin;
    /** For other entry hosts: datagrams and streams. */
    Address peer;
    /** Where other hosts may be, to begin with. */
    std::vector<Address> seeds;
    Address store;
    /** Other hosts begin with a copy from this one. */
    bool isSeed = false;
    /** The whole fleet starts for the first time, so that there is time to share the first copy. */
    bool isFleetBootstrap = false;
    /** Processor share of the host. */
    double capacity = 1;
    /** Key of the peer protocol, 32 bytes in hexadecimal. */
    std::string peerKey;
    BalancingSettings balancing;
    /** After a signal to stop, new connections are taken for this time. */
    Milliseconds drainDelay{2500};
    /** After this time the process ends, whatever is in progress. */
    Milliseconds shutdownTimeout{5500};
    LogLevel logLevel = LogLevel::Info;
};

/** @return a host's id, from its name */
HostId hostIdOf(const std::string &name);

} // namespace endivedock
