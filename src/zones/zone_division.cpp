#include "endivedock/zones/zone_division.h"

#include <algorithm>

#include <xxhash.h>

namespace endivedock {

namespace {

XXH64_hash_t weightOf(const std::string &seed, const ZoneId &zone)
{
    const std::string &name = zone.value();
    return XXH3_64bits_withSeed(name.data(), name.size(), XXH3_64bits(seed.data(), seed.size()));
}

/** @return the placing zone with the highest weight by rendezvous hashing */
ZoneId highestWeighted(const std::string &seed, const std::map<ZoneId, ZoneSize> &zones)
{
    const auto chosen =
            std::max_element(zones.begin(), zones.end(), [&seed](const auto &a, const auto &b) {
                return weightOf(seed, a.first) < weightOf(seed, b.first);
            });
    return chosen->first;
}

} // namespace

ZoneDivision::ZoneDivision(const ServiceId &service, const std::map<ZoneId, ZoneSize> &zones)
{
    for (const auto &[zone, size] : zones) {
        if (!zone.value().empty() && size.targets >= minTargets && size.hosts >= minHosts)
            m_placingZones[zone] = size;
    }
    if (m_placingZones.size() < 2) {
        m_placingZones.clear();
        return;
    }
    m_leadingZone = highestWeighted(service.value(), m_placingZones);
    const std::map<ZoneId, ZoneSize> large = m_placingZones;
    for (const auto &[zone, size] : zones) {
        if (large.contains(zone)) {
            m_owners[zone] = zone;
            continue;
        }
        const ZoneId owner = highestWeighted(service.value() + '/' + zone.value(), large);
        m_owners[zone] = owner;
        m_placingZones[owner].targets += size.targets;
        m_placingZones[owner].hosts += size.hosts;
    }
}

std::size_t ZoneDivision::placingZoneCount() const
{
    return std::max<std::size_t>(m_placingZones.size(), 1);
}

ZoneId ZoneDivision::placingZone(const ZoneId &zone) const
{
    const auto found = m_owners.find(zone);
    return found == m_owners.end() ? m_leadingZone : found->second;
}

} // namespace endivedock
