#pragma once

#include "endivedock/routes/routing_table.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace endivedock {

/**
 * Splits the requests of each route among its services by smooth weighted round-robin: after any
 * number of requests, each service is within one request of its share. Not thread-safe.
 */
class WeightedRoundRobin
{
public:
    /**
     * @param offset  from 0 to 1; should differ between hosts, so that the hosts begin with
     *                different services
     */
    explicit WeightedRoundRobin(double offset = 0)
        : m_offset(offset)
    {
    }

    /** @return the service of the next request; @p route must have at least one service */
    const ServiceId &next(const Route &route);

private:
    /** One weight and one credit for each service of the route. */
    struct RouteState
    {
        std::vector<double> weights;
        /** The service with the highest credit gets the next request. */
        std::vector<double> credits;
    };

    double m_offset;
    std::unordered_map<std::string, RouteState> m_routes;
};

} // namespace endivedock
