#pragma once

#include "endivedock/core.h"
#include "endivedock/edge/registry.h"

#include <map>
#include <optional>
#include <vector>

namespace endivedock {

/**
 * Selects the hosts that read the platform's store, so that the load on the store does not grow
 * with the fleet: the first few hosts of an order that all hosts share, sorted by descending
 * capacity. These readers send notices to all other hosts. A reader without a recent notice is
 * skipped, and the next host in the order starts to read.
 *
 * A reader whose path to the store is cut learns of that only when its watch times out. So the
 * readers stagger their watches: even if nothing changes, the store answers one of them in each
 * answerInterval. If it has answered none of them for answerTimeout, the next hosts in the order
 * start to read, and the earlier readers are skipped until the store answers them again.
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
     * @param readsStore     whether the sender can reach the store
     * @param storeAnswerAt  when the store last answered the sender
     */
    void recordNotice(HostId host, bool readsStore, TimePoint storeAnswerAt, TimePoint now);
    /** Records that the store answered another host with changes, which that host has passed on. */
    void recordStoreAnswer(HostId host, TimePoint now);
    /**
     * Decides whether this host is to read the store. If there are too few readers, the next hosts
     * in the order start first. A host further down in the order waits longer, and starts only if
     * the earlier hosts have sent no notices in that time.
     *
     * @return whether this host is to read the store
     */
    bool shouldRead(TimePoint now);
    /** @return the other hosts that have recently told that they read the store */
    std::vector<HostId> readingHosts(TimePoint now) const;
    /** @return the time since the store last answered another host, if this host knows it */
    std::optional<Milliseconds> answerAge(TimePoint now) const;
    /** @return how long the next watch of this host, a reader, waits for changes */
    Milliseconds watchTimeout(TimePoint now) const;

    /**
     * Number of hosts that read the store: enough to lose a zone and single hosts at the same time.
     */
    static constexpr std::size_t readerCount = 4;
    /** Interval between the notices of a reader. */
    static constexpr Milliseconds noticeInterval{500};
    /** A reader without a notice for this long is skipped. */
    static constexpr Milliseconds noticeTimeout{1300};
    /**
     * Time between two watches of a reader that end without changes. A watch counts as one call to
     * the store, however long it waits, and its response also shows that the store is still
     * reachable.
     */
    static constexpr Milliseconds watchPeriod{4000};
    /** Time between the answers to the watches of all readers. */
    static constexpr Milliseconds answerInterval = watchPeriod / static_cast<int>(readerCount);
    /**
     * If the store has answered no reader for this long, the readers are taken to be cut off from
     * it. Leaves the other hosts the time to read a change themselves within the two seconds in
     * which a configuration is to be applied.
     */
    static constexpr Milliseconds answerTimeout{1400};
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

    /** What another host last told. A newly registered host counts as a reader for noticeTimeout.
     */
    struct Reading
    {
        /** Time of its last notice; TimePoint{} if it told that it does not read the store. */
        TimePoint noticeAt;
        TimePoint storeAnswerAt;
    };

    /** Skips the present readers if the store has answered none of them for answerTimeout. */
    void detectSilence(TimePoint now);
    /** @return whether a host has recently told that it reads the store */
    bool isReading(HostId host, TimePoint now) const;
    /** @return whether the store also answers that host, as far as is known */
    bool isActive(HostId host, TimePoint now) const;

    Rank m_self;
    std::vector<Rank> m_higherRanked;
    std::map<HostId, Reading> m_readings;
    /** When the store last answered any of the other hosts. */
    TimePoint m_lastAnswerAt{};
    /** Readers that the store has not answered since this time are skipped. */
    TimePoint m_silentSince{};
    /**
     * Time since which too few of the hosts ranked before this one have been readers; absent if
     * there are enough.
     */
    std::optional<TimePoint> m_tooFewReadersSince;
};

} // namespace endivedock
