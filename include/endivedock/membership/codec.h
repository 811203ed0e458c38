#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/membership/messages.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, MemberState &state)
{
    archive(state.id, state.region, state.zone, state.address, state.incarnation, state.version,
            state.heartbeatCounter, state.leaving, state.configuration, state.view,
            state.activeView, state.heldShards);
}

template <typename Archive>
void serialize(Archive &archive, MemberHeartbeat &heartbeat)
{
    archive(heartbeat.id, heartbeat.incarnation, heartbeat.heartbeatCounter);
}

template <typename Archive>
void serialize(Archive &archive, GossipMessage &message)
{
    archive(message.members, message.heartbeats);
}

} // namespace endivedock
