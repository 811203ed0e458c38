#include "endivedock/zones/room_statements.h"

namespace endivedock {

bool RoomStatements::tryState(const ZoneRoom &room, std::uint64_t takenIn, TimePoint now)
{
    // Zones that have spilled up to the room stated before wait for the news.
    const bool hasGrown = room.freeSlots.value() > 2 * m_room.freeSlots.value();
    const Milliseconds due = takenIn != m_takenIn || hasGrown ? busyInterval
                             : room != m_room                 ? interval
                                                              : maxSilence;
    if (now - m_statedAt < due)
        return false;
    m_room = room;
    m_takenIn = takenIn;
    m_statedAt = now;
    return true;
}

} // namespace endivedock
