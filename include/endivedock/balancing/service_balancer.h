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
using TargetKey = StrongId<struct TargetKeyTag, std::uint64_t>;

TargetKey targetKey(const RegisteredTarget &target);

/** What one host tells the others of one target. */
struct TargetNews
{
    TargetKey target;
    /** Its requests in flight there; in a picture those of all other hosts. */
    std::uint16_t inFlight = 0;
    /** Slowdown last reported, in hundredths; 0 if none is known. */
    std::uint16_t slowdown = 0;
    /** Age of that report. */
    Milliseconds age{0};
};

/** One answer during a version move, for whoever decides on the move. */
struct MoveAnswer
{
    MoveSide side = MoveSide::Old;
    std::int16_t route = -1;
    bool failed = false;
    /** Time of the work, as it would have taken without a slowdown. */
    Microseconds time{0};
};

/** The target chosen for a request. */
struct BalancedChoice
{
    GrantId grant;
    RegisteredTarget target;
    Connections connections{1};
    bool cold = false;
    /** For the log: requests that were known to be there, and the expected time to the answer. */
    Slots inFlight{0};
    Milliseconds expected{0};
    Milliseconds slowdownAge{0};
};

/** A target whose health is to be asked. */
struct ProbeTarget
{
    TargetId id;
    Address address;
};

/** What a balancer did, for metrics; only rises. */
struct BalancerCounters
{
    std::uint64_t chosen = 0;
    std::uint64_t cold = 0;
    std::uint64_t rejected = 0;
    std::uint64_t retries = 0;
    std::uint64_t probes = 0;
};

/**
 * Places the requests that one host has for one service. Every host does so by itself; limits that
 * all hosts keep together are divided by their number, and the others' counts are added to its own.
 * Nothing waits here: a request goes to the target where it should end first, or is refused.
 *
 * Takes time as an argument, does no I/O, and is not thread-safe.
 */
class ServiceBalancer
{
public:
    /** @param random  must outlive this object */
    ServiceBalancer(ServiceId service, const BalancingSettings &settings, Random &random);

    void setRules(const ServiceRules &rules);
    /** @param hosts  entry hosts that are alive, this one included */
    void setHosts(std::size_t hosts);
    void setTargets(std::span<const RegisteredTarget> targets, TimePoint now);
    void setZonesOut(const std::set<ZoneId> &zones, TimePoint now);
    VersionPolicy &versions() { return m_versions; }
    /** @param share  part of the requests for the new version of the running move */
    void setMoveShare(Share share) { m_moveShare = share; }

    std::variant<BalancedChoice, Refusal> place(const PlacementRequest &request, TimePoint now);
    void finish(const AttemptReport &report, TimePoint now);

    std::vector<ProbeTarget> dueProbes(TimePoint now);
    /** @param probe  absent if the target did not answer */
    void probed(const TargetId &target, const std::optional<TargetProbe> &probe, TimePoint now);

    /** @return what this host knows first hand and the others may not */
    std::vector<TargetNews> news(TimePoint now) const;
    /** @param others  sums over all other hosts; targets that are left out have none */
    void applyPicture(std::span<const TargetNews> others, TimePoint now);
    /** @return the answers of a running move since the last call */
    std::vector<MoveAnswer> takeMoveAnswers();

    const BalancerCounters &counters() const { return m_counters; }
    std::size_t targetCount() const { return m_targets.size(); }
    /** Smoothed time of an answer of an idle, undisturbed target. */
    Microseconds usualTime() const;
    Share usualFailures() const { return m_baseline.failed; }

private:
    struct Grant
    {
        TargetId target;
        std::int16_t route = -1;
        Fingerprint fingerprint;
        bool crowded = false;
        bool cold = false;
        double slowdown = 1;
    };
    struct Candidate
    {
        TargetState *target = nullptr;
        double finish = 0;
        int inFlight = 0;
    };
    /** Which targets a pass over all of them considers. */
    struct PassRules
    {
        MoveSide side = MoveSide::Old;
        /** Those that look bad are considered too, as long as a connection can be made. */
        bool desperate = false;
    };

    bool usable(const TargetState &target, MoveSide side) const;
    bool looksWell(const TargetState &target, TimePoint now) const;
    bool mayEject(TimePoint now) const;
    double expectedFinish(const TargetState &target, TimePoint now) const;
    double meanSlowdown(TimePoint now) const;
    Duration coldInterval() const;
    Duration silencePatience() const;
    std::optional<Candidate> best(const PlacementRequest &request, PassRules rules, TimePoint now);
    std::optional<Candidate> bestOnSide(const PlacementRequest &request, MoveSide side,
                                        TimePoint now);
    std::optional<Refusal> refuseEarly(const PlacementRequest &request, TimePoint now);
    Refusal refuse(RefusalReason reason, Milliseconds retryAfter);
    Duration latestFinish(const PlacementRequest &request) const;
    BalancedChoice grant(const PlacementRequest &request, const Candidate &chosen, TimePoint now);
    void takeOutcome(TargetState &target, const Grant &grant, const AttemptReport &report,
                     TimePoint now);
    void refreshBaseline(TimePoint now);

    ServiceId m_service;
    BalancingSettings m_settings;
    Random &m_random;
    ServiceRules m_rules;
    std::size_t m_hosts = 1;
    std::set<ZoneId> m_zonesOut;
    VersionPolicy m_versions;
    Share m_moveShare{0};
    std::map<TargetId, TargetState> m_targets;
    std::map<GrantId, Grant> m_grants;
    RetryBudget m_retryBudget;
    CrashSuspects m_suspects;
    std::vector<MoveAnswer> m_moveAnswers;
    /** Smoothed time of undisturbed work, in microseconds; 0 before the first answer. */
    double m_usualTime = 0;
    ServiceBaseline m_baseline;
    /** Mean of what the targets reported lately. */
    double m_usualSlowdown = 1;
    TimePoint m_baselineAt{};
    BalancerCounters m_counters;
};

} // namespace endivedock
