#pragma once

#include "endivedock/core.h"
#include "endivedock/servicetime.h"
#include "endivedock/teams.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endivedock {

/** Version of a configuration; a newer configuration has a larger number. */
using ConfigurationVersion = StrongId<struct ConfigurationVersionTag, std::uint64_t>;

/** Whether a request whose outcome is unknown may be repeated. */
enum class RequestKind {
    /** The request may run more than once. */
    Safe,
    /** The request may run at most once. */
    Unsafe,
    /** Same as Unsafe, with a large body. */
    Upload,
};

/** One of the services among which a route splits its requests. */
struct WeightedService
{
    ServiceId service;
    /** Relative to the other services of the route. */
    double weight = 1;
};

/** How requests to one host and path prefix are handled. */
struct Route
{
    std::string name;
    /** Host name in lower case, without a port. */
    std::string host;
    /** Path prefix that begins and ends with a slash. */
    std::string prefix;
    RequestKind kind = RequestKind::Unsafe;
    /** Upper bound on the time until the response. */
    Milliseconds timeout{0};
    /** Response time up to which a response has its full value to the caller. */
    Milliseconds latencyObjective{0};
    /** Maximum number of targets to which a request is sent, one after another. */
    int attempts = 1;
    /** Rank of the requests by urgency; 0 is the most urgent. */
    int rank = 0;
    /** Requests need no key, also if the configuration contains teams. */
    bool isPublic = false;
    std::vector<WeightedService> weightedServices;
};

/** @return the class of the route's requests */
RequestClass requestClassOf(const Route &route);

/** Rules for the targets of one service. */
struct ServiceRules
{
    ServiceId id;
    std::string healthPath = "/";
    /** Maximum number of connections that one target accepts from all hosts together. */
    Connections connections{100};
    /** Time for which a target is cold after its start. */
    Milliseconds warmup{0};
    /** Maximum request rate of a cold target, from all hosts together; unlimited if absent. */
    std::optional<PerSecond> warmupRate;
};

/** Limits on the size and time of callers' requests. */
struct RequestLimits
{
    Bytes header{16 * 1024};
    Bytes body{64ull << 20};
    /** Time within which a request header must arrive. */
    Milliseconds headerTimeout{10'000};
    /** Time after which an idle connection is closed. */
    Milliseconds idleTimeout{60'000};
};

/** All rules of one configuration. Immutable, and thus safe to share between threads. */
class RoutingTable
{
public:
    /** If two routes have the same host and prefix, the later one is used. */
    RoutingTable(ConfigurationVersion version, std::vector<Route> routes,
                 std::vector<ServiceRules> services, RequestLimits limits,
                 TeamDirectory teams = {});

    ConfigurationVersion version() const { return m_version; }
    const RequestLimits &limits() const { return m_limits; }
    const TeamDirectory &teams() const { return m_teams; }
    const std::vector<Route> &routes() const { return m_routes; }
    /** @param route  index into routes() */
    const RequestClass &requestClass(std::size_t route) const { return m_requestClasses[route]; }
    const std::map<ServiceId, ServiceRules> &services() const { return m_services; }

    /**
     * @param host  value of the Host field, with or without a port
     * @param path  path, with or without a query
     * @return index into routes() of the route of this host whose prefix of the path is the
     *         longest; nothing if no route matches
     */
    std::optional<std::size_t> find(std::string_view host, std::string_view path) const;

private:
    ConfigurationVersion m_version;
    std::vector<Route> m_routes;
    /** One for each of m_routes. */
    std::vector<RequestClass> m_requestClasses;
    std::map<ServiceId, ServiceRules> m_services;
    RequestLimits m_limits;
    TeamDirectory m_teams;
    /** Maps a host, a line break and a path prefix, as one string, to an index into m_routes. */
    std::unordered_map<std::string, std::size_t> m_index;
};

} // namespace endivedock
