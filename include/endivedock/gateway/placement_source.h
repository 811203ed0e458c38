#pragma once

#include "endivedock/core.h"
#include "endivedock/net.h"
#include "endivedock/placement/messages.h"

#include <concepts>
#include <variant>

namespace endivedock {

/** A placement with the address and the connection settings of its target. */
struct PlacedTarget
{
    Placement placement;
    Address address;
    /** Connections that this host may have open to the target. */
    Connections connectionLimit{1};
    /** Longest time to establish a connection; the attempt then fails without having run. */
    Milliseconds connectTimeout{1000};
    /** Connections idle for longer are not used, because the target may have closed them. */
    Milliseconds maxIdleTime{30'000};
};

/** Chooses a target for each attempt and takes the report of how the attempt ended. */
template <typename P>
concept PlacementSource = requires(P source, const PlacementRequest &request, TimePoint deadline,
                                   AttemptReport report, const AttemptId &attempt) {
    /** Returns a target or a refusal, at the latest at the deadline. */
    {
        source.place(request, deadline)
    } -> std::same_as<Task<std::variant<PlacedTarget, Refusal>>>;
    /** Makes a pending place() of the attempt return at once. */
    {
        source.abandon(attempt)
    } -> std::same_as<void>;
    /**
     * Records that the attempt's target has stated in the header of its response that it is
     * draining, before any of the response is sent to the caller.
     */
    {
        source.recordDraining(report)
    } -> std::same_as<void>;
    /** Releases the attempt's placement; must be called exactly once for each placement. */
    {
        source.report(std::move(report))
    } -> std::same_as<void>;
};

} // namespace endivedock
