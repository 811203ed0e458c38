#include "endivedock/loadnews/relay_choice.h"

#include <algorithm>

#include <xxhash.h>

namespace endivedock {

void RelayChoice::setHosts(const std::vector<HostId> &hosts)
{
    m_hosts = hosts;
    if (std::find(m_hosts.begin(), m_hosts.end(), m_self) == m_hosts.end())
        m_hosts.push_back(m_self);
    std::erase_if(m_contacts, [this](const auto &item) {
        return std::find(m_hosts.begin(), m_hosts.end(), item.first) == m_hosts.end();
    });
}

bool RelayChoice::silent(HostId host, TimePoint now) const
{
    const auto found = m_contacts.find(host);
    if (found == m_contacts.end() || !found->second.waitingSince)
        return false;
    return now - *found->second.waitingSince > patience;
}

HostId RelayChoice::relayFor(const ServiceId &service, TimePoint now) const
{
    HostId chosen = m_self;
    std::uint64_t highest = 0;
    bool any = false;
    for (const auto &host : m_hosts) {
        if (host != m_self && silent(host, now))
            continue;
        const std::string &name = service.value();
        const std::uint64_t weight = XXH3_64bits_withSeed(name.data(), name.size(), host.value());
        if (!any || weight > highest) {
            any = true;
            highest = weight;
            chosen = host;
        }
    }
    return chosen;
}

void RelayChoice::asked(HostId host, TimePoint now)
{
    Contact &contact = m_contacts[host];
    // A silent host is not asked until it is tried again, with new patience.
    if (!contact.waitingSince || now - *contact.waitingSince > retry)
        contact.waitingSince = now;
}

void RelayChoice::unanswered(HostId host, TimePoint now)
{
    Contact &contact = m_contacts[host];
    const TimePoint overdue = now - patience - Milliseconds(1);
    if (!contact.waitingSince || *contact.waitingSince > overdue)
        contact.waitingSince = overdue;
}

void RelayChoice::heard(HostId host, TimePoint)
{
    m_contacts[host].waitingSince.reset();
}

} // namespace endivedock
