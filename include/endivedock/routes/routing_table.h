#pragma once

#include "endivedock/core.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endivedock {

/** Versions of a configuration compare as their numbers do. */
using ConfigurationVersion = StrongId<struct ConfigurationVersionTag, std::uint64_t>;

/** What may be done with a request whose outcome is not known. */
enum class RequestKind {
    /** It may run more than once. */
    Safe,
    /** It may run once at most. */
    Unsafe,
    /** As Unsafe, with a large body. */
    Upload,
};

/** One of the services among which a route divides its requests. */
struct WeightedService
{
    ServiceId service;
    double weight = 1;
};

/** How requests to one host and path prefix are handled. */
struct Route
{
    std::string name;
    /** In lower case, without a port. */
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RequestKind kind = RequestKind::Unsafe;
    /** The longest time that a request may be kept waiting. */
    Milliseconds timeout{0};
    /** An answer within this time is worth most to the caller. */
    Milliseconds latencyObjective{0};
    /** Targets that one request may be sent to, one after the other. */
    int attempts = 1;
    /** 0 is the most urgent. */
    int rank = 0;
    std::vector<WeightedService> weightedServices;
};

/** What the targets of one service bear. */
struct ServiceRules
{
    ServiceId id;
    std::string healthPath = "/";
    /** Connections that one target accepts from all hosts together. */
    Connections connections{100};
    /** A target that has just started is cold for this time. */
    Milliseconds warmup{0};
    /** Requests that a cold target bears, from all hosts together; none declared: any rate. */
    std::optional<PerSecond> warmupRate;
};

/** What callers may send, and how long they may take. */
struct RequestLimits
{
    Bytes header{16 * 1024};
    Bytes body{64ull << 20};
    Milliseconds headerTimeout{10'000};
    Milliseconds idleTimeout{60'000};
};

/** All rules of one configuration. */
class RoutingTable
{
public:
    /** Of two routes with one host and prefix the later one holds. */
    RoutingTable(ConfigurationVersion version, std::vector<Route> routes,
                 std::vector<ServiceRules> services, RequestLimits limits);

    ConfigurationVersion version() const { return m_version; }
    const RequestLimits &limits() const { return m_limits; }
    const std::vector<Route> &routes() const { return m_routes; }
    const std::map<ServiceId, ServiceRules> &services() const { return m_services; }

    /**
     * @param host  value of the Host field, with or without a port
     * @param path  path with or without a query
     * @return position of the route of this host with the longest prefix that begins the path
     */
    std::optional<std::size_t> find(std::string_view host, std::string_view path) const;

private:
    ConfigurationVersion m_version;
    std::vector<Route> m_routes;
    std::map<ServiceId, ServiceRules> m_services;
    RequestLimits m_limits;
    /** By host, a line break, and prefix. */
    std::unordered_map<std::string, std::size_t> m_index;
};

} // namespace endivedock
