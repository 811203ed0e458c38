#pragma once

#include "endivedock/core.h"

#include <map>

namespace endivedock {

/** What a zone has for one service. */
struct ZoneSize
{
    /** Registered targets that do not drain; none if the zone is evacuated. */
    int targets = 0;
    /** Registered hosts. */
    int hosts = 0;
};

/**
 * Divides the placement of one service among zones: in each placing zone, one host places the
 * requests of that zone at the targets of that zone. A zone that is too small for a placing host of
 * its own belongs to a placing zone. Each target belongs to exactly one placing zone, so that its
 * bounds are kept in one place. A service that is too small to be divided is placed by one host for
 * all zones.
 *
 * The division follows from the registry alone, so hosts with equal registries agree on it.
 */
class ZoneDivision
{
public:
    /** The service is not divided. */
    ZoneDivision() = default;
    /** @param zones  all zones that have targets or hosts */
    ZoneDivision(const ServiceId &service, const std::map<ZoneId, ZoneSize> &zones);

    bool isDivided() const { return !m_placingZones.empty(); }
    /** @return the number of hosts that place requests of the service; 1 if it is not divided */
    std::size_t placingZoneCount() const;
    /** @return the zone that places for @p zone; empty if the service is not divided */
    ZoneId placingZone(const ZoneId &zone) const;
    /**
     * @return the placing zone for requests that one host must place for all zones; empty if the
     * service is not divided
     */
    const ZoneId &leadingZone() const { return m_leadingZone; }
    /** @return the placing zones and the sizes of what they place for */
    const std::map<ZoneId, ZoneSize> &placingZones() const { return m_placingZones; }
    bool operator==(const ZoneDivision &other) const
    {
        return m_owners == other.m_owners && m_leadingZone == other.m_leadingZone;
    }

    /**
     * Fewest targets of a placing zone: with fewer, requests wait in one zone while another zone
     * has a free slot too often, and one slow target is too large a part of the zone.
     */
    static constexpr int minTargets = 12;
    /** Fewest hosts of a placing zone, so that one can fail while another restarts. */
    static constexpr int minHosts = 3;

private:
    std::map<ZoneId, ZoneSize> m_placingZones;
    /** The placing zone of each zone. */
    std::map<ZoneId, ZoneId> m_owners;
    ZoneId m_leadingZone;
};

} // namespace endivedock
