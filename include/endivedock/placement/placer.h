#pragma once

#include "endivedock/coldstart.h"
#include "endivedock/config.h"
#include "endivedock/directory/listing.h"
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

/** Times of the placing host's own behaviour. */
struct PlacerSettings
{
    /** A target that comes back into use reaches its full limit after this time. */
    Milliseconds slowStartTime{5000};
    /** A grant is held for this long after its request's deadline, should its report be lost. */
    Milliseconds grantMargin{500};
    /** Targets that may be left out for their health, as a part of all. */
    Share maxEjectedShare{0.5};
    /** How old the baseline of the targets' times may be. */
    Milliseconds maxBaselineAge{100};
    /** Part of the requests that go to a cold target with room although a warm one is free. */
    Share coldTargetShare{0.05};
};

/** What a placer did, for metrics; only rises. */
struct PlacerCounters
{
    std::uint64_t granted = 0;
    std::uint64_t grantedCold = 0;
    std::uint64_t queued = 0;
    std::uint64_t evicted = 0;
    std::uint64_t overdue = 0;
    std::uint64_t expiredGrants = 0;
    std::uint64_t ejections = 0;
    std::uint64_t markedCold = 0;
    std::uint64_t probes = 0;
    std::uint64_t retriesGranted = 0;
};

/** One target's state, for the operators. */
struct TargetStatus
{
    TargetId id;
    ZoneId zone;
    VersionId version;
    Slots inFlight{0};
    Slots limit{0};
    bool cold = false;
    bool leaving = false;
    bool ejected = false;
};

/** A target to be probed now. */
struct ProbeRequest
{
    TargetId target;
    Address address;
    std::string path;
};

/**
 * Places the requests of one service on its targets. One host at a time runs this for a service, so
 * that requests in flight, allowances of cold targets, the retry budget, crash suspects and the
 * evidence of a version move are counted once for all hosts. When all targets are full, requests
 * wait here, not at a target, which keeps the choice open until a target has room.
 *
 * Takes time as an argument, does no I/O, and is not thread-safe.
 *
 * @tparam Policy  chooses among the targets that have room
 */
template <PickPolicy Policy>
class BasicPlacer
{
public:
    /** @param random  must outlive this object */
    BasicPlacer(const Service &service, Random &random, PlacerSettings settings = {});

    /** Applies the operators' declarations of this service. @param wallMs  Unix time now */
    void configure(const Service &service, TimePoint now, std::int64_t wallMs);
    /** Applies the platform's list; targets that are no longer in it get no new work. */
    void setTargets(std::span<const ListedTarget> listed, TimePoint now);

    /** Grants, queues or refuses; a queued request is answered by a later call. */
    PlacementAnswers request(const PlacementRequest &request, TimePoint now);
    PlacementAnswers finish(const AttemptReport &report, TimePoint now);
    PlacementAnswers cancel(const AttemptId &attempt, TimePoint now);
    /** Lets time pass; to be called about every 10 ms while requests wait. */
    PlacementAnswers tick(TimePoint now);
    /** Sends all that wait elsewhere, as when this host stops placing the service. */
    PlacementAnswers redirectQueuedRequests();

    /**
     * Starts after another host placed: targets cold until trusted to be warm get nothing before
     * @p coldFrom, since what the hosts have in flight there is not known yet.
     */
    void beginTakeover(TimePoint coldFrom) { m_coldFrom = coldFrom; }
    /** All hosts have told what they have in flight. */
    void endTakeover() { m_coldFrom = TimePoint{}; }
    void restoreInFlight(const InFlightList &list, TimePoint now);
    void assumeWarm(std::span<const WarmTarget> targets);
    std::vector<WarmTarget> warmTargets() const;

    /** @return the targets to probe now, within the budget */
    std::vector<ProbeRequest> dueProbes(TimePoint now);
    /** @param incarnation  what the target showed; absent if it did not answer */
    void applyProbeResult(const TargetId &target, std::optional<Incarnation> incarnation,
                          bool draining, TimePoint now);

    /** @return the move's progress, or nothing where there is no move */
    std::optional<RolloutProgress> rolloutProgress() const;
    void mergeRolloutProgress(const RolloutProgress &progress);
    Share newVersionShare() const;

