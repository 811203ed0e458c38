#include "endivedock/edge/edge_peers.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace endivedock {

namespace {

/**
 * Hosts with at least this fraction of the largest processor share in the fleet are preferred as
 * placing hosts.
 */
constexpr double preferredCapacityRatio = 0.6;

} // namespace

void EdgePeers::setHosts(const std::vector<RegisteredHost> &hosts, double capacity)
{
    m_addresses.clear();
    std::vector<HostId> ids;
    double maxCapacity = capacity;
    for (const auto &host : hosts)
        maxCapacity = std::max(maxCapacity, host.capacity);
    std::set<HostId> preferred;
    std::map<HostId, ZoneId> zones{{m_self, m_zone}};
    if (capacity >= maxCapacity * preferredCapacityRatio)
        preferred.insert(m_self);
    for (const auto &host : hosts) {
        if (host.id == m_self)
            continue;
        m_addresses[host.id] = host.peer;
        zones[host.id] = host.zone;
        ids.push_back(host.id);
        if (host.capacity >= maxCapacity * preferredCapacityRatio)
            preferred.insert(host.id);
    }
    m_placingHostSelector.setHosts(ids, preferred, zones);
}

void EdgePeers::broadcast(const EdgeMessage &message)
{
    for (const auto &[host, address] : m_addresses)
        m_datagrams.send(host, address, message);
}

void EdgePeers::sendToRandom(const EdgeMessage &message, std::size_t count, Random &random)
{
    std::vector<std::pair<HostId, Address>> chosen;
    std::sample(m_addresses.begin(), m_addresses.end(), std::back_inserter(chosen), count, random);
    for (const auto &[host, address] : chosen)
        m_datagrams.send(host, address, message);
}

std::vector<HostId> EdgePeers::hosts() const
{
    std::vector<HostId> result;
    for (const auto &[host, address] : m_addresses)
        result.push_back(host);
    return result;
}

std::optional<Address> EdgePeers::address(HostId host) const
{
    const auto found = m_addresses.find(host);
    return found == m_addresses.end() ? std::nullopt : std::optional(found->second);
}

bool EdgePeers::setDivision(const ServiceId &service, const ZoneDivision &division)
{
    ZoneDivision &current = m_divisions[service];
    if (current == division)
        return false;
    current = division;
    return true;
}

HostId EdgePeers::placingHost(const ServiceId &service, TimePoint now) const
{
    const auto found = m_divisions.find(service);
    const ZoneId zone = found == m_divisions.end() ? ZoneId() : found->second.placingZone(m_zone);
    return placingHost(service, zone, now);
}

HostId EdgePeers::placingHost(const ServiceId &service, const ZoneId &placingZone,
                              TimePoint now) const
{
    return m_placingHostSelector.placingHostFor(service, placingZone, now);
}

void EdgePeers::recordTimeout(HostId host, TimePoint now)
{
    m_log.info("Placing host did not respond in time", {field("host", host)});
    m_placingHostSelector.recordTimeout(host, now);
}

void EdgePeers::send(HostId host, const EdgeMessage &message)
{
    const auto found = m_addresses.find(host);
    if (found != m_addresses.end())
        m_datagrams.send(host, found->second, message);
}

} // namespace endivedock
