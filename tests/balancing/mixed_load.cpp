#include "mixed_load.h"

#include <algorithm>
#include <cmath>

namespace endivedock::test {

namespace {

const ServiceId service("agenda");
const HostId self(1);

struct Caller
{
    std::size_t kind = 0;
    TimePoint firstSentAt;
    TimePoint arrivesAt;
    bool hasReturned = false;
};

struct Running
{
    TargetChoice choice;
    std::uint64_t caller = 0;
    TimePoint startedAt;
    double workLeftMs = 0;
    /** What a hedge would be placed for; its first attempt is this one. */
    PlacementRequest request;
    bool mayHedge = false;
};

BalancingSettings settingsFor(const MixedLoad &load)
{
    BalancingSettings settings;
    settings.hedgingShare = load.hedgingShare;
    return settings;
}

class Simulation
{
public:
    Simulation(const MixedLoad &load, std::uint64_t seed)
        : m_load(load)
        , m_random(seed)
        , m_results(load.kinds.size())
        , m_nextArrival(load.kinds.size())
        , m_slowUntil(static_cast<std::size_t>(load.targets))
    {
        std::vector<RegisteredTarget> targets;
        for (int i = 0; i < load.targets; ++i) {
            RegisteredTarget target;
            target.id = TargetId("t" + std::to_string(i));
            target.service = service;
            target.address = {"10.0.0." + std::to_string(i), 80};
            target.zone = ZoneId("a");
            target.version = VersionId("v1");
            target.slots = load.slots;
            targets.push_back(target);
        }
        m_balancer.setTargets(targets, m_now);
    }

    std::vector<KindResult> run()
    {
        const TimePoint end = m_start + m_load.duration;
        while (m_now < end || !m_running.empty()) {
            m_now += Milliseconds(1);
            changeSlowTargets();
            if (m_now < end)
                sendNewRequests();
            returnRefusedCallers();
            finishRequests();
            hedgeRequests();
            for (const auto &decision : m_balancer.dispatch(m_now))
                apply(decision.request, decision.outcome);
            if ((m_now - m_start) / Milliseconds(1) % 25 == 0)
                probe();
        }
        return m_results;
    }

private:
    double slowdown(std::size_t target) const
    {
        return m_now < m_slowUntil[target] ? m_load.slowFactor : 1.0;
    }

    static std::size_t indexOf(const TargetId &target)
    {
        return std::stoul(target.value().substr(1));
    }

    void changeSlowTargets()
    {
        const double perMillisecond =
                m_load.slowShare / (1 - m_load.slowShare) / double(m_load.slowPeriod.count());
        for (auto &until : m_slowUntil) {
            if (m_now >= until && drawUnitInterval(m_random) < perMillisecond)
                until = m_now + Milliseconds(static_cast<std::int64_t>(
                                        -std::log(1 - drawUnitInterval(m_random)) *
                                        double(m_load.slowPeriod.count())));
        }
    }

    void sendNewRequests()
    {
        for (std::size_t kind = 0; kind < m_load.kinds.size(); ++kind) {
            TimePoint &next = m_nextArrival[kind];
            while (next <= m_now) {
                if (next != TimePoint{})
                    send({kind, m_now, m_now, false});
                const double seconds =
                        -std::log(1 - drawUnitInterval(m_random)) / m_load.kinds[kind].perSecond;
                next = std::max(next, m_start) +
                       Microseconds(static_cast<std::int64_t>(seconds * 1e6));
            }
        }
    }

    void returnRefusedCallers()
    {
        while (!m_returning.empty() && m_returning.begin()->first <= m_now) {
            const Caller caller = m_returning.begin()->second;
            m_returning.erase(m_returning.begin());
            send(caller);
        }
    }

    bool isCounted(const Caller &caller) const
    {
        return caller.firstSentAt >= m_start + m_load.countFrom;
    }

    void send(const Caller &caller)
    {
        const std::uint64_t number = ++m_requests;
        const RequestKindLoad &kind = m_load.kinds[caller.kind];
        m_callers[number] = caller;
        if (!caller.hasReturned && isCounted(caller))
            ++m_results[caller.kind].requested;
        PlacementRequest request;
        request.attempt = {self, RequestId(number), 1};
        request.service = service;
        request.requestClass = kind.requestClass;
        request.team = kind.team;
        request.priority = static_cast<std::int8_t>(kind.priority);
        request.fingerprint = Fingerprint(number);
        request.zone = ZoneId("a");
        request.latencyObjective = kind.latencyObjective;
        request.remaining = kind.deadline - toMilliseconds(m_now - caller.firstSentAt);
        if (const auto outcome = m_balancer.place(request, m_now))
            apply(request, *outcome);
    }

    /** @return the work of one run of a request, which is drawn anew for each run */
    double drawWork(const RequestKindLoad &kind)
    {
        const double variation = 0.7 + 0.6 * drawUnitInterval(m_random);
        const bool isLong = m_load.tailShare > 0 && drawUnitInterval(m_random) < m_load.tailShare;
        return double(kind.work.count()) * variation * (isLong ? m_load.tailFactor : 1);
    }

