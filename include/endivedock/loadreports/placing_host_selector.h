#pragma once

#include "endivedock/core.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace endivedock {

/**
 * Selects the placing host of each service, by rendezvous hashing among the hosts that respond.
 * While hosts disagree on the placing host, each of them sees only a part of the in-flight requests
 * of the other hosts.
 */
class PlacingHostSelector
{
public:
    explicit PlacingHostSelector(HostId self)
        : m_self(self)
    {
    }

    /**
     * Replaces the known hosts.
     *
     * @param hosts  all known hosts except this one
     * @param preferred  the hosts, which may include this one, that are to place requests while
     *                   they respond; this host always counts as responsive and is the last resort
     * @param zones  zones of the hosts, this one included, as far as they are known
     */
    void setHosts(const std::vector<HostId> &hosts, const std::set<HostId> &preferred,
                  const std::map<HostId, ZoneId> &zones = {});
    /** @return the placing host of the service in the view of this host */
    HostId placingHostFor(const ServiceId &service, TimePoint now) const
    {
        return placingHostFor(service, ZoneId(), now);
    }
    /** @return the host that places in @p zone, which is in that zone while a host there responds
     */
    HostId placingHostFor(const ServiceId &service, const ZoneId &zone, TimePoint now) const;
    /** Records that a request was sent to a host, so that a response is due. */
    void recordRequest(HostId host, TimePoint now);
    /** Records a response, after which the host is no longer skipped. */
    void recordResponse(HostId host, TimePoint now);
    /**
     * Records that a host did not respond to a request in time. The host is skipped for a while
     * once this has happened twice without a response in between. A single timeout is more
     * often caused by a stall of the requesting host, and hosts that disagree on the placing host
     * distort each other's in-flight counts.
     */
    void recordTimeout(HostId host, TimePoint now);

    /** A host that has not responded to a request for this long is skipped. */
    static constexpr Milliseconds responseTimeout{300};
    /**
     * A skipped host is tried again after this time: the next request to that host then starts a
     * new responseTimeout.
     */
    static constexpr Milliseconds retryInterval{1500};
    /**
     * Timeouts within this time of the first one may all be due to the same stall, so they count as
     * one.
     */
    static constexpr Milliseconds correlatedTimeoutWindow{50};

private:
    struct Contact
    {
        /** Time of the first request since the last response; absent if no response is due. */
        std::optional<TimePoint> pendingSince;
        /** Time of the first timeout since the last response. */
        std::optional<TimePoint> firstTimeoutAt;
    };

    bool isUnresponsive(HostId host, TimePoint now) const;

    /** @return all hosts in the order in which they are to place requests of the service */
    std::vector<HostId> rankHosts(const ServiceId &service, const ZoneId &zone) const;

    HostId m_self;
    std::vector<HostId> m_hosts;
    std::set<HostId> m_preferred;
    std::map<HostId, ZoneId> m_zones;
    /** Results of rankHosts() since the last call of setHosts(). */
    mutable std::map<std::pair<ServiceId, ZoneId>, std::vector<HostId>> m_rankings;
    std::map<HostId, Contact> m_contacts;
};

} // namespace endivedock
