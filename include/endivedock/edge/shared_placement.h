#pragma once

#include "endivedock/balancing.h"
#include "endivedock/edge/registry.h"
#include "endivedock/edge/service_division.h"
#include "endivedock/edge/target_prober.h"
#include "endivedock/gateway.h"

#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace endivedock {

/** The other hosts: selects the placing host of a service and sends messages to other hosts. */
template <typename P>
concept PlacementPeers =
        requires(P peers, const ServiceId &service, const ZoneId &zone, HostId host, TimePoint now,
                 PlacementRequest request, PlacementAnswer answer, AttemptReport report,
                 PlacementCancel cancel, DrainingNotice notice) {
            /** @return the placing host in the view of this host, which may be this host */
            {
                peers.placingHost(service, now)
            } -> std::same_as<HostId>;
            /** @return the placing host of one zone of a divided service; see ZoneDivision */
            {
                peers.placingHost(service, zone, now)
            } -> std::same_as<HostId>;
            /** Records that the host did not answer in time. */
            {
                peers.recordTimeout(host, now)
            } -> std::same_as<void>;
            {
                peers.send(host, request)
            } -> std::same_as<void>;
            {
                peers.send(host, answer)
            } -> std::same_as<void>;
            {
                peers.send(host, report)
            } -> std::same_as<void>;
            {
                peers.send(host, cancel)
            } -> std::same_as<void>;
            {
                peers.send(host, notice)
            } -> std::same_as<void>;
        };

/**
 * Implements PlacementSource for one host. Requests placements from the placing host of the
 * service, which may be this host, and places a request as fallback if no answer comes in time.
 * Also answers other hosts for the services that this host places.
 *
 * @tparam Peers  the other hosts; the object must outlive this one
 */
template <PlacementPeers Peers>
class SharedPlacement
{
public:
    SharedPlacement(asio::any_io_executor executor, HostId self, const BalancingSettings &settings,
                    Random &random, Metrics &metrics, Peers &peers)
        : m_executor(std::move(executor))
        , m_self(self)
        , m_settings(settings)
        , m_random(random)
        , m_metrics(metrics)
        , m_peers(peers)
    {
    }

    // Required by PlacementSource.
    Task<std::variant<PlacedTarget, Refusal>> place(PlacementRequest request, TimePoint deadline);
    void abandon(const AttemptId &attempt);
    void report(AttemptReport report);
    void recordDraining(const AttemptReport &report);

    // Messages from other hosts.
    void handle(HostId from, const PlacementRequest &request, TimePoint now);
    void handle(HostId from, const PlacementAnswer &answer, TimePoint now);
    void handle(HostId from, const AttemptReport &report, TimePoint now);
    void handle(HostId from, const PlacementCancel &cancel, TimePoint now);
    void handle(HostId from, const CrashRecords &records, TimePoint now);
    void handle(HostId from, const DrainingNotice &notice, TimePoint now);

    /** @return the notices to send to all other hosts now */
    std::vector<DrainingNotice> takeDrainingNotices(TimePoint now);

    // CrashSuspects describes these functions.
    CrashRecords takeCrashChanges(TimePoint now) { return m_suspects.takeChanges(now); }
    CrashRecords crashRecords(TimePoint now) { return m_suspects.records(now); }
    std::optional<CrashRecords> crashRecordsToStore(const CrashRecords &stored, TimePoint now)
    {
        return m_suspects.recordsToStore(stored, now);
    }

    /**
     * Updates the balancers of all services from the registry.
     *
     * @param hostCount  number of hosts, this one included
     */
    void applyRegistry(const Registry &registry, std::size_t hostCount, TimePoint now);
    void applyProbe(const ServiceId &service, const TargetId &target,
                    const std::variant<ProbeResult, ProbeFailure> &outcome, TimePoint now);
    /** Places or refuses the requests in the queues of this host that are due at @p now. */
    void tick(TimePoint now);
    bool hasWaitingRequests() const;

    /** @return the balancer of the service, or null if the registry does not contain the service */
    ServiceBalancer *find(const ServiceId &service);
    std::map<ServiceId, std::unique_ptr<ServiceBalancer>> &balancers() { return m_balancers; }
    /** @return the path for probes of the service's targets; "/" if none is configured */
    std::string healthPath(const ServiceId &service) const;

private:
    /** A request of this host that waits for the answer of the placing host. */
    struct Pending
    {
        explicit Pending(const asio::any_io_executor &executor)
            : answer(executor)
        {
        }
        OneShotChannel<PlacementAnswer> answer;
        HostId placingHost;
        ServiceId service;
        /** Whether the placing host has reported that the request waits in its queue. */
        bool isQueued = false;
        bool isAbandoned = false;
    };
    class PendingScope;

    using AskedOutcome = std::variant<PlacedTarget, Refusal, OtherZone>;

    /** @return the host to ask for a target of the request first */
    HostId firstPlacingHost(const PlacementRequest &request, const ServiceBalancer &balancer,
                            TimePoint now);
    /** Requests a target from one placing host, which may be this one. */
    Task<AskedOutcome> ask(HostId placingHost, PlacementRequest request, TimePoint deadline);
    void logSpill(const PlacementRequest &request, const OtherZone &other, HostId placingHost);
    Task<std::optional<PlacementAnswer>> requestPlacement(PlacementRequest request,
                                                          Pending &pending, TimePoint deadline);
    std::variant<PlacedTarget, Refusal> placeAsFallback(const PlacementRequest &request);
    AskedOutcome applyAnswer(const PlacementRequest &request, HostId placedBy,
                             const PlacementAnswer &answer);
    PlacedTarget makePlacedTarget(const PlacementRequest &request, const TargetChoice &choice,
                                  HostId placedBy);
    void logPause(const AttemptReport &report);
    /** @param source  host from which this host learned that the target is draining */
    void logDraining(const ServiceId &service, const TargetProcess &process, Milliseconds age,
                     HostId source);
    /** Logs why a choice of the placing host is not used, and corrects the placing host. */
    void refuseChoice(const PlacementRequest &request, const Placement &placement, HostId placedBy);
    /** @param source  host from which this host learned of the events */
    void logCrashEvents(HostId source);
    void logRefusal(const PlacementRequest &request, const ServiceBalancer::Outcome &outcome);
    void deliver(const PlacementDecision &decision);
    /**
     * Releases a placement by this host that reached its request only after the caller had left.
     * Placements by other hosts are canceled with a message.
     */
    void releaseUnused(const PlacementRequest &request, const PlacementAnswer &answer);
    void dispatch(ServiceBalancer &balancer, TimePoint now);

    asio::any_io_executor m_executor;
    HostId m_self;
    BalancingSettings m_settings;
    Random &m_random;
    Metrics &m_metrics;
    Peers &m_peers;
    CrashSuspects m_suspects;
    std::map<ServiceId, std::unique_ptr<ServiceBalancer>> m_balancers;
    std::map<ServiceId, std::string> m_healthPaths;
    std::map<AttemptId, Pending *> m_pending;
    Log m_log{"placement"};
};

/**
 * RunGuard that allows every run: requests to edge hosts carry no idempotency key, and each goes to
 * one host only.
 */
struct NoRunGuard
{
    Task<std::optional<Refusal>> claim(RunClaim, TimePoint) { co_return std::nullopt; }
    void finish(RunClaim, RunOutcome) {}
};

} // namespace endivedock
