#include "endivedock/edge/service_division.h"

namespace endivedock {

ZoneDivision divisionOf(const Registry &registry, const ServiceId &service)
{
    const std::set<ZoneId> evacuated = registry.evacuatedZones();
    std::map<ZoneId, ZoneSize> zones;
    for (const auto &target : registry.targetsOf(service)) {
        ZoneSize &size = zones[target.zone];
        if (!target.isDraining && !evacuated.contains(target.zone))
            ++size.targets;
    }
    for (const auto &host : registry.hosts())
        ++zones[host.zone].hosts;
    return {service, zones};
}

} // namespace endivedock
