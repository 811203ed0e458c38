#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/zones/messages.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, ZoneRoom &room)
{
    archive(room.service, room.zone, room.freeSlots, room.slowdown);
}

} // namespace endivedock
