#include "endivedock/routes/routing_table.h"

#include <algorithm>
#include <array>
#include <cctype>

#include <xxhash.h>

namespace endivedock {

namespace {

std::string toLower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::string indexKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += '\n';
    key += prefix;
    return key;
}

} // namespace

RequestClass requestClassOf(const Route &route)
{
    const std::array<std::int64_t, 3> profile{static_cast<std::int64_t>(route.kind), route.rank,
                                              route.latencyObjective.count()};
    return {RouteKey(static_cast<std::uint32_t>(XXH3_64bits(route.name.data(), route.name.size()))),
            ProfileKey(static_cast<std::uint32_t>(XXH3_64bits(profile.data(), sizeof(profile))))};
}

RoutingTable::RoutingTable(ConfigurationVersion version, std::vector<Route> routes,
                           std::vector<ServiceRules> services, RequestLimits limits,
                           TeamDirectory teams)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_limits(limits)
    , m_teams(std::move(teams))
{
    for (auto &service : services)
        m_services[service.id] = std::move(service);
    for (const auto &route : m_routes)
        m_requestClasses.push_back(requestClassOf(route));
    for (std::size_t i = 0; i < m_routes.size(); ++i)
        m_index[indexKey(m_routes[i].host, m_routes[i].prefix)] = i;
}

std::optional<std::size_t> RoutingTable::find(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    const std::string name = toLower(host.substr(0, host.rfind(':')));
    while (!path.empty()) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return std::nullopt;
        const auto found = m_index.find(indexKey(name, path.substr(0, slash + 1)));
        if (found != m_index.end())
            return found->second;
        path = path.substr(0, slash);
    }
    return std::nullopt;
}

} // namespace endivedock
