#pragma once

#include "endivedock/admission/admission_limits.h"
#include "endivedock/balancing.h"
#include "endivedock/core.h"
#include "endivedock/telemetry.h"
#include "endivedock/usage/usage_window.h"

#include <optional>
#include <string>
#include <vector>

namespace endivedock {

/** Start-up settings of one edge host. */
struct EdgeSettings
{
    /** Stable name of the host. */
    std::string name;
    ZoneId zone;
    /** Listening address for callers, over HTTP. */
    Address callers;
    /**
     * Listening address of the readiness check, by which the load balancer in front of the hosts
     * decides whether to send connections to this host.
     */
    Address readiness;
    /** Listening address for metrics and status; absent if they are not served. */
    std::optional<Address> admin;
    /** Listening address for the other hosts, over UDP datagrams and TCP streams. */
    Address peer;
    /** Peer addresses of the hosts from which the first registry copy is requested. */
    std::vector<Address> seeds;
    Address store;
    /** Whether other hosts request their first registry copy from this host. */
    bool isSeed = false;
    /**
     * Whether the whole fleet starts for the first time. There is then time to share the first
     * registry copy: hosts that are not seeds wait for a copy from a seed before they read the
     * store.
     */
    bool isFleetBootstrap = false;
    /** Memory and descriptors of the host's process. */
    MachineLimits machine;
    /** Processor share of the host, in cores. */
    double capacity = 1;
    /** Key that seals the messages between hosts: 32 bytes in hexadecimal. */
    std::string peerKey;
    BalancingSettings balancing;
    /**
     * A key may be accepted for this long after a configuration that withdraws it was acknowledged,
     * whatever this host is cut off from; absent if withdrawals are not bounded.
     */
    std::optional<Milliseconds> withdrawalBound;
    /** New connections are still accepted for this time after a stop signal. */
    Milliseconds drainDelay{2500};
    /** The process ends this long after a stop signal at the latest, even if requests still run. */
    Milliseconds shutdownTimeout{5500};
    /** How the usage of teams is reported; absent if it is not. */
    std::optional<UsageSettings> usage;
    LogLevel logLevel = LogLevel::Info;
};

/** @return the id of a host: a 32-bit hash of its name */
HostId hostIdOf(const std::string &name);

} // namespace endivedock
