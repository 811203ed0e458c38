#include "endivedock/loadnews/relay_choice.h"

#include <algorithm>

#include <xxhash.h>

namespace endivedock {

void RelayChoice::setHosts(const std::vector<HostId> &hosts, const std::set<HostId> &strong)
{
    m_hosts = hosts;
    m_hosts.push_back(m_self);
    m_strong = strong;
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
    if (const auto strong = firstOf(service, true, now))
        return *strong;
    return firstOf(service, false, now).value_or(m_self);
}

std::optional<HostId> RelayChoice::firstOf(const ServiceId &service, bool strong,
                                           TimePoint now) const
{
    std::optional<HostId> chosen;
    std::uint64_t highest = 0;
    for (const auto &host : m_hosts) {
        if (strong && !m_strong.contains(host))
            continue;
        if (host != m_self && silent(host, now))
            continue;
        const std::string &name = service.value();
        const std::uint64_t weight = XXH3_64bits_withSeed(name.data(), name.size(), host.value());
        if (!chosen || weight > highest) {
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
    if (!contact.missedAt)
        contact.missedAt = now;
    if (now - *contact.missedAt < stall)
        return;
    const TimePoint overdue = now - patience - Milliseconds(1);
    if (!contact.waitingSince || *contact.waitingSince > overdue)
        contact.waitingSince = overdue;
}

void RelayChoice::heard(HostId host, TimePoint)
{
    m_contacts[host] = Contact{};
}

} // namespace endivedock
