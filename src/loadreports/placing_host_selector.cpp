#include "endivedock/loadreports/placing_host_selector.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace endivedock {

void PlacingHostSelector::setHosts(const std::vector<HostId> &hosts,
                                   const std::set<HostId> &preferred,
                                   const std::map<HostId, ZoneId> &zones)
{
    m_hosts = hosts;
    m_hosts.push_back(m_self);
    m_preferred = preferred;
    m_zones = zones;
    m_rankings.clear();
    const std::set<HostId> known(m_hosts.begin(), m_hosts.end());
    std::erase_if(m_contacts, [&known](const auto &item) { return !known.contains(item.first); });
}

bool PlacingHostSelector::isUnresponsive(HostId host, TimePoint now) const
{
    const auto found = m_contacts.find(host);
    if (found == m_contacts.end() || !found->second.pendingSince)
        return false;
    return now - *found->second.pendingSince > responseTimeout;
}

HostId PlacingHostSelector::placingHostFor(const ServiceId &service, const ZoneId &zone,
                                           TimePoint now) const
{
    const auto [position, added] = m_rankings.try_emplace({service, zone});
    if (added)
        position->second = rankHosts(service, zone);
    const std::vector<HostId> &ranking = position->second;
    const auto chosen = std::find_if(ranking.begin(), ranking.end(), [this, now](HostId host) {
        return host == m_self || !isUnresponsive(host, now);
    });
    return chosen == ranking.end() ? m_self : *chosen;
}

std::vector<HostId> PlacingHostSelector::rankHosts(const ServiceId &service,
                                                   const ZoneId &zone) const
{
    struct Rank
    {
        bool isInZone;
        bool isPreferred;
        std::uint64_t weight;
        HostId host;
    };
    std::vector<Rank> ranks;
    ranks.reserve(m_hosts.size());
    const std::string &name = service.value();
    for (const auto &host : m_hosts) {
        const auto found = m_zones.find(host);
        const bool isInZone =
                !zone.value().empty() && found != m_zones.end() && found->second == zone;
        ranks.push_back({isInZone, m_preferred.contains(host),
                         XXH3_64bits_withSeed(name.data(), name.size(), host.value()), host});
    }
    std::stable_sort(ranks.begin(), ranks.end(), [](const Rank &a, const Rank &b) {
        return std::tie(b.isInZone, b.isPreferred, b.weight) <
               std::tie(a.isInZone, a.isPreferred, a.weight);
    });
    std::vector<HostId> result;
    result.reserve(ranks.size());
    for (const auto &rank : ranks)
        result.push_back(rank.host);
    return result;
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
