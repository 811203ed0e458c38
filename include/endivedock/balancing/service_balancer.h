#pragma once

#include "endivedock/balancing/balancer_records.h"
#include "endivedock/balancing/target_choice.h"
#include "endivedock/balancing/target_load.h"
#include "endivedock/balancing/target_state.h"
#include "endivedock/balancing/version_policy.h"
#include "endivedock/fairness.h"
#include "endivedock/hedging.h"
#include "endivedock/limits.h"
#include "endivedock/quarantine.h"
#include "endivedock/routes.h"
#include "endivedock/selection.h"
#include "endivedock/servicetime.h"
#include "endivedock/zones.h"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace endivedock {

/**
 * Places the requests for one service: selects a target for each request. A selected target is
 * recorded as a grant, which is in flight until the attempt has ended. Normally one host, the
 * placing host, places the requests of all hosts. The placing host counts its own grants at once,
 * and learns of requests that other hosts placed without it from their load reports. If no target
 * has free capacity that is worth using, requests wait in the placing host's queue, so that the
 * target is chosen as late as possible. If the placing host does not respond, any other host places
 * its own requests based on the load that it last received (fallback mode).
 *
 * The current time is passed as an argument. The class does no I/O and is not thread-safe.
 */
class ServiceBalancer
{
public:
    using Outcome = std::variant<TargetChoice, Refusal, OtherZone>;

    /**
     * @param self      id of this host
     * @param random    must outlive this object
     * @param suspects  requests to all services of this host that may crash targets; must outlive
     *                  this object
     */
    ServiceBalancer(ServiceId service, HostId self, const BalancingSettings &settings,
                    Random &random, CrashSuspects &suspects);

    void setRules(const ServiceRules &rules);
    /** @param hosts  number of live hosts, including this host */
    void setHostCount(std::size_t hosts);
    /**
     * Replaces the registered targets. State is kept for targets that are still registered and
     * dropped for all others.
     */
    void setTargets(std::span<const RegisteredTarget> targets, TimePoint now);
    /**
     * Sets the zones whose targets must get no requests. If a zone is no longer evacuated, its
     * targets count as cold for the warm-up time, since this host has not observed them meanwhile.
     */
    void setEvacuatedZones(const std::set<ZoneId> &zones, TimePoint now);
    /**
     * Sets how the placement of the service is divided among zones. If it is, this host places
     * requests only at the targets of its own placing zone, and passes requests for which that zone
     * has no room on to another one.
     */
    void setDivision(const ZoneDivision &division);
    const ZoneDivision &division() const { return m_division; }
    void applyZoneRoom(const ZoneRoom &room, TimePoint now);
    /** @return the room of this host's placing zone, for the other placing zones */
    ZoneRoom zoneRoom(TimePoint now) const;
    VersionPolicy &versions() { return m_versions; }
    /** @param share  fraction of the requests for the new version of the running rollout */
    void setRolloutShare(Share share) { m_rolloutShare = share; }
    /**
     * @return whether the old version can be stopped: if the zone with the most slots were lost,
     * the new version could still run the requests that are in flight on average, or at least as
     * many as the old version could
     */
    bool hasNewVersionCapacity(TimePoint now) const;
    /** @param isAllowed  see hasOldVersionOverflow() */
    void setOldVersionOverflow(bool isAllowed) { m_hasOldVersionOverflow = isAllowed; }

    /**
     * Places a request as the placing host. Other hosts may repeat a request; an attempt that
     * already has a grant gets the same grant again.
     *
     * @return nothing if the request waits; dispatch() returns its outcome later
     */
    std::optional<Outcome> place(const PlacementRequest &request, TimePoint now);
    /**
     * Serves the waiting requests, and expires grants to other hosts. To be called after finish()
     * and periodically.
     *
     * @return the outcomes of requests that no longer wait
     */
    std::vector<PlacementDecision> dispatch(TimePoint now);
    /** Removes a waiting request from the queue, or revokes its grant to another host. */
    void cancel(const AttemptId &attempt);
    std::size_t waitingCount() const { return m_waiting.size(); }

    /**
     * Places a request of this host without the placing host (fallback mode). In a divided service,
     * it goes to another zone only if the own one has no usable target.
     */
    Outcome placeAsFallback(const PlacementRequest &request, TimePoint now);
    /**
     * Records a placement that the placing host granted to this host.
     *
     * @return nothing if the target is unknown to this host or must not be used
     */
    std::optional<TargetChoice> acceptPlacement(const PlacementRequest &request,
                                                const Placement &placement, HostId placedBy,
                                                TimePoint now);

