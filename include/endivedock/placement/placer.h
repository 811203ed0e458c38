#pragma once

#include "endivedock/coldstart.h"
#include "endivedock/config.h"
#include "endivedock/directory/listing.h"
#include "endivedock/hedging.h"
#include "endivedock/limits.h"
#include "endivedock/placement/messages.h"
#include "endivedock/probing.h"
#include "endivedock/quarantine.h"
#include "endivedock/rollout.h"
#include "endivedock/selection.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivedock {

using PlacementAnswers = std::vector<PlacementAnswer>;

/** Parameters of a placer that apply to all services. */
struct PlacerSettings
{
    /**
     * Duration of the slow start: time from the end of a zone's evacuation until the targets in the
     * zone have their full limit.
     */
    Milliseconds slowStartTime{5000};
    /** Time after its request's deadline at which a grant expires if its report was lost. */
    Milliseconds grantExpiryMargin{500};
    /**
     * Largest share of the usable targets that outlier ejection may exclude. While more targets
     * are ejected, the ejections have no effect.
     */
    Share maxEjectedShare{0.5};
    /** Age at which the median service time and failure share of the targets are recomputed. */
    Milliseconds maxBaselineAge{100};
    /**
     * Share of the requests that are offered to cold targets first, even if a warm target has
     * capacity, so that the cold targets warm up.
     */
    Share coldTargetShare{0.05};
};

/** Monotonic counters of a placer, exported as metrics. */
struct PlacerCounters
{
    std::uint64_t granted = 0;
    std::uint64_t coldGrants = 0;
    std::uint64_t queuedRequests = 0;
    /** Queued requests that one of higher priority evicted from the full queue. */
    std::uint64_t evicted = 0;
    /** Requests whose deadline passed while they were queued. */
    std::uint64_t expiredRequests = 0;
    std::uint64_t expiredGrants = 0;
    std::uint64_t ejections = 0;
    /** Number of times that a target was marked as cold. */
    std::uint64_t markedCold = 0;
    std::uint64_t probes = 0;
    std::uint64_t retriesGranted = 0;
    std::uint64_t hedgesGranted = 0;
};

/** State of one target as the admin pages show it. */
struct TargetStatus
{
    TargetId id;
    ZoneId zone;
    VersionId version;
    Slots inFlight{0};
    Slots limit{0};
    bool isCold = false;
    bool isLeaving = false;
    bool isEjected = false;
};

/** A probe that is due now. */
struct ProbeRequest
{
    TargetId target;
    Address address;
    std::string path;
};

/**
 * Assigns the requests of one service to its targets. The placing host of a service is the host
 * that holds the lease of the service's shard; only the placing host runs a placer for the service.
 * The placer therefore tracks requests in flight, the limits of cold targets, the retry budget,
 * crash suspects and the results of a rollout in one place for all hosts. A crash suspect is a
 * request whose earlier copies may have crashed targets. While all targets are at their limits,
 * requests wait in the placer's admission queue and not at a target, so the target is chosen only
 * when one has capacity.
 *
 * The current time is an argument of each call. The placer does no I/O and is not thread-safe.
 *
 * @tparam Policy  chooses among the targets that have capacity
 */
template <PickPolicy Policy>
class BasicPlacer
{
public:
    /** @param random  must outlive this object */
    BasicPlacer(const Service &service, Random &random, PlacerSettings settings = {});

    /**
     * Applies the operators' declarations of this service.
     *
     * @param wallMs  current Unix time in milliseconds
     */
    void configure(const Service &service, TimePoint now, std::int64_t wallMs);
    /** Applies the platform's target list; targets missing from the list get no new requests. */
    void setTargets(std::span<const ListedTarget> listed, TimePoint now);

