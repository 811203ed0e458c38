#pragma once

#include "endivedock/core.h"
#include "endivedock/edge/registry.h"

#include <map>
#include <vector>

namespace endivedock {

/**
 * Selects the hosts that read the platform's store, so that the load on the store does not grow
 * with the fleet: the first few hosts of an order that all hosts share, sorted by descending
 * capacity. These readers send notices to all other hosts. A reader without a recent notice is
 * skipped, and the next host in the order starts to read.
 */
class StoreReaderSelector
{
public:
    /** @param capacity  processor share with which this host registers, in cores */
    StoreReaderSelector(HostId self, double capacity)
        : m_self{self, capacity}
    {
    }

    void setHosts(const std::vector<RegisteredHost> &hosts, TimePoint now);
    /**
     * Records a notice from another host.
     *
     * @param readsStore  whether the sender can reach the store
     */
    void recordNotice(HostId host, bool readsStore, TimePoint now);
    /**
     * Decides whether this host is to read the store. If there are too few readers, the next hosts
     * in the order start first. A host further down in the order waits longer, and starts only if
     * the earlier hosts have sent no notices in that time.
     *
     * @return whether this host is to read the store
     */
    bool shouldRead(TimePoint now);

    /**
     * Number of hosts that read the store: enough to lose a zone and single hosts at the same time.
     */
    static constexpr std::size_t readerCount = 4;
    /** Interval between the notices of a reader. */
    static constexpr Milliseconds noticeInterval{500};
    /** A reader without a notice for this long is skipped. */
    static constexpr Milliseconds noticeTimeout{1300};
    /**
     * Delay per takeover step: the time that the hosts of one step have to start reading and to
     * send a notice before the hosts of the next step start.
     */
    static constexpr Milliseconds takeoverDelay{250};
    /** Largest number of takeover steps that a host waits, however low its rank. */
    static constexpr std::size_t maxTakeoverSteps = 4;

private:
    struct Rank
    {
        HostId id;
        double capacity = 0;
        bool ranksBefore(const Rank &other) const;
    };

    Rank m_self;
    std::vector<Rank> m_higherRanked;
    /**
     * When each other host was last known to read the store. A newly registered host counts as a
     * reader until noticeTimeout has passed.
     */
    std::map<HostId, TimePoint> m_lastReadAt;
    /**
     * Time since which too few of the hosts ranked before this one have been readers; absent if
     * there are enough.
     */
    std::optional<TimePoint> m_tooFewReadersSince;
};

} // namespace endivedock