    /**
     * @return the target chosen for a grant in flight; nothing if the grant is unknown or its
     *         target is no longer registered
     */
    std::optional<TargetChoice> find(GrantId grant) const;
    /**
     * Ends an attempt and its grant, and updates the load, health and crash records of its target.
     *
     * @return the host that placed the attempt; nothing if the grant is unknown
     */
    std::optional<HostId> finish(const AttemptReport &report, TimePoint now);

    /**
     * Records that the target of a grant has stated in a response that it is draining. From then on
     * its process gets no requests, whatever its entry says.
     *
     * @return the process; nothing if it was known to be draining, or the grant is unknown
     */
    std::optional<TargetProcess> recordDrainingResponse(GrantId grant, TimePoint now);
    /**
     * Records the targets of which another host has learned that they are draining.
     *
     * @return those that this host did not know to be draining
     */
    std::vector<DrainingProcess> applyDrainingNotice(std::span<const DrainingProcess> targets,
                                                     TimePoint now);
    /** @return see DrainingTargets::takeAnnouncements() */
    std::vector<DrainingProcess> takeDrainingAnnouncements(TimePoint now)
    {
        return m_drainingTargets.takeAnnouncements(now);
    }
    /** @return whether the target is draining, by its entry or by a response that it has sent */
    bool isDraining(const TargetId &target) const;
    /** @return what the target's process has stated; nothing if it has not stated to drain */
    std::optional<DrainingProcess> findStatedDraining(const TargetId &target, TimePoint now) const;

    /** @return the targets to which this host must not send a request now; see TargetPause */
    std::vector<TargetId> closedTargets(TimePoint now) const;
    bool isClosed(const TargetId &target, TimePoint now) const;
    /**
     * @return the refusal of a request of this host if all usable targets are closed to this host,
     *         with the time until the first of them opens
     */
    std::optional<Refusal> refusalIfAllClosed(TimePoint now);

    /**
     * @param isPlacingHost  whether this host is the placing host, which also probes cold targets
     *                       and targets without a recent slowdown report
     * @return the probes to send now
     */
    std::vector<DueProbe> dueProbes(bool isPlacingHost, TimePoint now);
    /** @param probe  absent if the target did not respond */
    void applyProbeResult(const TargetId &target, const std::optional<ProbeResult> &probe,
                          TimePoint now);

    /**
     * @return the requests in flight that this host sent and @p placingHost did not place, and the
     *         slowdowns of their targets
     */
    std::vector<TargetLoad> loadReport(HostId placingHost, TimePoint now) const;
    /**
     * @return the slowdowns of all targets, and the requests in flight that this host granted,
     *         except those that @p excludedHost sends; in the order of the targets' hashes
     */
    std::vector<TargetLoad> grantedLoads(HostId excludedHost, TimePoint now) const;
    /**
     * @param others  sums over all other hosts, in the order of their targets
     * @param range  the targets that @p others describes; one that is missing in @p others has no
     *               requests of other hosts in flight
     */
    void applyAggregatedLoad(std::span<const TargetLoad> others, const TargetRange &range,
                             TimePoint now);
    /** @return the samples that were recorded during a rollout since the last call */
    std::vector<RolloutSample> takeRolloutSamples();

    const BalancerCounters &counters() const { return m_counters; }
    /** @return why place() has refused a hedge, if it has since the last call */
    std::optional<HedgeRefusal> takeHedgeRefusal()
    {
        return std::exchange(m_hedgeRefusal, std::nullopt);
    }
    std::size_t targetCount() const { return m_targets.size(); }
    /** @return the service times of targets that are idle and not slowed down */
    const ServiceTimes &serviceTimes() const { return m_serviceTimes; }
    /** Starts from what the placing host has learned where this host has learned less. */
    void adoptServiceTimes(const SharedServiceTimes &shared) { m_serviceTimes.adopt(shared); }

private:
    using Grant = balancing_detail::Grant;
    using Candidate = balancing_detail::Candidate;
    using Penalties = balancing_detail::Penalties;
    using Evaluation = balancing_detail::Evaluation;
    using WaitingRequest = balancing_detail::WaitingRequest;
    using Decision = balancing_detail::Decision;

