#include "endivedock/loadreports/placing_host_selector.h"

#include <algorithm>

#include <xxhash.h>

namespace endivedock {

void PlacingHostSelector::setHosts(const std::vector<HostId> &hosts,
                                   const std::set<HostId> &preferred)
{
    m_hosts = hosts;
    m_hosts.push_back(m_self);
    m_preferred = preferred;
    std::erase_if(m_contacts, [this](const auto &item) {
        return std::find(m_hosts.begin(), m_hosts.end(), item.first) == m_hosts.end();
    });
}

bool PlacingHostSelector::isUnresponsive(HostId host, TimePoint now) const
{
    const auto found = m_contacts.find(host);
    if (found == m_contacts.end() || !found->second.pendingSince)
        return false;
    return now - *found->second.pendingSince > responseTimeout;
}

HostId PlacingHostSelector::placingHostFor(const ServiceId &service, TimePoint now) const
{
    if (const auto preferred = highestWeighted(service, true, now))
        return *preferred;
    return highestWeighted(service, false, now).value_or(m_self);
}

std::optional<HostId> PlacingHostSelector::highestWeighted(const ServiceId &service, bool preferred,
                                                           TimePoint now) const
{
    std::optional<HostId> chosen;
    std::uint64_t highest = 0;
    for (const auto &host : m_hosts) {
        if (preferred && !m_preferred.contains(host))
            continue;
        if (host != m_self && isUnresponsive(host, now))
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

void PlacingHostSelector::recordRequest(HostId host, TimePoint now)
{
    Contact &contact = m_contacts[host];
    // A request later than retryInterval tries an unresponsive host again, with a new response
    // timeout.
    if (!contact.pendingSince || now - *contact.pendingSince > retryInterval)
        contact.pendingSince = now;
}

void PlacingHostSelector::recordTimeout(HostId host, TimePoint now)
{
    Contact &contact = m_contacts[host];
    if (!contact.firstTimeoutAt)
        contact.firstTimeoutAt = now;
    if (now - *contact.firstTimeoutAt < correlatedTimeoutWindow)
        return;
    const TimePoint overdue = now - responseTimeout - Milliseconds(1);
    if (!contact.pendingSince || *contact.pendingSince > overdue)
        contact.pendingSince = overdue;
}

void PlacingHostSelector::recordResponse(HostId host, TimePoint)
{
    m_contacts[host] = Contact{};
}

} // namespace endivedock