    /** Asks for hedges as the requesting host does. */
    void hedgeRequests()
    {
        std::vector<Running> hedges;
        for (auto &item : m_running) {
            const Milliseconds age = toMilliseconds(m_now - item.startedAt);
            if (!item.mayHedge || age < item.choice.hedgeAfter)
                continue;
            item.mayHedge = false;
            PlacementRequest request = item.request;
            request.attempt.number = 129;
            request.isRetry = true;
            request.firstAttemptAge = age;
            request.remaining -= age;
            request.latencyObjective = std::max(request.latencyObjective - age, Milliseconds(0));
            request.excludedTargets = {item.choice.target.id};
            const auto outcome = m_balancer.place(request, m_now);
            const auto *choice = std::get_if<TargetChoice>(&*outcome);
            if (choice == nullptr)
                continue;
            const Caller &caller = m_callers.at(item.caller);
            m_results[caller.kind].hedges += isCounted(caller) ? 1 : 0;
            hedges.push_back({*choice, item.caller, m_now, drawWork(m_load.kinds[caller.kind]),
                              request, false});
        }
        m_running.insert(m_running.end(), hedges.begin(), hedges.end());
    }

    void apply(const PlacementRequest &request, const ServiceBalancer::Outcome &outcome)
    {
        const std::uint64_t number = request.attempt.request.value();
        const Caller caller = m_callers.at(number);
        const RequestKindLoad &kind = m_load.kinds[caller.kind];
        if (const auto *choice = std::get_if<TargetChoice>(&outcome)) {
            m_running.push_back({*choice, number, m_now, drawWork(kind), request,
                                 choice->hedgeAfter > Milliseconds(0)});
            return;
        }
        m_callers.erase(number);
        // Callers wait for a third of their remaining time at most.
        const Milliseconds left = kind.deadline - toMilliseconds(m_now - caller.firstSentAt);
        const Milliseconds delay =
                std::min(left / 3, std::get<Refusal>(outcome).retryAfter.value_or(left / 3));
        if (m_load.callersReturn && !caller.hasReturned) {
            m_returning.emplace(m_now + delay,
                                Caller{caller.kind, caller.firstSentAt, m_now, true});
            return;
        }
        if (!isCounted(caller))
            return;
        ++m_results[caller.kind].refused;
        m_results[caller.kind].refusedAgain += caller.hasReturned ? 1 : 0;
    }

    void finishRequests()
    {
        std::vector<int> inFlight(m_slowUntil.size());
        for (const auto &item : m_running)
            ++inFlight[indexOf(item.choice.target.id)];
        std::vector<Running> finished;
        std::erase_if(m_running, [&](Running &item) {
            const std::size_t target = indexOf(item.choice.target.id);
            const bool isBeyondKnee = inFlight[target] > m_load.knee * m_load.slots.value();
            item.workLeftMs -= 1 / (slowdown(target) * (isBeyondKnee ? m_load.kneeFactor : 1.0));
            if (item.workLeftMs > 0)
                return false;
            finished.push_back(item);
            return true;
        });
        for (const auto &item : finished) {
            if (m_callers.contains(item.caller))
                finish(item);
            else
                reportEnd(item, AttemptOutcome::Overtaken);
        }
    }

    /** Cancels the other attempt of a request that has been answered. */
    void cancelOther(std::uint64_t caller)
    {
        const auto other = std::find_if(m_running.begin(), m_running.end(),
                                        [&](const Running &each) { return each.caller == caller; });
        if (other == m_running.end())
            return;
        reportEnd(*other, AttemptOutcome::Overtaken);
        m_running.erase(other);
    }

    void finish(const Running &item)
    {
        const Caller caller = m_callers.at(item.caller);
        m_callers.erase(item.caller);
        const RequestKindLoad &kind = m_load.kinds[caller.kind];
        const Milliseconds time = toMilliseconds(m_now - caller.firstSentAt);
        if (isCounted(caller))
            m_results[caller.kind].times.push_back(time.count());
        if (isCounted(caller) && time <= kind.deadline)
            ++(time <= kind.latencyObjective ? m_results[caller.kind].withinObjective
                                             : m_results[caller.kind].late);
        reportEnd(item, AttemptOutcome::Answered);
        cancelOther(item.caller);
    }

    void reportEnd(const Running &item, AttemptOutcome outcome)
    {
        AttemptReport report;
        report.service = service;
        report.grant = item.choice.grant;
        report.target = item.choice.target.id;
        report.outcome = outcome;
        report.time = std::chrono::duration_cast<Microseconds>(m_now - item.startedAt);
        if (outcome == AttemptOutcome::Answered)
            report.load = ReportedLoad{Slots(1), Slots(0), m_load.slots,
                                       slowdown(indexOf(item.choice.target.id))};
        m_balancer.finish(report, m_now);
    }

    void probe()
    {
        for (const auto &due : m_balancer.dueProbes(true, m_now)) {
            ProbeResult result;
            result.isHealthy = true;
            result.id = due.id;
            result.load = ReportedLoad{Slots(1), Slots(0), m_load.slots, slowdown(indexOf(due.id))};
            m_balancer.applyProbeResult(due.id, result, m_now);
        }
    }

    MixedLoad m_load;
    Random m_random;
    CrashSuspects m_suspects;
    ServiceBalancer m_balancer{service, self, settingsFor(m_load), m_random, m_suspects};
    TimePoint m_start{Seconds(1000)};
    TimePoint m_now = m_start;
    std::uint64_t m_requests = 0;
    std::vector<KindResult> m_results;
    std::vector<TimePoint> m_nextArrival;
    std::vector<TimePoint> m_slowUntil;
    std::map<std::uint64_t, Caller> m_callers;
    std::multimap<TimePoint, Caller> m_returning;
    std::vector<Running> m_running;
};

} // namespace

std::vector<KindResult> simulate(const MixedLoad &load, std::uint64_t seed)
{
    return Simulation(load, seed).run();
}

} // namespace endivedock::test
