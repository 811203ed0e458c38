#include "endivedock/zones/room_of_zones.h"

#include <algorithm>
#include <limits>

namespace endivedock {

namespace {

/**
 * Room that all zones together may take, as a multiple of what is stated. With equal parts of the
 * room alone, one zone with twice its demand has requests refused while others have room; what is
 * too much if all other zones spill at once waits for about one interval between statements.
 */
constexpr double overcommitment = 1.5;

} // namespace

void RoomOfZones::apply(const ZoneRoom &room, std::size_t takers, TimePoint now)
{
    Known &known = m_zones[room.zone];
    // Each zone may take an equal part, whether it needs it or not: the zone that states its room
    // cannot know which of the others has too little.
    const double share =
            std::min(1.0, overcommitment / static_cast<double>(std::max<std::size_t>(takers, 1)));
    known.allowance = room.freeSlots.value() * share;
    known.slowdown = room.slowdown / 100.0;
    known.at = now;
}

std::optional<ZoneId> RoomOfZones::takeSlot(double maxSlowdown, TimePoint now)
{
    return take(1, maxSlowdown, now);
}

std::optional<ZoneId> RoomOfZones::takePlaceInQueue(TimePoint now)
{
    constexpr double any = std::numeric_limits<double>::max();
    return take(-any, any, now);
}

std::optional<ZoneId> RoomOfZones::take(double minAllowance, double maxSlowdown, TimePoint now)
{
    auto best = m_zones.end();
    for (auto position = m_zones.begin(); position != m_zones.end(); ++position) {
        const Known &known = position->second;
        if (now - known.at > maxRoomAge || known.allowance < minAllowance ||
            known.slowdown > maxSlowdown)
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
