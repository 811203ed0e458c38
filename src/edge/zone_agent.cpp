#include "endivedock/edge/zone_agent.h"

#include "endivedock/edge/shared_placement-inl.h"

namespace endivedock {

void ZoneAgent::applyDivisions()
{
    for (const auto &[service, balancer] : m_placement.balancers()) {
        const ZoneDivision &division = balancer->division();
        if (!m_peers.setDivision(service, division))
            continue;
        m_log.info("Placement divided among zones",
                   {field("service", service), field("zones", division.placingZones().size()),
                    field("own", division.placingZone(m_peers.zone())),
                    field("leading", division.leadingZone())});
    }
}

void ZoneAgent::stateRooms(TimePoint now)
{
    for (const auto &[service, balancer] : m_placement.balancers()) {
        const ZoneDivision &division = balancer->division();
        if (!division.isDivided() || m_peers.placingHost(service, now) != m_self)
            continue;
        const ZoneRoom room = balancer->zoneRoom(now);
        if (!m_statements[service].tryState(room, balancer->counters().takenIn, now))
            continue;
        for (const auto &[zone, size] : division.placingZones()) {
            if (zone != room.zone)
                m_peers.send(m_peers.placingHost(service, zone, now), room);
        }
    }
}

void ZoneAgent::handle(const ZoneRoom &room, TimePoint now)
{
    if (ServiceBalancer *balancer = m_placement.find(room.service))
        balancer->applyZoneRoom(room, now);
}

} // namespace endivedock
