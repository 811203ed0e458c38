#pragma once

#include "endivedock/core.h"

namespace endivedock {

/**
 * Room of one placing zone for requests of other zones. The zone's placing host sends it to the
 * placing hosts of the other zones.
 */
struct ZoneRoom
{
    ServiceId service;
    ZoneId zone;
    /** Slots that the placing host may still fill at warm targets; 0 while requests wait there. */
    Slots freeSlots{0};
    /** Mean slowdown that the targets have reported, in hundredths. */
    std::uint16_t slowdown = 100;

    bool operator==(const ZoneRoom &) const = default;
};

} // namespace endivedock
