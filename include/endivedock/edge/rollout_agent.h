#pragma once

#include "endivedock/edge/edge_peers.h"
#include "endivedock/edge/platform_concept.h"
#include "endivedock/edge/shared_placement.h"
#include "endivedock/loadreports.h"

#include <map>
#include <optional>

namespace endivedock {

namespace rollout_detail {

/**
 * The placing host writes the final status of a rollout to the store at once. Any other host writes
 * the final status if this time has passed since the host learned that the rollout ended, and the
 * registry still contains no final status.
 */
constexpr Milliseconds statusTakeoverDelay{700};
/** Interval between attempts of one host to write the final status of a rollout. */
constexpr Milliseconds statusRetryInterval{1500};

} // namespace rollout_detail

/**
 * Carries out the rollouts that operators order: hands the orders to the load aggregator, which
 * decides on them on the placing host, applies the progress that the placing host reports, and
 * writes the status of each rollout to the store.
 */
template <EdgePlatform P>
class RolloutAgent
{
public:
    /** The references must outlive this object. */
    RolloutAgent(asio::any_io_executor executor, HostId self, typename P::Store &store,
                 const Registry &registry, const EdgePeers &peers,
                 SharedPlacement<EdgePeers> &placement, LoadAggregator &aggregator)
        : m_executor(std::move(executor))
        , m_self(self)
        , m_store(store)
        , m_registry(registry)
        , m_peers(peers)
        , m_placement(placement)
        , m_aggregator(aggregator)
    {
    }

    /** Starts and ends rollouts as the registry's orders say. */
    void applyOrders(TimePoint now);
    void applyProgress(const ServiceId &service, const RolloutProgress &progress);
    /** @return what this host knows of the service's rollout; nothing without a rollout */
    std::optional<RolloutProgress> progress(const ServiceId &service) const
    {
        const auto found = m_rollouts.find(service);
        return found == m_rollouts.end() ? std::nullopt : found->second.progress;
    }
    /** Tells the aggregator whether new versions can take the place of the old ones. */
    void updateCapacities(TimePoint now)
    {
        for (const auto &[service, rollout] : m_rollouts) {
            const bool isSettling =
                    rollout.progress && rollout.progress->phase == RolloutPhase::Settling;
            const ServiceBalancer *balancer = isSettling ? m_placement.find(service) : nullptr;
            if (balancer != nullptr)
                m_aggregator.setNewVersionCapacity(service, balancer->hasNewVersionCapacity(now));
        }
    }
    /** Writes the final statuses that are due to be written by this host. */
    void writeFinalStatuses(TimePoint now);

private:
    /** A rollout whose order has no final status in this host's registry copy. */
    struct ActiveRollout
    {
        RolloutOrder order;
        /** When this host first saw the order. */
        TimePoint seenAt;
        std::optional<RolloutProgress> progress;
        /** When this host learned that the rollout ended; TimePoint{} until then. */
        TimePoint endedAt{};
        /** Earliest time of the next attempt to write the final rollout status. */
        TimePoint nextStatusWriteAt{};
        bool isWritingStatus = false;
    };

    Task<> writeStatus(ServiceId service, RolloutState state);

