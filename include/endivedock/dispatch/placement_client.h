#pragma once

#include "endivedock/dispatch/fallback_picker.h"
#include "endivedock/dispatch/local_placers.h"
#include "endivedock/gateway.h"
#include "endivedock/net.h"
#include "endivedock/telemetry.h"

#include <concepts>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>

namespace endivedock {

/** What the client needs to know of hosts, and the way to them. */
template <typename L>
concept PlacementLink =
        requires(L link, const ServiceId &service, HostId host, PlacementRequest request,
                 AttemptReport report, PlacementCancel cancel) {
            /** The host that places a service now, or may; nothing where none is known. */
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
            {
                link.entryHostCount()
            } -> std::same_as<std::size_t>;
        };

/** Where a client finds the addresses behind targets and the rules of their service. */
struct PlacementContext
{
    HostId self;
    const NewestConfiguration &configuration;
    Metrics &metrics;
    Random &random;
};

/**
 * Gets placements for this host's requests: from its own placer where it places the service, else
 * from the host that does. Messages may be lost, so requests and reports are repeated until they
 * are answered. Where no placing host answers, the stopgap picks.
 *
 * @tparam Link  the way to the other hosts; outlives the client
 */
template <PlacementLink Link>
class PlacementClient
{
public:
    PlacementClient(asio::any_io_executor executor, PlacementContext world, LocalPlacers &local,
                    Link &link);

    // As PlacementSource requires.
    Task<std::variant<PlacedTarget, Refusal>> place(const PlacementRequest &request,
                                                    TimePoint deadline);
    void abandon(const AttemptId &attempt);
    void report(AttemptReport report);

    /** Takes an answer, from this host's placer or from another host. */
    void deliver(const PlacementAnswer &answer);
    void deliver(const AttemptReportAck &receipt);
    void setTargets(std::vector<ListedTarget> listed);
    /** Repeats reports that were not confirmed; to be called every initialResendInterval. */
    void resendReports();
    /** @return what this host has in flight for a service, for a new placing host */
    InFlightList inFlight(const ServiceId &service) const;
    std::size_t unconfirmedReports() const { return m_unconfirmed.size(); }

    /** First time until a message is repeated; it doubles up to maxResendInterval. */
    static constexpr Milliseconds initialResendInterval{50};
    static constexpr Milliseconds maxResendInterval{400};

private:
    using Outcome = std::variant<Placement, Refusal>;
    struct Pending
    {
        explicit Pending(const asio::any_io_executor &executor)
            : answer(executor)
        {
        }
        OneShotChannel<Outcome> answer;
        ServiceId service;
        std::optional<HostId> asked;
        /** When a placing host last showed that it has the request. */
        TimePoint lastSign{};
        std::array<TimePoint, 256> sentAt{};
    };
    struct Running
    {
        PlacementRequest request;
        Placement placement;
        bool stopgap = false;
        TimePoint deadline;
    };
    struct Unconfirmed
    {
        AttemptReport report;
        int sendings = 0;
        TimePoint sendAgainAt{};
    };

    void askAgain(Pending &pending, PlacementRequest &message, TimePoint deadline);
    void sendCancel(const Pending &pending, const AttemptId &attempt);
    void sendReport(const AttemptReport &report);
    std::variant<PlacedTarget, Refusal> use(const PlacementRequest &request,
                                            const Placement &placement, TimePoint deadline,
                                            bool stopgap);
    std::optional<TargetId> pickStopgap(const PlacementRequest &request);
    const ListedTarget *findTarget(const TargetId &id) const;

    asio::any_io_executor m_executor;
    PlacementContext m_world;
    LocalPlacers &m_local;
    Link &m_link;
    FallbackPicker m_fallback;
    std::vector<ListedTarget> m_listed;
    std::unordered_map<TargetId, std::size_t> m_listedIndex;
    std::map<AttemptId, Pending *> m_pending;
    std::map<AttemptId, Running> m_running;
    std::map<AttemptId, Unconfirmed> m_unconfirmed;
};

} // namespace endivedock