    /**
     * Grants, queues or refuses a request. A queued request gets its final answer from a later call
     * of any function that returns answers.
     */
    PlacementAnswers request(const PlacementRequest &request, TimePoint now);
    /** Releases the grant of an attempt that ended, and grants queued requests. */
    PlacementAnswers finish(const AttemptReport &report, TimePoint now);
    /** Removes an attempt from the queue, or releases its grant. */
    PlacementAnswers cancel(const AttemptId &attempt, TimePoint now);
    /**
     * Expires grants and queued requests, and advances the rollout. To be called about every 10 ms
     * while requests are queued.
     */
    PlacementAnswers tick(TimePoint now);
    /** Answers all queued requests with NotPlacingHost; called when the host stops placing. */
    PlacementAnswers redirectQueuedRequests();

    /**
     * Starts the takeover from another placing host. Targets that assumeWarm() has not marked as
     * warm get no requests before @p coldAllowedFrom, because the attempts that other hosts have in
     * flight at them are unknown until then.
     */
    void beginTakeover(TimePoint coldAllowedFrom) { m_coldAllowedFrom = coldAllowedFrom; }
    /** Ends the takeover; to be called once all hosts have sent their InFlightList. */
    void endTakeover() { m_coldAllowedFrom = TimePoint{}; }
    /** Creates the grants of attempts that another placing host granted; known grants are kept. */
    void restoreInFlight(const InFlightList &list, TimePoint now);
    /** Treats targets as warm that the previous placing host reported as warm. */
    void assumeWarm(std::span<const WarmTarget> targets);
    std::vector<WarmTarget> warmTargets() const;

    /** @return the probes that are due now, within the probe budget */
    std::vector<ProbeRequest> dueProbes(TimePoint now);
    /**
     * Applies the result of a probe.
     *
     * @param incarnation  as stated by the target; absent if the target did not answer
     * @param isDraining   whether the target stated that it is shutting down
     */
    void applyProbeResult(const TargetId &target, std::optional<Incarnation> incarnation,
                          bool isDraining, TimePoint now);

    /** @return the rollout's progress; absent if the service has no rollout */
    std::optional<RolloutProgress> rolloutProgress() const;
    void mergeRolloutProgress(const RolloutProgress &progress);
    /** @return the fault for which this placer rolled the service back; absent if there is none */
    std::optional<FaultEvidence> rolloutFault() const;
    /** @return share of the requests that are offered to the new version first */
    Share newVersionShare() const;

    std::vector<TargetStatus> targets(TimePoint now) const;
    const PlacerCounters &counters() const { return m_counters; }
    std::size_t waiting() const { return m_queue.size(); }
    std::size_t inFlight() const { return m_grants.size(); }

private:
    struct Target
    {
        ListedTarget listed;
        WarmupTracker warmup;
        TargetHealth health;
        AdaptiveLimit adaptiveLimit;
        Slots inFlight{0};
        int suspectsInFlight = 0;
        bool isListed = true;
        bool isDraining = false;
        bool isInEvacuatedZone = false;
        /** Start of the slow start. */
        TimePoint usableSince{};
        std::optional<Slots> reportedInFlight;
        /** When the target last sent a response. */
        TimePoint lastSeenAt{};
    };
    struct Grant
    {
        AttemptId attempt;
        std::size_t target = 0;
        Fingerprint fingerprint;
        std::int16_t route = -1;
        bool isSuspect = false;
        /** Whether the target was cold, so that its service time says nothing about its version. */
        bool wasCold = false;
        TimePoint startedAt;
        TimePoint expiresAt;
        bool isHedge = false;
        /** See Placement::hedgeAfter. */
        Milliseconds hedgeAfter{0};
    };
    /** Restricts the targets that may be picked. */
    struct PickRules
    {
        VersionRole role = VersionRole::Old;
        bool isSuspect = false;
        bool isColdOnly = false;
        bool isWarmOnly = false;
    };
    struct QueuedRequest
    {
        PlacementRequest request;
        TimePoint deadline;
    };

