#pragma once

#include "endivedock/servicetime/messages.h"

#include <cstddef>

namespace endivedock {

/**
 * Service times of one service on targets that are idle and not slowed down, learned from
 * responses. Routes of one service may cause work of very different length, so a mean over all
 * requests would be too long for some routes and too short for others. A route starts from the
 * estimate of its profile, and a profile from the mean of the service. Not thread-safe.
 */
class ServiceTimes
{
public:
    /** @param time  time of one response, without the slowdown of its target */
    void record(const RequestClass &requestClass, Microseconds time);
    /** @return the expected service time; an assumed value before the first response */
    Microseconds expected(const RequestClass &requestClass) const;
    /** @return the mean over the recent mix of requests; an assumed value before the first one */
    Microseconds mean() const;

    /** @return the mean and the estimates of at most maxSharedProfiles profiles */
    SharedServiceTimes shared() const;
    /** Replaces the estimates that are based on fewer responses than those of another host. */
    void adopt(const SharedServiceTimes &shared);

    static constexpr std::size_t maxSharedProfiles = 16;

private:
    struct Estimate
    {
        double microseconds = 0;
        int samples = 0;
    };
    /** Routes and profiles for which estimates are kept; the oldest ones are dropped. */
    static constexpr std::size_t maxRoutes = 1024;
    static constexpr std::size_t maxProfiles = 64;

    static void add(Estimate &estimate, double microseconds);
    static void adopt(Estimate &estimate, const ServiceTimeEstimate &shared);
    static ServiceTimeEstimate toShared(const Estimate &estimate);
    Estimate profileEstimate(ProfileKey profile) const;

    Estimate m_all{initialMicroseconds, 1};
    BoundedMap<ProfileKey, Estimate> m_profiles{maxProfiles};
    BoundedMap<RouteKey, Estimate> m_routes{maxRoutes};

    /** Assumed before the first response. */
    static constexpr double initialMicroseconds = 50'000;
};

} // namespace endivedock
