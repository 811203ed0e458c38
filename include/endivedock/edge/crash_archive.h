#pragma once

#include "endivedock/edge/edge_peers.h"
#include "endivedock/edge/platform_concept.h"
#include "endivedock/edge/shared_placement.h"

#include <algorithm>
#include <optional>

namespace endivedock {

/**
 * Keeps the records of quarantined requests in the platform's store, since all hosts may end at the
 * same time. One host writes; each other host takes over after a delay of its own.
 */
template <EdgePlatform P>
class CrashArchive
{
public:
    /** The arguments except @p executor must outlive this object. */
    CrashArchive(asio::any_io_executor executor, HostId self, typename P::Store &store,
                 const Registry &registry, const EdgePeers &peers,
                 SharedPlacement<EdgePeers> &placement, Random &random)
        : m_executor(std::move(executor))
        , m_self(self)
        , m_store(store)
        , m_registry(registry)
        , m_peers(peers)
        , m_placement(placement)
        , m_takeoverDelay(minTakeoverDelay +
                          Milliseconds(drawBelow(random, maxTakeoverJitter.count())))
    {
    }

    /** Merges the records in the store into those of this host. */
    void applyRegistry(TimePoint now)
    {
        const auto stored = m_registry.crashRecords();
        if (!stored || stored->revision <= m_appliedRevision)
            return;
        m_appliedRevision = stored->revision;
        m_placement.handle(m_self, presentRecords(*stored), now);
    }

    /** Writes the records if those in the store are not sufficient and it is this host's turn. */
    void tick(TimePoint now)
    {
        if (m_isWriting || now < m_nextWriteAt || !m_registry.table())
            return;
        const auto stored = m_registry.crashRecords();
        auto records = m_placement.crashRecordsToStore(
                stored ? presentRecords(*stored) : CrashRecords{}, now);
        if (!records) {
            m_dueSince.reset();
            return;
        }
        m_dueSince = m_dueSince.value_or(now);
        const bool isWriter = m_peers.placingHost(ServiceId("crash-records"), now) == m_self;
        if (!isWriter && now - *m_dueSince < m_takeoverDelay)
            return;
        m_isWriting = true;
        m_nextWriteAt = now + retryInterval;
        startTask(m_executor, "crash-records", write(std::move(*records)));
    }

private:
    static constexpr Milliseconds minTakeoverDelay{700};
    static constexpr Milliseconds maxTakeoverJitter{2000};
    static constexpr Milliseconds retryInterval{1500};

    static CrashRecords presentRecords(const StoredCrashRecords &stored)
    {
        const Milliseconds elapsed = Milliseconds(unixTimeMilliseconds()) - stored.writtenAt;
        return aged(stored.records, std::max(elapsed, Milliseconds(0)));
    }

    Task<> write(CrashRecords records)
    {
        const StoreEntry entry =
                P::makeCrashRecordsEntry(records, Milliseconds(unixTimeMilliseconds()));
        const StoreEntry *stored = m_registry.find(entry.key);
        std::vector<ConditionalPut> conditionalPuts;
        conditionalPuts.push_back(
                {entry.key, stored ? stored->modRevision : Revision(0), entry.value});
        try {
            const CompareAndSwapResult result =
                    co_await m_store.compareAndSwap(std::move(conditionalPuts), noLease);
            m_log.info("Crash records submitted", {field("requests", records.records.size()),
                                                   field("swapped", result.wasSwapped)});
        } catch (const Error &error) {
            m_log.warning("Crash records could not be written", {field("error", error.what())});
        }
        m_isWriting = false;
    }

    asio::any_io_executor m_executor;
    HostId m_self;
    typename P::Store &m_store;
    const Registry &m_registry;
    const EdgePeers &m_peers;
    SharedPlacement<EdgePeers> &m_placement;
    Milliseconds m_takeoverDelay;
    Revision m_appliedRevision;
    /** Since when the records in the store are not sufficient. */
    std::optional<TimePoint> m_dueSince;
    TimePoint m_nextWriteAt{};
    bool m_isWriting = false;
    Log m_log{"host"};
};

} // namespace endivedock
