#pragma once

#include "endivedock/dispatch/fallback_picker.h"
#include "endivedock/dispatch/local_placers.h"
#include "endivedock/dispatch/target_availability.h"
#include "endivedock/gateway.h"
#include "endivedock/net.h"
#include "endivedock/telemetry.h"

#include <concepts>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

namespace endivedock {

/**
 * Finds the placing host of a service and sends messages to hosts. A link also needs a function
 * markNotPlacing(service, host), which the concept does not check: it records that the host does
 * not place the service or does not answer, so that placingHostOf() names another host if possible.
 */
template <typename L>
concept PlacementLink =
        requires(L link, const ServiceId &service, HostId host, PlacementRequest request,
                 AttemptReport report, PlacementCancel cancel) {
            /** The known or likely placing host of a service; absent if no host is known. */
            {
                link.placingHostOf(service)
            } -> std::same_as<std::optional<HostId>>;
            {
                link.send(host, request)
            } -> std::same_as<void>;
            {
                link.send(host, report)
            } -> std::same_as<void>;
            {
                link.send(host, cancel)
            } -> std::same_as<void>;
            /** The number of hosts that share the connection limit of each target. */
            {
                link.entryHostCount()
            } -> std::same_as<std::size_t>;
        };

/** Identity and objects of the host that a PlacementClient uses; they must outlive the client. */
struct PlacementContext
{
    HostId self;
    const NewestConfiguration &configuration;
    Metrics &metrics;
    Random &random;
};

/**
 * Gets placements for this host's requests: from the local placer if this host is the placing host
 * of the service, otherwise from the placing host. Messages may be lost, so requests and reports
 * are resent until they are answered. If no placing host answers, a FallbackPicker picks a target.
 *
 * @tparam Link  sends messages to other hosts; must outlive the client
 */
template <PlacementLink Link>
class PlacementClient
{
public:
    PlacementClient(asio::any_io_executor executor, PlacementContext context,
                    LocalPlacers &localPlacers, Link &link);

    // Interface required by the concept PlacementSource.
    Task<std::variant<PlacedTarget, Refusal>> place(const PlacementRequest &request,
                                                    TimePoint deadline);
    void abandon(const AttemptId &attempt);
    void report(AttemptReport report);
    void recordDraining(const AttemptReport &report);

    /** @return whether the target wants no requests from this host now */
    bool isPaused(const TargetId &target) const
    {
        return m_targets.isPaused(target, SteadyClock().now());
    }

    /** Handles an answer from a local placer or from another host. */
    void deliver(const PlacementAnswer &answer);
    void deliver(const AttemptReportAck &acknowledgement);
    void setTargets(std::vector<ListedTarget> listed)
    {
        m_targets.setTargets(std::move(listed), SteadyClock().now());
    }
    /** Resends unacknowledged reports; to be called every initialResendInterval. */
    void resendReports();
    /** @return this host's attempts in flight for a service, except those without a grant */
    InFlightList inFlight(const ServiceId &service) const;
    std::size_t unacknowledgedReports() const { return m_unacknowledged.size(); }

    /** Time until a message is first resent; the interval doubles up to maxResendInterval. */
    static constexpr Milliseconds initialResendInterval{50};
    static constexpr Milliseconds maxResendInterval{400};

private:
    using Outcome = std::variant<Placement, Refusal>;
    struct PendingRequest
    {
        explicit PendingRequest(const asio::any_io_executor &executor)
            : answer(executor)
        {
        }
        OneShotChannel<Outcome> answer;
        ServiceId service;
        /** The host that the last transmission was sent to. */
        std::optional<HostId> placingHost;
        /** All hosts that a transmission was sent to; each of them may grant the request. */
        std::set<HostId> requestedHosts;
        /** When place() began, or a placing host last answered, also with PlacementQueued. */
        TimePoint lastAnswerAt{};
        /** When each transmission was sent, by transmission number. */
        std::array<TimePoint, 256> sentAt{};
    };
    struct RunningAttempt
    {
        PlacementRequest request;
        Placement placement;
        Address address;
        TimePoint startedAt{};
        bool isFallback = false;
        TimePoint deadline;
        /** See PendingRequest; one of them granted the placement. */
        std::set<HostId> requestedHosts;
    };
    struct UnacknowledgedReport
    {
        AttemptReport report;
        int transmissions = 0;
        TimePoint resendAt{};
    };

    void sendRequest(PendingRequest &pending, PlacementRequest &message, TimePoint deadline);
    void sendCancel(const PendingRequest &pending, const AttemptId &attempt);
    /** Sends a report to the placing host, and to the hosts of @p requestedHosts. */
    void sendReport(const AttemptReport &report, std::set<HostId> requestedHosts = {});
    std::variant<PlacedTarget, Refusal> startAttempt(const PendingRequest &pending,
                                                     const PlacementRequest &request,
                                                     const Placement &placement, TimePoint deadline,
                                                     bool isFallback);
    /**
     * Releases a placement at a target that is closed, or has stated to this host that it is
     * draining. The hosts that may have placed the request are told.
     *
     * @return whether the placement was refused
     */
    bool refuseIfUnusable(const PendingRequest &pending, const PlacementRequest &request,
                          const Placement &placement);
    /** @return the refusal of a request if all targets of its service are closed to this host */
    std::optional<Refusal> refusalIfAllClosed(const ServiceId &service);
    /** Records what the response to an attempt of this host states about pauses. */
    void updatePause(const RunningAttempt &attempt, const AttemptReport &report);
    std::optional<TargetId> pickFallbackTarget(const PlacementRequest &request);

    asio::any_io_executor m_executor;
    PlacementContext m_context;
    LocalPlacers &m_localPlacers;
    Link &m_link;
    FallbackPicker m_fallback;
    TargetAvailability m_targets;
    std::map<AttemptId, PendingRequest *> m_pending;
    std::map<AttemptId, RunningAttempt> m_running;
    std::map<AttemptId, UnacknowledgedReport> m_unacknowledged;
    Log m_log{"placement"};
};

} // namespace endivedock
