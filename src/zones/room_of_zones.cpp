#include "endivedock/zones/room_of_zones.h"

#include <algorithm>

namespace endivedock {

void RoomOfZones::apply(const ZoneRoom &room, std::size_t takers, TimePoint now)
{
    Known &known = m_zones[room.zone];
    // Each zone may take an equal part, whether it needs it or not: the zone that states its room
    // cannot know which of the others has too little.
    known.allowance = static_cast<double>(room.freeSlots.value()) /
                      static_cast<double>(std::max<std::size_t>(takers, 1));
    known.slowdown = room.slowdown / 100.0;
    known.at = now;
}

std::optional<ZoneId> RoomOfZones::takeSlot(double maxSlowdown, TimePoint now)
{
    auto best = m_zones.end();
    for (auto position = m_zones.begin(); position != m_zones.end(); ++position) {
        const Known &known = position->second;
        if (now - known.at > maxRoomAge || known.allowance < 1 || known.slowdown > maxSlowdown)
            continue;
        if (best == m_zones.end() || known.allowance > best->second.allowance)
            best = position;
    }
    if (best == m_zones.end())
        return std::nullopt;
    best->second.allowance -= 1;
    return best->first;
}

} // namespace endivedock
