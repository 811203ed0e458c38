#pragma once

#include "endivedock/core.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace endivedock {

/**
 * Which host relays for each service: the first by rendezvous hashing that answers. Hosts that
 * disagree for a moment only see a part of the others' counts.
 */
class PlacingHostSelector
{
public:
    explicit PlacingHostSelector(HostId self)
        : m_self(self)
    {
    }

    /**
     * @param hosts   all other entry hosts that are known
     * @param preferred  those of them that are to place, if they answer; this host is always a last
     *                resort
     */
    void setHosts(const std::vector<HostId> &hosts, const std::set<HostId> &preferred);
    HostId placingHostFor(const ServiceId &service, TimePoint now) const;
    void recordRequest(HostId host, TimePoint now);
    void recordResponse(HostId host, TimePoint now);
    /**
     * The host left a question unanswered for too long. It is passed over for a while once that
     * has happened twice with nothing heard from it in between: a single miss is more often a stall
     * of the host that asked, and hosts that disagree on who places spoil each other's counts.
     */
    void recordTimeout(HostId host, TimePoint now);

    /** A host that was asked and has been silent for this long is passed over. */
    static constexpr Milliseconds responseTimeout{300};
    /** And is tried again after this time. */
    static constexpr Milliseconds retryInterval{1500};
    /** Questions that are missed within this time may all have met the same stall. */
    static constexpr Milliseconds correlatedTimeoutWindow{50};

private:
    struct Contact
    {
        /** First question since the last answer; absent if none is open. */
        std::optional<TimePoint> pendingSince;
        /** First question since the last answer that was missed. */
        std::optional<TimePoint> firstTimeoutAt;
    };

    bool isUnresponsive(HostId host, TimePoint now) const;

    HostId m_self;
    std::optional<HostId> highestWeighted(const ServiceId &service, bool preferred,
                                          TimePoint now) const;

    std::vector<HostId> m_hosts;
    std::set<HostId> m_preferred;
    std::map<HostId, Contact> m_contacts;
};

} // namespace endivedock
