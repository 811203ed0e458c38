#include "endivedock/edge/edge_peers.h"

#include <algorithm>
#include <set>

namespace endivedock {

namespace {

/** Hosts with at least this part of the strongest one's processor share place for the others. */
constexpr double strongPart = 0.6;

} // namespace

void EdgePeers::setHosts(const std::vector<RegisteredHost> &hosts, double capacity)
{
    m_addresses.clear();
    std::vector<HostId> ids;
    double strongest = capacity;
    for (const auto &host : hosts)
        strongest = std::max(strongest, host.capacity);
    std::set<HostId> strong;
    if (capacity >= strongest * strongPart)
        strong.insert(m_self);
    for (const auto &host : hosts) {
        if (host.id == m_self)
            continue;
        m_addresses[host.id] = host.peer;
        ids.push_back(host.id);
        if (host.capacity >= strongest * strongPart)
            strong.insert(host.id);
    }
    m_choice.setHosts(ids, strong);
}

void EdgePeers::sendToAll(const EdgeMessage &message)
{
    for (const auto &[host, address] : m_addresses)
        m_datagrams.send(host, address, message);
}

std::optional<Address> EdgePeers::address(HostId host) const
{
    const auto found = m_addresses.find(host);
    return found == m_addresses.end() ? std::nullopt : std::optional(found->second);
}

HostId EdgePeers::placingHost(const ServiceId &service, TimePoint now) const
{
    return m_choice.relayFor(service, now);
}

void EdgePeers::unanswered(HostId host, TimePoint now)
{
    m_log.info("A placing host does not answer", {field("host", host)});
    m_choice.unanswered(host, now);
}

void EdgePeers::send(HostId host, const EdgeMessage &message)
{
    const auto found = m_addresses.find(host);
    if (found != m_addresses.end())
        m_datagrams.send(host, found->second, message);
}

} // namespace endivedock
