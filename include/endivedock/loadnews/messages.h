#pragma once

#include "endivedock/balancing.h"
#include "endivedock/core.h"
#include "endivedock/moves.h"

#include <optional>
#include <vector>

namespace endivedock {

/** What one host knows first hand of one service. */
struct ServiceNews
{
    ServiceId service;
    std::vector<TargetNews> targets;
    /** Answers during a running move, since the last message. */
    std::vector<MoveAnswer> answers;
    /** How far the host knows the running move to be. */
    std::optional<MoveProgress> move;
};

/** Sent to the placing hosts several times a second. */
struct HostNews
{
    std::vector<ServiceNews> services;
};

/** What all other hosts know of one service. */
struct ServicePicture
{
    ServiceId service;
    std::vector<TargetNews> others;
    std::optional<MoveProgress> move;
};

/** The placing host's reply to HostNews. */
struct HostPicture
{
    std::vector<ServicePicture> services;
};

} // namespace endivedock
