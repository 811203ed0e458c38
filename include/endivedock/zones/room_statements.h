#pragma once

#include "endivedock/zones/messages.h"
#include "endivedock/zones/room_of_zones.h"

namespace endivedock {

/** Decides when a placing zone states its room for one service to the others. */
class RoomStatements
{
public:
    /**
     * @param takenIn  number of requests that the zone has taken from others so far
     * @return whether to state the room now; if so, it counts as stated
     */
    bool tryState(const ZoneRoom &room, std::uint64_t takenIn, TimePoint now);

    /**
     * Interval while other zones use the room, or it has more than doubled. Others may take only a
     * part of what was stated, so that a long interval would bound the rate at which requests
     * spill: 50 ms are half of the work of a short request.
     */
    static constexpr Milliseconds busyInterval{50};
    /** Interval while the room changes, but no other zone uses it. */
    static constexpr Milliseconds interval{250};
    /** Room that has not changed is stated so often that one statement may get lost. */
    static constexpr Milliseconds maxSilence = RoomOfZones::maxRoomAge / 2 - Milliseconds(50);

private:
    ZoneRoom m_room;
    std::uint64_t m_takenIn = 0;
    TimePoint m_statedAt{};
};

} // namespace endivedock
