#pragma once

#include "endivedock/balancing/target_state.h"
#include "endivedock/balancing/version_policy.h"
#include "endivedock/limits.h"
#include "endivedock/quarantine.h"
#include "endivedock/routes.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <variant>
#include <vector>

namespace endivedock {

/** Hash of a target's id and life, short enough for messages between hosts. */
using TargetHash = StrongId<struct TargetKeyTag, std::uint32_t>;

TargetHash hashTarget(const RegisteredTarget &target);

/** What one host tells the others of one target. */
struct TargetLoad
{
    TargetHash target;
    /** Its requests in flight there; in a picture those of all other hosts. */
    std::uint16_t inFlight = 0;
    /** Slowdown last reported, in hundredths; 0 if none is known. */
    std::uint16_t slowdown = 0;
    /** Age of that report. */
    Milliseconds age{0};
};

/** One answer during a version move, for whoever decides on the move. */
struct RolloutSample
{
    VersionRole role = VersionRole::Old;
    std::int16_t route = -1;
    bool failed = false;
    /** Time of the work, as it would have taken without a slowdown. */
    Microseconds time{0};
};

/** The target chosen for a request. */
struct TargetChoice
{
    GrantId grant;
    RegisteredTarget target;
    Connections connections{1};
    bool isCold = false;
    /** For the log: requests that were known to be there, and the expected time to the answer. */
    Slots inFlight{0};
    Milliseconds expectedTime{0};
    Milliseconds slowdownAge{0};
};

/** What became of a request that was waiting. */
struct PlacementDecision
{
    PlacementRequest request;
    std::variant<TargetChoice, Refusal> outcome;
};

/** A target whose health is to be asked. */
struct DueProbe
{
    TargetId id;
    Address address;
};

/** What a balancer did, for metrics; only rises. */
struct BalancerCounters
{
    std::uint64_t chosen = 0;
    std::uint64_t chosenCold = 0;
    std::uint64_t rejected = 0;
    std::uint64_t retries = 0;
    std::uint64_t probes = 0;
};

/**
 * Places the requests for one service. One host does so for all; what it has granted it counts at
 * once, and what others placed without it is added from their news. When no target has room that is
 * worth using, requests wait here, so that the choice stays open. Any other host can place its own
 * requests by itself, from what it heard last, should the placing host not answer.
 *
 * Takes time as an argument, does no I/O, and is not thread-safe.
 */
class ServiceBalancer
{
public:
    using Outcome = std::variant<TargetChoice, Refusal>;

    /** @param random  must outlive this object */
    ServiceBalancer(ServiceId service, HostId self, const BalancingSettings &settings,
                    Random &random);

    void setRules(const ServiceRules &rules);
    /** @param hosts  entry hosts that are alive, this one included */
    void setHostCount(std::size_t hosts);
    void setTargets(std::span<const RegisteredTarget> targets, TimePoint now);
    void setEvacuatedZones(const std::set<ZoneId> &zones, TimePoint now);
    VersionPolicy &versions() { return m_versions; }
    /** @param share  part of the requests for the new version of the running move */
    void setRolloutShare(Share share) { m_rolloutShare = share; }

    /**
     * Places as the placing host.
     *
     * @return nothing if the request waits; dispatch() tells later
     */
    std::optional<Outcome> place(const PlacementRequest &request, TimePoint now);
    /** @return what became of requests that waited; to be called after finish() and in time */
    std::vector<PlacementDecision> dispatch(TimePoint now);
    /** The request no longer wants a placement, or the one it got. */
    void cancel(const AttemptId &attempt);
    std::size_t waitingCount() const { return m_waiting.size(); }

    /** Places a request of this host without the placing host. */
    Outcome placeAsFallback(const PlacementRequest &request, TimePoint now);
    /**
     * Takes over what the placing host granted.
     *
     * @return nothing if this host knows that the target must not be used
     */
    std::optional<TargetChoice> acceptPlacement(const PlacementRequest &request,
                                                const Placement &placement, HostId placedBy,
                                                TimePoint now);

    /** @return a choice that has been made and not finished */
    std::optional<TargetChoice> find(GrantId grant) const;
    /** @return the host that placed the attempt, or nothing if the grant is unknown */
    std::optional<HostId> finish(const AttemptReport &report, TimePoint now);

    /** @param placing  whether this host places the service, and so needs to know the loads */
    std::vector<DueProbe> dueProbes(bool placing, TimePoint now);
    /** @param probe  absent if the target did not answer */
    void applyProbeResult(const TargetId &target, const std::optional<ProbeResult> &probe,
                          TimePoint now);

    /** @return what @p placing does not know of: requests of this host that it has not placed */
    std::vector<TargetLoad> loadReport(HostId placing, TimePoint now) const;
    /** @return slowdowns, and requests that this host has granted, but for those to @p except */
    std::vector<TargetLoad> grantedLoads(HostId except, TimePoint now) const;
    /** @param others  sums over all other hosts; targets that are left out have none */
    void applyAggregatedLoad(std::span<const TargetLoad> others, TimePoint now);
    /** @return the answers of a running move since the last call */
    std::vector<RolloutSample> takeRolloutSamples();