    asio::any_io_executor m_executor;
    HostId m_self;
    typename P::Store &m_store;
    const Registry &m_registry;
    const EdgePeers &m_peers;
    SharedPlacement<EdgePeers> &m_placement;
    LoadAggregator &m_aggregator;
    std::map<ServiceId, ActiveRollout> m_rollouts;
    Log m_log{"host"};
};

template <EdgePlatform P>
void RolloutAgent<P>::applyOrders(TimePoint now)
{
    for (const auto &[service, balancer] : m_placement.balancers()) {
        const auto &running = balancer->versions().running();
        const auto found = m_rollouts.find(service);
        if (!running) {
            if (found != m_rollouts.end()) {
                m_log.info("Rollout ended", {field("service", service)});
                m_rollouts.erase(found);
                m_aggregator.setRolloutOrder(service, std::nullopt, now);
            }
            continue;
        }
        if (found == m_rollouts.end() || found->second.order.revision != running->revision) {
            m_log.info("Rollout ordered", {field("service", service), field("to", running->to),
                                           field("duration_ms", running->duration.count()),
                                           field("revision", running->revision)});
            m_rollouts[service] = ActiveRollout{*running, now, std::nullopt, {}, {}, false};
            balancer->setRolloutShare(Share(0));
            balancer->setOldVersionOverflow(false);
            startTask(m_executor, "verdict", writeStatus(service, RolloutState::Running));
        }
        m_aggregator.setRolloutOrder(service, running, m_rollouts.at(service).seenAt);
    }
}

template <EdgePlatform P>
void RolloutAgent<P>::applyProgress(const ServiceId &service, const RolloutProgress &progress)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return;
    ActiveRollout &rollout = found->second;
    if (progress.number != static_cast<std::uint64_t>(rollout.order.revision.value()))
        return;
    const RolloutProgress merged =
            rollout.progress ? mergeProgress(*rollout.progress, progress) : progress;
    if (merged == rollout.progress)
        return;
    m_log.info("Rollout progressed",
               {field("service", service), field("to", rollout.order.to),
                field("phase", name(merged.phase)), field("share", trafficShareOf(merged).value()),
                field("cause", name(merged.cause))});
    if (merged.phase >= RolloutPhase::Done && rollout.endedAt == TimePoint{})
        rollout.endedAt = SteadyClock().now();
    rollout.progress = merged;
    if (ServiceBalancer *balancer = m_placement.find(service)) {
        balancer->setRolloutShare(trafficShareOf(merged));
        balancer->setOldVersionOverflow(hasOldVersionOverflow(merged));
    }
}

template <EdgePlatform P>
void RolloutAgent<P>::writeFinalStatuses(TimePoint now)
{
    for (auto &[service, rollout] : m_rollouts) {
        if (rollout.endedAt == TimePoint{} || rollout.isWritingStatus ||
            now < rollout.nextStatusWriteAt)
            continue;
        const bool isPlacingHost = m_peers.placingHost(service, now) == m_self;
        if (!isPlacingHost && now - rollout.endedAt < rollout_detail::statusTakeoverDelay)
            continue;
        rollout.isWritingStatus = true;
        rollout.nextStatusWriteAt = now + rollout_detail::statusRetryInterval;
        const bool done = rollout.progress->phase == RolloutPhase::Done;
        startTask(m_executor, "verdict",
                  writeStatus(service, done ? RolloutState::Done : RolloutState::RolledBack));
    }
}

template <EdgePlatform P>
Task<> RolloutAgent<P>::writeStatus(ServiceId service, RolloutState state)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        co_return;
    const RolloutOrder order = found->second.order;
    const bool isPlacingHost = m_peers.placingHost(service, SteadyClock().now()) == m_self;
    if (state == RolloutState::Running && !isPlacingHost)
        co_return;
    const StoreEntry entry = P::makeRolloutStatusEntry(service, order.to, state);
    const StoreEntry *stored = m_registry.find(entry.key);
    std::vector<ConditionalPut> conditionalPuts;
    conditionalPuts.push_back({entry.key, stored ? stored->modRevision : Revision(0), entry.value});
    try {
        const CompareAndSwapResult result =
                co_await m_store.compareAndSwap(std::move(conditionalPuts), noLease);
        m_log.info("Rollout status submitted",
                   {field("service", service), field("to", order.to),
                    field("swapped", result.wasSwapped), field("value", entry.value)});
    } catch (const Error &error) {
        m_log.warning("Rollout status could not be written",
                      {field("service", service), field("error", error.what())});
    }
    const auto rollout = m_rollouts.find(service);
    if (rollout != m_rollouts.end())
        rollout->second.isWritingStatus = false;
}

} // namespace endivedock
