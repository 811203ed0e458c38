#pragma once

#include "endivedock/usage/usage_window.h"

#include <optional>
#include <utility>
#include <vector>

namespace endivedock {

/** Requests of one team that one host has counted so far. */
struct TeamCount
{
    TeamId team;
    std::uint32_t count = 0;
};

/**
 * Cumulative counts of one host in one window, for all teams or for some. A host sends its own to
 * the hosts that collect them. Without teams, requests all counts that the receiver holds; a host
 * sends this when it starts to collect.
 */
struct UsageCounts
{
    /** The host that counted, and when it started, as Unix time in milliseconds. */
    HostId host;
    Incarnation incarnation;
    UsageWindow window;
    std::vector<TeamCount> teams;
};

/** @return the counts in two messages; nothing if there is only one team */
std::optional<std::pair<UsageCounts, UsageCounts>> divide(const UsageCounts &message);

} // namespace endivedock