    /** @return the cost of crossing zones and of a new connection, as time in microseconds */
    static double penalty(const PlacementRequest &request, const Penalties &penalties,
                          const TargetState &target);
    Penalties penaltiesFor(const PlacementRequest &request) const;
    /** Which targets are candidates for a request. */
    enum class PlacementMode {
        /** Only targets with free usable slots; used by the placing host. */
        Central,
        /** Also full targets; used by a host that places a request without the placing host. */
        Fallback,
        /**
         * As Fallback, and also targets that look unhealthy; used if no other target is eligible.
         */
        LastResort,
    };
    /**
     * @return whether the target may receive requests: the target is not draining, its zone is not
     *         evacuated, and its version has this role
     */
    bool isEligible(const TargetState &target, VersionRole role) const;
    /** @return whether the requesting host must not send a request to the target now */
    bool isClosedTo(const PlacementRequest &request, const TargetState &target,
                    TimePoint now) const;
    /**
     * @return whether the target is not ejected, has no request in flight if it is on probation,
     *         and is not unresponsive
     */
    bool looksHealthy(const TargetState &target, TimePoint now) const;
    /**
     * @return whether unhealthy targets may be excluded; false if so many targets are ejected that
     *         the cause is assumed to be outside the targets
     */
    bool mayExcludeUnhealthy(TimePoint now) const;
    /** @return the number of the target's slots that the placing host may fill; at least 1 */
    int usableSlots(const TargetState &target) const;
    /**
     * @return the time that the target needs for a request now if it has a free slot, as a multiple
     *         of the time of an idle target that is not slowed down
     */
    double expectedSlowdown(const TargetState &target, TimePoint now) const;
    /**
     * @return the mean of the slowdowns that targets reported in the last 2 s; 1 if there are none
     */
    double meanSlowdown(TimePoint now) const;
    /**
     * Delays the first request to a cold target by a random time. All hosts learn at the same time
     * that the target has turned cold, and must not all send requests to it at that time.
     */
    void delayFirstColdRequest(TargetState &target, TimePoint now);
    /** @return the interval between requests of this host to one cold target */
    Duration coldRequestInterval(PlacementMode mode) const;
    /** @return the time without a response after which a target counts as unresponsive */
    Duration unresponsiveTimeout(const RequestClass &requestClass) const;
    Evaluation evaluateTargets(const PlacementRequest &request, VersionRole role,
                               PlacementMode mode, TimePoint now);
    /**
     * @return the expected time until the response, in microseconds, up to which a request with a
     *         large body stays in its zone; 0 for all other requests
     */
    static double acceptableZoneLocalTime(const PlacementRequest &request);
    /**
     * Removes the candidates of other zones if the request has a large body and a candidate of its
     * zone has an acceptable expected time until the response.
     */
    static void keepLargeBodiesInZone(const PlacementRequest &request,
                                      std::vector<Candidate> &candidates);
    /** Which of several equally good targets is chosen. */
    enum class Spread {
        /** The less utilized of two random targets. */
        Even,
        /** The most utilized target. */
        Packed
    };
    /**
     * Chooses among the candidates whose expected time until the response is about the shortest.
     * Removes the other candidates.
     *
     * @return nothing if there are no candidates
     */
    std::optional<Candidate> pickFrom(std::vector<Candidate> &candidates,
                                      Spread spread = Spread::Even);
    Spread newVersionSpread() const;
    /**
     * @return the slots that the placing host may fill at the usable targets of one version, less
     *         those of the zone with most of them; all of them if the service is in one zone
     */
    int slotsWithoutLargestZone(VersionRole role, TimePoint now) const;
    /**
     * @param requestsAhead  waiting requests that are served before this one
     * @param waited         time that the request has waited so far
     */
    Decision decide(const PlacementRequest &request, std::size_t requestsAhead, Duration waited,
                    TimePoint now);
    /** @return whether this host places requests at the target; see setDivision() */
    bool isPlacedHere(const TargetState &target) const;
    /**
     * @return the zone that takes a request for which the own zone has no room now or is much
     *         slower; nothing if the request stays
     */
    std::optional<OtherZone> spill(const PlacementRequest &request, const Decision &decision,
                                   TimePoint now);
    /** Grants or refuses a hedge at once. */
    Outcome placeHedge(const PlacementRequest &request, TimePoint now);
    /** @return the best free target for a hedge, of the requesting host's zone if possible */
    std::optional<Candidate> pickForHedge(const PlacementRequest &request, TimePoint now);
    HedgeSituation hedgeSituation(const PlacementRequest &request, TimePoint now) const;
    /** @return requests in flight as a share of the slots that the placing host may fill */
    Share utilization(TimePoint now) const;
    /** Records that an attempt was cancelled because its hedge was answered. */
    void recordOvertaken(TargetState &target, const Grant &grant, Microseconds time);
    /** @return see Placement::hedgeAfter */
    Milliseconds hedgeAfter(const PlacementRequest &request) const;
    /** Checks the retry budget, and counts the attempt. */
    std::optional<Refusal> checkRetryBudget(const PlacementRequest &request, RetryBudget &budget,
                                            TimePoint now);
    /** @param retryAfter  shortest delay before the caller retries; jitter is added */
    Refusal refuse(RefusalReason reason, Milliseconds retryAfter);
    /**
     * @return the longest expected time until the response with which a request is still accepted
     */
    Duration maxExpectedTime(const PlacementRequest &request) const;
    /** @return how long a request may wait; a longer queue would make all responses late */
    Duration maxWait(const PlacementRequest &request) const;
    /**
     * @return how long the request at the front of the queue has waited; zero if no request waits
     *         that is served before a new one with @p key
     */
    Duration waitOfQueueFront(const FairQueueKey &key, TimePoint now) const;
    /** Grants @p chosen to a request of this or another host, as a decision of this host. */
    TargetChoice grant(const PlacementRequest &request, const Candidate &chosen, PlacementMode mode,
                       TimePoint now);
    /** Records a grant as in flight; @p placedBy is the host that decided on the grant. */
    TargetChoice recordGrant(const PlacementRequest &request, GrantId id, HostId placedBy,
                             const Candidate &chosen, TimePoint now);
    /**
     * @return the time that a request of mean length would have taken; times of different routes
     *         are comparable in this form
     */
    Microseconds asMeanRequest(const RequestClass &requestClass, Microseconds time) const;
    void applyOutcome(TargetState &target, const Grant &grant, const AttemptReport &report,
                      TimePoint now);
    /** Applies what a response says about requests of this host to the target. */
    void updatePause(TargetState &target, const Grant &grant, const AttemptReport &report,
                     TimePoint now);
    /** Ends a grant without an outcome. */
    void revoke(GrantId id);
    void eraseGrant(std::map<GrantId, Grant>::iterator position);
    /** Rebuilds m_targetList, m_ownTargets, m_targetsByHash and the counts of granted requests of
     * all targets. */
    void indexTargets();
    TargetLoad loadOf(const TargetState &target, TargetHash hash, int inFlight,
                      TimePoint now) const;
    /** Records what the end of an attempt of this host shows of its request and its target. */
    void updateSuspects(const Grant &grant, const AttemptReport &report, TimePoint now);
    /** Ends the use of a target if @p process is its current one. */
    void applyDraining(const TargetProcess &process);
    void expireGrants(TimePoint now);
    void refreshBaseline(TimePoint now);

