#pragma once

#include "endivedock/core.h"
#include "endivedock/placement/messages.h"

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
    Slots slots{1};
    bool draining = false;
    /** Time for which it was still cold when it wrote this. */
    Milliseconds remainingWarmup{0};
    /** Unix time of its start, in milliseconds; tells two lives under one id apart. */
    std::optional<std::int64_t> startedAt;
    /** The store's revision of the entry. */
    Revision revision;
};

/** What a health answer of a target tells. */
struct ProbeResult
{
    bool healthy = false;
    /** The target at the address; may be another one. */
    std::optional<TargetId> id;
    std::optional<Milliseconds> remainingWarmup;
    std::optional<ReportedLoad> load;
};

} // namespace endivedock
