#pragma once

#include "endivedock/balancing.h"
#include "endivedock/core.h"
#include "endivedock/moves.h"

#include <optional>
#include <string>
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

/** Sent to a relay about 20 times a second. */
struct HostNews
{
    /** Newest revision of the platform's store that the sender has taken over. */
    Revision registry;
    std::vector<ServiceNews> services;
};

/** What all other hosts know of one service. */
struct ServicePicture
{
    ServiceId service;
    std::vector<TargetNews> others;
    std::optional<MoveProgress> move;
};

/** The relay's reply to HostNews. */
struct HostPicture
{
    Revision registry;
    std::vector<ServicePicture> services;
};

/** One key of the platform's store, as hosts hand it on. */
struct RegistryEntry
{
    std::string key;
    std::string value;
    Revision modified;
};

/** Asks for a newer copy of what the platform's store holds, while the store cannot be reached. */
struct RegistryRequest
{
    Revision known;
};

struct RegistryCopy
{
    Revision revision;
    std::vector<RegistryEntry> entries;
};

} // namespace endivedock
