#pragma once

#include "endivedock/core.h"

#include <string>
#include <vector>

namespace endivedock {

/** One key of the platform's store and its JSON text. */
struct ConfigurationEntry
{
    std::string key;
    std::string value;

    bool operator==(const ConfigurationEntry &) const = default;
};

/** All declarations of the operators at one revision of the store. */
struct ConfigurationSnapshot
{
    Revision revision;
    std::vector<ConfigurationEntry> entries;
};

/** Asks a peer for its configuration snapshot. */
struct ConfigurationRequest
{
    /** Revision that the sender has. The peer replies with its snapshot, whether newer or not. */
    Revision knownRevision;
};

} // namespace endivedock