    std::vector<TargetStatus> targets(TimePoint now) const;
    const PlacerCounters &counters() const { return m_counters; }
    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t inFlight() const { return m_grants.size(); }

private:
    struct Target
    {
        ListedTarget listed;
        WarmupTracker warmup;
        TargetHealth health;
        AdaptiveLimit adaptive;
        Slots inFlight{0};
        int suspects = 0;
        bool present = true;
        bool seenDraining = false;
        bool zoneOut = false;
        TimePoint usableSince{};
        std::optional<Slots> reported;
    };
    struct Grant
    {
        AttemptId attempt;
        std::size_t target = 0;
        Fingerprint fingerprint;
        std::int16_t route = -1;
        bool isSuspect = false;
        /** The target was cold, so the time of its answer says nothing of its version. */
        bool cold = false;
        TimePoint startedAt;
        TimePoint expires;
    };
    /** Which targets a pick may consider. */
    struct PickRules
    {
        VersionRole side = VersionRole::Old;
        bool isSuspect = false;
        bool coldOnly = false;
    };
    struct Waiting
    {
        PlacementRequest request;
        TimePoint deadline;
    };

    bool usable(const Target &target) const;
    Slots fullLimit() const;
    Slots limitOf(const Target &target, TimePoint now) const;
    bool mayEject() const;
    void refreshBaseline(TimePoint now);
    Target &targetFor(const ListedTarget &listed, TimePoint now);
    void applyZones(TimePoint now);
    void applyRollout(const Service &service, TimePoint now, std::int64_t wallMs);
    void takeReport(const Grant &grant, const AttemptReport &report, TimePoint now);
    void noteCrash(const Grant &grant, TimePoint now);
    void markCold(Target &target, ColdReason sign, TimePoint now);
    std::optional<VersionRole> sideOf(const Target &target) const;
    bool hasVersion(const Target &target, VersionRole wanted) const;
    std::optional<std::size_t> pick(const PlacementRequest &request, TimePoint now);
    std::optional<std::size_t> pickOnSide(const PlacementRequest &request, VersionRole side,
                                          TimePoint now);
    std::optional<std::size_t> pickOn(const PlacementRequest &request, const PickRules &rules,
                                      TimePoint now);
    Placement grant(const PlacementRequest &request, std::size_t target, TimePoint deadline,
                    TimePoint now);
    std::optional<Refusal> refuseEarly(const PlacementRequest &request, TimePoint now);
    void enqueue(const PlacementRequest &request, TimePoint deadline, PlacementAnswers &answers);
    void dispatch(TimePoint now, PlacementAnswers &answers);
    void dropOverdue(TimePoint now, PlacementAnswers &answers);
    void expireGrants(TimePoint now);
    std::optional<Grant> removeGrant(GrantId id);
    bool anyUsable() const;
    Duration expectedWait() const;

    ServiceId m_id;
    Random &m_random;
    PlacerSettings m_settings;
    Policy m_policy;
    ServiceTemplate m_template;
    std::set<ZoneId> m_evacuatedZones;
    std::vector<Target> m_targets;
    std::unordered_map<TargetId, std::size_t> m_index;
    std::map<GrantId, Grant> m_grants;
    std::map<AttemptId, GrantId> m_granted;
    std::multimap<TimePoint, GrantId> m_expiries;
    AdmissionQueue<Waiting> m_waiting;
    std::map<AttemptId, typename AdmissionQueue<Waiting>::Ticket> m_tickets;
    RetryBudget m_retryBudget;
    CrashSuspects m_suspects;
    ProbeSchedule m_probes;
    std::optional<VersionId> m_version;
    std::optional<Rollout> m_rollout;
    std::optional<RolloutController> m_rolloutController;
    ServiceBaseline m_baseline;
    TimePoint m_baselineAt{};
    TimePoint m_coldFrom{};
    PlacerCounters m_counters;
    std::vector<TargetView> m_views;
    std::vector<std::size_t> m_candidates;
};

/** The placer of the daemons. */
using Placer = BasicPlacer<FreeSlotFirst>;

} // namespace endivedock

#include "endivedock/placement/placer-inl.h"
