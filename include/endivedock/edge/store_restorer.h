#pragma once

#include "endivedock/edge/edge_peers.h"
#include "endivedock/edge/platform_concept.h"

#include <optional>
#include <vector>

namespace endivedock {

/**
 * Writes again what hosts had written to the store, after the store has come back from an older
 * copy without it. One host writes; each other host takes over after a delay of its own.
 */
template <EdgePlatform P>
class StoreRestorer
{
public:
    /** The references must outlive this object. */
    StoreRestorer(asio::any_io_executor executor, HostId self, typename P::Store &store,
                  const Registry &registry, const EdgePeers &peers, Random &random)
        : m_executor(std::move(executor))
        , m_self(self)
        , m_store(store)
        , m_registry(registry)
        , m_peers(peers)
        , m_takeoverDelay(minTakeoverDelay +
                          Milliseconds(drawBelow(random, maxTakeoverJitter.count())))
    {
    }

    /** Writes lost entries if it is this host's turn. */
    void tick(TimePoint now)
    {
        if (m_isWriting || now < m_nextWriteAt)
            return;
        auto lost = m_registry.lostEntries(maxEntriesPerWrite);
        if (lost.empty()) {
            m_lostSince.reset();
            return;
        }
        m_lostSince = m_lostSince.value_or(now);
        const bool isWriter = m_peers.placingHost(ServiceId("store-restorer"), now) == m_self;
        if (now - *m_lostSince < (isWriter ? writeDelay : m_takeoverDelay))
            return;
        m_isWriting = true;
        m_nextWriteAt = now + retryInterval;
        startTask(m_executor, "restorer", write(std::move(lost)));
    }

private:
    /** Longest write that the store accepts. */
    static constexpr std::size_t maxEntriesPerWrite = 32;
    /** Time in which the store's other clients, and its watches, show what is written already. */
    static constexpr Milliseconds writeDelay{300};
    static constexpr Milliseconds minTakeoverDelay{1000};
    static constexpr Milliseconds maxTakeoverJitter{2000};
    static constexpr Milliseconds retryInterval{1500};

    Task<> write(std::vector<ConditionalPut> lost)
    {
        const std::size_t count = lost.size();
        try {
            const CompareAndSwapResult result =
                    co_await m_store.compareAndSwap(std::move(lost), noLease);
            m_log.info("Lost entries written again",
                       {field("entries", count), field("swapped", result.wasSwapped)});
        } catch (const Error &error) {
            m_log.warning("Lost entries could not be written",
                          {field("entries", count), field("error", error.what())});
        }
        m_isWriting = false;
    }

    asio::any_io_executor m_executor;
    HostId m_self;
    typename P::Store &m_store;
    const Registry &m_registry;
    const EdgePeers &m_peers;
    Milliseconds m_takeoverDelay;
    /** Since when entries are lost. */
    std::optional<TimePoint> m_lostSince;
    TimePoint m_nextWriteAt{};
    bool m_isWriting = false;
    Log m_log{"host"};
};

} // namespace endivedock
