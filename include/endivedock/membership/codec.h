#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/membership/messages.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, MemberState &state)
{
    archive(state.id, state.region, state.zone, state.address, state.incarnation, state.version,
            state.beat, state.leaving, state.configuration, state.view, state.activeView,
            state.heldShards);
}

template <typename Archive>
void serialize(Archive &archive, MemberBeat &beat)
{
    archive(beat.id, beat.incarnation, beat.beat);
}

template <typename Archive>
void serialize(Archive &archive, Heartbeat &heartbeat)
{
    archive(heartbeat.members, heartbeat.beats);
}

} // namespace endivedock
