#pragma once

#include "endivedock/core.h"
#include "endivedock/zones/messages.h"

#include <map>
#include <optional>

namespace endivedock {

/**
 * What the placing host of one zone knows of the room in the other placing zones, and what part of
 * it this zone may still take. Each zone may take an equal part of 1.5 times the
 * free slots that a zone states, so that together they hardly fill the same slots at once. What is
 * taken counts until the zone states its room again. Requests therefore spill in steps and to the
 * zone with most room, and since each request is first offered to its own zone, they come back as
 * soon as there is room.
 */
class RoomOfZones
{
public:
    /** @param takers  number of zones that may take a part, this one included */
    void apply(const ZoneRoom &room, std::size_t takers, TimePoint now);
    /** Forgets all zones. */
    void clear() { m_zones.clear(); }
    /**
     * Takes one slot in the zone in which this zone may take most slots.
     *
     * @param maxSlowdown  zones whose targets are slower are not used
     * @return nothing if no zone has room for this zone
     */
    std::optional<ZoneId> takeSlot(double maxSlowdown, TimePoint now);
    /**
     * Takes what a zone may hardly give, for a request that cannot be placed in the own zone at
     * all: it waits or is refused in the zone in which this zone has taken least of its part.
     *
     * @return nothing if no zone has stated its room recently
     */
    std::optional<ZoneId> takePlaceInQueue(TimePoint now);

    /**
     * A statement of room is used for this long, twice the longest interval between statements. A
     * zone that can't be reached makes none.
     */
    static constexpr Milliseconds maxRoomAge{1000};

private:
    struct Known
    {
        /**
         * Slots that this zone may still take; a fraction of a slot may be left. Below zero after
         * takePlaceInQueue().
         */
        double allowance = 0;
        double slowdown = 1;
        TimePoint at{};
    };

    std::optional<ZoneId> take(double minAllowance, double maxSlowdown, TimePoint now);

    std::map<ZoneId, Known> m_zones;
};

} // namespace endivedock
