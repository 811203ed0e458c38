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
void serialize(Archive &archive, MemberHeartbeat &heartbeatCounter)
{
    archive(heartbeatCounter.id, heartbeatCounter.incarnation, heartbeatCounter.heartbeatCounter);
}

template <typename Archive>
void serialize(Archive &archive, GossipMessage &heartbeat)
{
    archive(heartbeat.members, heartbeat.heartbeats);
}

} // namespace endivedock