    const BalancerCounters &counters() const { return m_counters; }
    std::size_t targetCount() const { return m_targets.size(); }
    /** Smoothed time of an answer of an idle, undisturbed target. */
    Microseconds baseServiceTime() const;

private:
    struct Grant
    {
        AttemptId attempt;
        /** Who decided, and who sends. */
        HostId placedBy;
        HostId sentBy;
        TargetId target;
        std::int16_t route = -1;
        Fingerprint fingerprint;
        bool crowded = false;
        bool isCold = false;
        double slowdown = 1;
        TimePoint expires{};
    };
    struct Loss
    {
        TargetId target;
        Fingerprint fingerprint;
        TimePoint at{};
    };
    struct Candidate
    {
        TargetState *target = nullptr;
        double finish = 0;
        int inFlight = 0;
        /** Part of the slots in use. */
        double fullness = 0;
        /** In the zone of the asking host. */
        bool near = false;
    };
    /** What one look at all targets shows. */
    struct Survey
    {
        std::vector<Candidate> candidates;
        /** Requests that all usable targets finish together, each microsecond. */
        double rate = 0;
        /** Least work that a request takes on any of them, in microseconds. */
        double leastWork = 0;
        bool any = false;
    };
    double penalty(const PlacementRequest &request, const RegisteredTarget &entry) const;
    enum class PlacementMode {
        /** Only targets with room, as the placing host. */
        Central,
        /** Also full ones, as a host on its own. */
        Alone,
        /** As Alone, also those that look bad. */
        Desperate,
    };
    struct Waiting
    {
        PlacementRequest request;
        TimePoint arrivedAt;
    };
    /** What is to be done with a request now. */
    struct Verdict
    {
        std::optional<Candidate> chosen;
        bool wait = false;
        RefusalReason reason = RefusalReason::NoTarget;
    };

    bool usable(const TargetState &target, VersionRole role) const;
    bool looksWell(const TargetState &target, TimePoint now) const;
    bool mayEject(TimePoint now) const;
    int roomOf(const TargetState &target) const;
    double expectedWork(const TargetState &target, TimePoint now) const;
    double meanSlowdown(TimePoint now) const;
    /** Hosts see a target turn cold at the same time and must not all send to it at once. */
    void openColdAtRandom(TargetState &target, TimePoint now);
    Duration coldInterval(PlacementMode manner) const;
    Duration silencePatience() const;
    Survey survey(const PlacementRequest &request, VersionRole role, PlacementMode manner,
                  TimePoint now);
    /** @return the time, in microseconds, in which a heavy request is served well; else 0 */
    static double easyFinish(const PlacementRequest &request);
    /** Leaves only the targets of the request's zone if one of them finishes in good time. */
    static void keepHeavyNear(const PlacementRequest &request, std::vector<Candidate> &candidates);
    /** Which of equally good targets is taken. */
    enum class Spread { Even, Packed };
    std::optional<Candidate> pickFrom(std::vector<Candidate> &candidates,
                                      Spread spread = Spread::Even);
    Spread spreadOfNew() const;
    Verdict decide(const PlacementRequest &request, std::size_t ahead, Duration waited,
                   TimePoint now);
    std::optional<Refusal> refuseEarly(const PlacementRequest &request, RetryBudget &budget,
                                       TimePoint now);
    Refusal refuse(RefusalReason reason, Milliseconds retryAfter);
    Duration latestFinish(const PlacementRequest &request) const;
    /** @return how long a request may wait here; a longer queue would make all answers late */
    Duration longestWait(const PlacementRequest &request) const;
    /** @return the time that the next waiting request has been here, unless it is less urgent */
    Duration waitAhead(const PlacementRequest &request, TimePoint now) const;
    TargetChoice grant(const PlacementRequest &request, const Candidate &chosen,
                       PlacementMode manner, TimePoint now);
    TargetChoice track(const PlacementRequest &request, GrantId id, HostId placedBy,
                       const Candidate &chosen, TimePoint now);
    void takeOutcome(TargetState &target, const Grant &grant, const AttemptReport &report,
                     TimePoint now);
    TargetLoad loadOf(const TargetState &target, int inFlight, TimePoint now) const;
    void noteCrash(const TargetId &target, TimePoint now);
    void updateBaseServiceTime(double time);
    void expireGrants(TimePoint now);
    void refreshBaseline(TimePoint now);

    ServiceId m_service;
    HostId m_self;
    BalancingSettings m_settings;
    Random &m_random;
    ServiceRules m_rules;
    std::size_t m_hostCount = 1;
    std::set<ZoneId> m_evacuatedZones;
    VersionPolicy m_versions;
    Share m_rolloutShare{0};
    std::map<TargetId, TargetState> m_targets;
    std::map<GrantId, Grant> m_grants;
    /** Grants of this host to others, so that a repeated question gets the same answer. */
    std::map<AttemptId, GrantId> m_granted;
    AdmissionQueue<Waiting> m_waiting;
    std::map<AttemptId, AdmissionQueue<Waiting>::Ticket> m_tickets;
    /** Requests that gave way to more urgent ones and have not been told yet. */
    std::vector<PlacementRequest> m_evicted;
    RetryBudget m_retryBudget;
    RetryBudget m_fallbackRetryBudget;
    CrashSuspects m_suspects;
    /** Requests whose connection broke, until their target is seen to be gone or to live. */
    std::vector<Loss> m_losses;
    /** When a request of this content was last answered. */
    BoundedMap<Fingerprint, TimePoint> m_answeredAt{4096};
    std::vector<RolloutSample> m_rolloutSamples;
    /** Smoothed time of undisturbed work, in microseconds; 0 before the first answer. */
    double m_baseServiceTime = 0;
    std::uint64_t m_usualAnswers = 0;
    ServiceBaseline m_baseline;
    /** Mean of what the targets reported lately. */
    double m_usualSlowdown = 1;
    TimePoint m_baselineAt{};
    /** Questions for loads that may be asked now, and when that was worked out. */
    double m_reportTokens = 0;
    TimePoint m_reportTokensAt{};
    /** When a request was placed last; nobody needs the loads of an idle service. */
    TimePoint m_placedAt{};
    BalancerCounters m_counters;
};

} // namespace endivedock
