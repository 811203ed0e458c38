#include "endivedock/routes/weighted_round_robin.h"

#include <algorithm>

namespace endivedock {

const ServiceId &WeightedRoundRobin::next(const Route &route)
{
    if (route.weightedServices.size() == 1)
        return route.weightedServices.front().service;
    RouteState &state = m_routes[route.name];
    std::vector<double> weights;
    double total = 0;
    for (const auto &weightedService : route.weightedServices) {
        weights.push_back(weightedService.weight);
        total += weightedService.weight;
    }
    if (state.weights != weights) {
        state.weights = weights;
        state.credits.assign(weights.size(), 0);
        state.credits.front() = m_offset * total;
        state.credits.back() -= m_offset * total;
    }
    for (std::size_t i = 0; i < weights.size(); ++i)
        state.credits[i] += weights[i];
    const auto chosen = std::max_element(state.credits.begin(), state.credits.end());
    *chosen -= total;
    return route.weightedServices[static_cast<std::size_t>(chosen - state.credits.begin())].service;
}

} // namespace endivedock
