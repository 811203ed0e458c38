#pragma once

#include "endivedock/edge/edge_peers.h"
#include "endivedock/edge/shared_placement.h"
#include "endivedock/zones.h"

#include <map>

namespace endivedock {

/**
 * Tells the other hosts how much room the zone of this host has for each divided service that this
 * host places there, and follows changes of the division.
 */
class ZoneAgent
{
public:
    /** The references must outlive this object. */
    ZoneAgent(HostId self, EdgePeers &peers, SharedPlacement<EdgePeers> &placement)
        : m_self(self)
        , m_peers(peers)
        , m_placement(placement)
    {
    }

    /** To be called after the placement has applied the registry. */
    void applyDivisions();
    /** Sends the room of this zone to the placing hosts of the other zones where it is due. */
    void stateRooms(TimePoint now);
    void handle(const ZoneRoom &room, TimePoint now);

private:
    HostId m_self;
    EdgePeers &m_peers;
    SharedPlacement<EdgePeers> &m_placement;
    std::map<ServiceId, RoomStatements> m_statements;
    Log m_log{"zones"};
};

} // namespace endivedock
