#include "endivedock/routes/routing_table.h"

#include <algorithm>
#include <cctype>

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

RoutingTable::RoutingTable(ConfigurationVersion version, std::vector<Route> routes,
                           std::vector<ServiceRules> services, RequestLimits limits)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_limits(limits)
{
    for (auto &service : services)
        m_services[service.id] = std::move(service);
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
