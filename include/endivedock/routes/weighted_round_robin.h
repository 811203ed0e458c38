#pragma once

#include "endivedock/routes/routing_table.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace endivedock {

/**
 * Divides the requests of each route among its parts by smooth weighted round-robin: after any
 * number of requests each part is within one request of its share.
 */
class WeightedRoundRobin
{
public:
    /** @param offset  0 up to 1, so that hosts do not all begin with the same part */
    explicit WeightedRoundRobin(double offset = 0)
        : m_offset(offset)
    {
    }

    /** @return the service that is next; @p route must have a part */
    const ServiceId &next(const Route &route);

private:
    struct Turn
    {
        std::vector<double> weights;
        std::vector<double> credit;
    };

    double m_offset;
    std::unordered_map<std::string, Turn> m_turns;
};

} // namespace endivedock
