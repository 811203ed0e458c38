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
};

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
            for (const auto &decision : m_balancer.dispatch(m_now))
                apply(decision.request.attempt.request.value(), decision.outcome);
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
            apply(number, *outcome);
    }

    void apply(std::uint64_t number, const ServiceBalancer::Outcome &outcome)
    {
        const Caller caller = m_callers.at(number);
        const RequestKindLoad &kind = m_load.kinds[caller.kind];
        if (const auto *choice = std::get_if<TargetChoice>(&outcome)) {
            const double variation = 0.7 + 0.6 * drawUnitInterval(m_random);
            m_running.push_back({*choice, number, m_now, double(kind.work.count()) * variation});
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
        for (const auto &item : finished)
            finish(item);
    }

    void finish(const Running &item)
    {
        const Caller caller = m_callers.at(item.caller);
        m_callers.erase(item.caller);
        const RequestKindLoad &kind = m_load.kinds[caller.kind];
        const Milliseconds time = toMilliseconds(m_now - caller.firstSentAt);
        if (isCounted(caller) && time <= kind.deadline)
            ++(time <= kind.latencyObjective ? m_results[caller.kind].withinObjective
                                             : m_results[caller.kind].late);
        AttemptReport report;
        report.service = service;
        report.grant = item.choice.grant;
        report.target = item.choice.target.id;
        report.outcome = AttemptOutcome::Answered;
        report.time = std::chrono::duration_cast<Microseconds>(m_now - item.startedAt);
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
    ServiceBalancer m_balancer{service, self, {}, m_random, m_suspects};
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
