#pragma once

#include "endivedock/core.h"
#include "endivedock/placement/messages.h"
#include "endivedock/selection.h"

#include <optional>

namespace endivedock {

/** A target as it registered itself. */
struct RegisteredTarget
{
    TargetId id;
    ServiceId service;
    Address address;
    ZoneId zone;
    VersionId version;
    /** Number of requests that the target runs concurrently. */
    Slots slots{1};
    bool isDraining = false;
    /** Remaining warm-up time of the target at the time when it wrote this entry. */
    Milliseconds remainingWarmup{0};
    /** Unix time of the target's start in milliseconds; distinguishes restarts under one id. */
    std::optional<std::int64_t> startedAt;
    /** Grows with each entry that the process writes. */
    std::int64_t sequence = 0;
    /** The store's revision of the entry. */
    Revision revision;
};

/** @return the process that wrote the entry */
inline TargetProcess processOf(const RegisteredTarget &registered)
{
    return {registered.id, registered.address, registered.startedAt};
}

/** The contents of a target's response to a health probe. */
struct ProbeResult
{
    bool isHealthy = false;
    /** The target that responded at the address; may differ from the probed target. */
    std::optional<TargetId> id;
    std::optional<Milliseconds> remainingWarmup;
    std::optional<ReportedLoad> load;
};

} // namespace endivedock
