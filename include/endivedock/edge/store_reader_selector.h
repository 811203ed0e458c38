#pragma once

#include "endivedock/core.h"
#include "endivedock/edge/registry.h"

#include <map>
#include <vector>

namespace endivedock {

/**
 * Which hosts read the platform's store, so that its load does not grow with the fleet: the first
 * few in an order that all hosts share, the strongest first. Readers tell all others that they
 * read; one that is not heard is passed over, and the next one begins.
 */
class StoreReaderSelector
{
public:
    /** @param capacity  of this host, as it registers it */
    StoreReaderSelector(HostId self, double capacity)
        : m_self{self, capacity}
    {
    }

    void setHosts(const std::vector<RegisteredHost> &hosts, TimePoint now);
    /** @param readsStore  whether the sender can reach the store */
    void recordResponse(HostId host, bool readsStore, TimePoint now);
    /**
     * Where readers are missing, the next hosts in the order begin first, and the others only if
     * they do not hear of them.
     *
     * @return whether this host is to read
     */
    bool shouldRead(TimePoint now);

    /** Enough that a zone and single hosts may be lost at the same time. */
    static constexpr std::size_t readerCount = 4;
    /** Readers tell of themselves this often. */
    static constexpr Milliseconds noticeInterval{500};
    /** A reader that was not heard for this long is passed over. */
    static constexpr Milliseconds noticeTimeout{1300};
    /** The next hosts in the order have this time to begin and to tell of it. */
    static constexpr Milliseconds takeoverDelay{250};
    /** Turns after which a host reads wherever it stands in the order. */
    static constexpr std::size_t maxTakeoverSteps = 4;

private:
    struct Rank
    {
        HostId id;
        double capacity = 0;
        bool before(const Rank &other) const;
    };

    Rank m_self;
    std::vector<Rank> m_higherRanked;
    /** When each host was last known to read; a new host is given the benefit of the doubt. */
    std::map<HostId, TimePoint> m_lastReadAt;
    /** Since when too few hosts ahead of this one have been reading. */
    std::optional<TimePoint> m_tooFewReadersSince;
};

} // namespace endivedock
