#include "endivedock/edge/edge_peers.h"

namespace endivedock {

void EdgePeers::setHosts(const std::vector<RegisteredHost> &hosts, HostId self)
{
    m_addresses.clear();
    std::vector<HostId> ids;
    for (const auto &host : hosts) {
        if (host.id == self)
            continue;
        m_addresses[host.id] = host.peer;
        ids.push_back(host.id);
    }
    m_choice.setHosts(ids);
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
