#pragma once

#include "endivedock/core.h"

#include <string>
#include <vector>

namespace endivedock {

/** One key of the platform's store with its JSON text. */
struct ConfigurationEntry
{
    std::string key;
    std::string value;

    bool operator==(const ConfigurationEntry &) const = default;
};

/** All operator declarations as of one revision of the store. */
struct ConfigurationSnapshot
{
    Revision revision;
    std::vector<ConfigurationEntry> entries;
};

/** Asks a peer for its copy, if newer than @ref newerThan. */
struct ConfigurationRequest
{
    Revision newerThan;
};

} // namespace endivedock
