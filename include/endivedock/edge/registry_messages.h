#pragma once

#include "endivedock/core.h"

#include <optional>
#include <string>
#include <vector>

namespace endivedock {

/**
 * One entry of the platform's store as hosts send it to each other; without a value the key was
 * removed.
 */
struct RegistryEntry
{
    std::string key;
    std::optional<std::string> value;
    Revision modRevision;
};

/**
 * Announces the revision of the sender's registry copy; hosts with an older copy then request the
 * changes. Sent by the hosts that read the store: at regular intervals, and for each change that is
 * too large for a datagram.
 */
struct RegistryNotice
{
    Revision revision;
    /** Whether the sender can reach the store and is not draining. */
    bool readsStore = false;
    /** Time since the store last answered the sender, or since the sender started to read. */
    Milliseconds sinceStoreAnswer{0};
};

/** Requests the changes after a revision. */
struct RegistryRequest
{
    Revision knownRevision;
};

/**
 * The registry changes after the revision `from`, up to and including `revision`. A copy of a
 * revision in between has no other entries that were changed after `from`.
 */
struct RegistryDelta
{
    /** Revision after which the changes begin; 0 if the delta contains all entries. */
    Revision from;
    Revision revision;
    std::vector<RegistryEntry> entries;
    /**
     * Whether the removals of keys that were also added after `from` are listed. The sender knows
     * them only if it has seen each change.
     */
    bool hasAllRemovals = true;
    /**
     * Time since the store became reachable again for the sender; absent if that is longer ago than
     * Registry::expiredTargetRetention.
     */
    std::optional<Milliseconds> sinceStoreReconnect;
};

} // namespace endivedock
