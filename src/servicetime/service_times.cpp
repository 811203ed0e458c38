#include "endivedock/servicetime/service_times.h"

#include <algorithm>

namespace endivedock {

namespace {

/** Weight of one response in a smoothed estimate. */
constexpr double smoothingWeight = 0.03;
/** Responses after which the weight of a response no longer falls. */
constexpr int maxSamples = 33;
/**
 * The estimate with which a route or profile starts weighs as much as this many responses. A route
 * usually does the work of its profile, and single responses vary.
 */
constexpr int routePriorSamples = 8;
constexpr int profilePriorSamples = 1;

} // namespace

void ServiceTimes::add(Estimate &estimate, double microseconds)
{
    estimate.samples = std::min(estimate.samples + 1, maxSamples);
    // The first responses may be outliers, so they weigh no more than what was assumed before.
    const double weight = std::max(smoothingWeight, 1.0 / estimate.samples);
    estimate.microseconds += (microseconds - estimate.microseconds) * weight;
}

ServiceTimes::Estimate ServiceTimes::profileEstimate(ProfileKey profile) const
{
    const Estimate *known = m_profiles.find(profile);
    return known ? *known : Estimate{m_all.microseconds, profilePriorSamples};
}

void ServiceTimes::record(const RequestClass &requestClass, Microseconds time)
{
    const auto microseconds = static_cast<double>(time.count());
    if (m_routes.find(requestClass.route) == nullptr)
        m_routes[requestClass.route] = {profileEstimate(requestClass.profile).microseconds,
                                        routePriorSamples};
    if (m_profiles.find(requestClass.profile) == nullptr)
        m_profiles[requestClass.profile] = profileEstimate(requestClass.profile);
    add(m_routes[requestClass.route], microseconds);
    add(m_profiles[requestClass.profile], microseconds);
    add(m_all, microseconds);
}

Microseconds ServiceTimes::expected(const RequestClass &requestClass) const
{
    const Estimate *route = m_routes.find(requestClass.route);
    const double microseconds =
            route ? route->microseconds : profileEstimate(requestClass.profile).microseconds;
    return Microseconds(static_cast<std::int64_t>(microseconds));
}

Microseconds ServiceTimes::mean() const
{
    return Microseconds(static_cast<std::int64_t>(m_all.microseconds));
}

ServiceTimeEstimate ServiceTimes::toShared(const Estimate &estimate)
{
    return {Microseconds(static_cast<std::int64_t>(estimate.microseconds)),
            static_cast<std::uint8_t>(estimate.samples)};
}

SharedServiceTimes ServiceTimes::shared() const
{
    SharedServiceTimes result;
    result.mean = toShared(m_all);
    for (const auto &[profile, estimate] : m_profiles) {
        if (result.profiles.size() == maxSharedProfiles)
            break;
        result.profiles.push_back({profile, toShared(estimate)});
    }
    return result;
}

void ServiceTimes::adopt(Estimate &estimate, const ServiceTimeEstimate &shared)
{
    const int samples = std::min<int>(shared.samples, maxSamples);
    if (samples > estimate.samples && shared.time.count() > 0)
        estimate = {static_cast<double>(shared.time.count()), samples};
}

void ServiceTimes::adopt(const SharedServiceTimes &shared)
{
    adopt(m_all, shared.mean);
    for (const auto &entry : shared.profiles) {
        if (m_profiles.find(entry.profile) == nullptr)
            m_profiles[entry.profile] = profileEstimate(entry.profile);
        adopt(m_profiles[entry.profile], entry.estimate);
    }
}

} // namespace endivedock