    bool isUsable(const Target &target) const;
    Slots fullLimit() const;
    Slots limitOf(const Target &target, TimePoint now) const;
    bool isEjectionAllowed() const;
    void refreshBaseline(TimePoint now);
    Target &findOrAddTarget(const ListedTarget &listed, TimePoint now);
    void applyZones(TimePoint now);
    void applyRollout(const Service &service, TimePoint now, std::int64_t wallMs);
    void applyReport(const Grant &grant, const AttemptReport &report, TimePoint now);
    void recordLostAttempt(const Grant &grant, TimePoint now);
    /** Records that the process @p incarnation of the target has stated that it is draining. */
    void recordDraining(Target &target, std::optional<Incarnation> incarnation);
    void markCold(Target &target, ColdReason reason, TimePoint now);
    std::optional<VersionRole> roleOf(const Target &target) const;
    bool hasVersion(const Target &target, VersionRole wanted) const;
    /** @return whether requests may use the target's version at all */
    bool hasAnyRole(const Target &target) const;
    std::optional<std::size_t> pick(const PlacementRequest &request, TimePoint now);
    std::optional<std::size_t> pickWithRole(const PlacementRequest &request, VersionRole role,
                                            TimePoint now);
    std::optional<std::size_t> pickMatching(const PlacementRequest &request, const PickRules &rules,
                                            TimePoint now);
    Placement makePlacement(GrantId grant, const Target &target) const;
    Placement grant(const PlacementRequest &request, std::size_t target, TimePoint deadline,
                    TimePoint now);
    std::optional<Refusal> checkAdmission(const PlacementRequest &request, TimePoint now);
    void enqueue(const PlacementRequest &request, TimePoint deadline, PlacementAnswers &answers);
    void grantQueuedRequests(TimePoint now, PlacementAnswers &answers);
    void refuseExpiredRequests(TimePoint now, PlacementAnswers &answers);
    void expireGrants(TimePoint now);
    std::optional<Grant> removeGrant(GrantId id);
    /** @return whether there is a target that may be used and is open to the requesting host */
    bool hasUsableTarget(const PlacementRequest &request) const;
    Duration expectedWait() const;
    /** @return see Placement::hedgeAfter */
    Milliseconds hedgeAfter(const PlacementRequest &request) const;
    /** @return requests in flight at the warm targets, as a share of their limits */
    Share utilization(TimePoint now) const;
    /** @return whether the target has sent no response after @p since */
    bool isSilent(const TargetId &id, TimePoint since) const;
    /** Grants or refuses a hedge at once. */
    PlacementAnswer placeHedge(const PlacementRequest &request, TimePoint now);
    void recordHedgingTime(const Grant &grant, const AttemptReport &report, TimePoint now);

    ServiceId m_service;
    Random &m_random;
    PlacerSettings m_settings;
    Policy m_policy;
    ServiceTemplate m_template;
    std::set<ZoneId> m_evacuatedZones;
    std::vector<Target> m_targets;
    std::unordered_map<TargetId, std::size_t> m_targetIndex;
    std::map<GrantId, Grant> m_grants;
    std::map<AttemptId, GrantId> m_grantByAttempt;
    std::multimap<TimePoint, GrantId> m_expiries;
    AdmissionQueue<QueuedRequest> m_queue;
    std::map<AttemptId, typename AdmissionQueue<QueuedRequest>::Ticket> m_tickets;
    RetryBudget m_retryBudget;
    HedgingPolicy m_hedging;
    CrashSuspects m_crashSuspects;
    ProbeSchedule m_probes;
    std::optional<VersionId> m_version;
    std::optional<Rollout> m_rollout;
    std::optional<RolloutController> m_rolloutController;
    ServiceBaseline m_baseline;
    TimePoint m_baselineAt{};
    TimePoint m_coldAllowedFrom{};
    PlacerCounters m_counters;
    /** Buffers of pickMatching(), kept to avoid allocations. */
    std::vector<TargetView> m_views;
    std::vector<std::size_t> m_candidates;
};

/** The placer that the daemons use. */
using Placer = BasicPlacer<FreeSlotFirst>;

} // namespace endivedock

#include "endivedock/placement/placer-inl.h"
#include "endivedock/placement/placer_hedging-inl.h"
