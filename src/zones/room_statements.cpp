#include "endivedock/zones/room_statements.h"

namespace endivedock {

bool RoomStatements::tryState(const ZoneRoom &room, std::uint64_t takenIn, TimePoint now)
{
    const Milliseconds due = takenIn != m_takenIn ? busyInterval
                             : room != m_room     ? interval
                                                  : maxSilence;
    if (now - m_statedAt < due)
        return false;
    m_room = room;
    m_takenIn = takenIn;
    m_statedAt = now;
    return true;
}

} // namespace endivedock
