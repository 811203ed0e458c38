#pragma once

#include "endivedock/core.h"

#include <optional>
#include <string>
#include <vector>

namespace endivedock {

/** One key of the platform's store, as hosts hand it on; without a value it was removed. */
struct RegistryEntry
{
    std::string key;
    std::optional<std::string> value;
    Revision modRevision;
};

/** Sent by hosts that read the store, regularly and at each change that is too long to push. */
struct RegistryNotice
{
    Revision revision;
    /** Whether the sender can reach the store. */
    bool readsStore = false;
};

/** Asks for what has changed after a revision. */
struct RegistryRequest
{
    Revision known;
};

/** The changes after one revision, up to and including another. */
struct RegistryDelta
{
    /** Revision from which the changes lead on; 0 if they are all there is. */
    Revision from;
    Revision revision;
    std::vector<RegistryEntry> entries;
    /** Time since the sender regained the store, if that was lately. */
    std::optional<Milliseconds> sinceStoreReconnect;
};

} // namespace endivedock
