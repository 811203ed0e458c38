#include "endivedock/routes/weighted_round_robin.h"

#include <algorithm>

namespace endivedock {

const ServiceId &WeightedRoundRobin::next(const Route &route)
{
    if (route.weightedServices.size() == 1)
        return route.weightedServices.front().service;
    Turn &turn = m_turns[route.name];
    std::vector<double> weights;
    double total = 0;
    for (const auto &part : route.weightedServices) {
        weights.push_back(part.weight);
        total += part.weight;
    }
    if (turn.weights != weights) {
        turn.weights = weights;
        turn.credit.assign(weights.size(), 0);
        turn.credit.front() = m_offset * total;
        turn.credit.back() -= m_offset * total;
    }
    for (std::size_t i = 0; i < weights.size(); ++i)
        turn.credit[i] += weights[i];
    const auto chosen = std::max_element(turn.credit.begin(), turn.credit.end());
    *chosen -= total;
    return route.weightedServices[static_cast<std::size_t>(chosen - turn.credit.begin())].service;
}

} // namespace endivedock