    ServiceId m_service;
    HostId m_self;
    BalancingSettings m_settings;
    Random &m_random;
    ServiceRules m_rules;
    std::size_t m_hostCount = 1;
    std::set<ZoneId> m_evacuatedZones;
    ZoneDivision m_division;
    RoomOfZones m_roomOfZones;
    VersionPolicy m_versions;
    Share m_rolloutShare{0};
    bool m_hasOldVersionOverflow = false;
    /** Smoothed number of requests in flight at all targets; absent before the first sample. */
    std::optional<double> m_meanInFlight;
    std::map<TargetId, TargetState> m_targets;
    /** The elements of m_targets, in their order and in that of their hashes. */
    std::vector<TargetState *> m_targetList;
    /** The elements of m_targetList at which this host places requests. */
    std::vector<TargetState *> m_ownTargets;
    std::vector<std::pair<TargetHash, TargetState *>> m_targetsByHash;
    DrainingTargets m_drainingTargets;
    std::map<GrantId, Grant> m_grants;
    /** The grants that this host decided, by the host that sends the request. */
    std::set<std::pair<HostId, GrantId>> m_grantsBySender;
    /** Grants of this host to other hosts, so that a repeated request gets the same response. */
    std::map<AttemptId, GrantId> m_grantsToOthers;
    std::set<std::pair<TimePoint, GrantId>> m_grantExpiries;
    FairQueue<WaitingRequest> m_waiting;
    std::map<AttemptId, FairQueue<WaitingRequest>::Ticket> m_tickets;
    /** Requests that were evicted from the queue and whose refusal has not been returned yet. */
    std::vector<PlacementRequest> m_evicted;
    RetryBudget m_retryBudget;
    RetryBudget m_fallbackRetryBudget;
    HedgingPolicy m_hedging;
    std::optional<HedgeRefusal> m_hedgeRefusal;
    CrashSuspects &m_suspects;
    std::vector<RolloutSample> m_rolloutSamples;
    ServiceTimes m_serviceTimes;
    ServiceBaseline m_baseline;
    /** Mean of the slowdowns that the targets reported recently. */
    double m_meanSlowdown = 1;
    TimePoint m_baselineUpdatedAt{};
    /** Token bucket that limits load probes, and the time of its last refill. */
    double m_loadProbeTokens = 0;
    TimePoint m_loadProbeTokensAt{};
    /** When a request was last placed; an idle service needs no load probes. */
    TimePoint m_lastPlacementAt{};
    BalancerCounters m_counters;
};

} // namespace endivedock
