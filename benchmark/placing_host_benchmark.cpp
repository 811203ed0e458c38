// Measures what a placing host spends on a load report and on a placement, by the size of the
// fleet. Arguments of each benchmark: hosts, and targets of one service.

#include "endivedock/balancing.h"
#include "endivedock/edge/edge_message.h"
#include "endivedock/loadreports.h"

#include <deque>

#include <benchmark/benchmark.h>

namespace {

using namespace endivedock;

const ServiceId service("quotes");
constexpr int zoneCount = 6;
/** Targets to which a host has sent requests that the placing host did not place. */
constexpr int reportedTargets = 2;
/** Time between two reports. */
constexpr Microseconds reportInterval{100};
/** Time from the placement of a request to its response. */
constexpr Milliseconds responseTime{400};

/** A placing host with one request in flight at each target, granted to some host. */
class PlacingHost
{
public:
    PlacingHost(std::uint32_t hosts, int targets)
        : m_hosts(hosts)
        , m_balancer(service, HostId(1), BalancingSettings{}, m_random, m_suspects)
    {
        std::vector<RegisteredTarget> registered;
        for (int i = 0; i < targets; ++i)
            registered.push_back(makeTarget(i));
        for (const auto &target : registered)
            m_hashes.push_back(hashTarget(target));
        m_balancer.setHostCount(hosts);
        m_balancer.setTargets(registered, m_now);
        for (const auto &target : registered) {
            const ProbeResult probe{true, target.id, std::nullopt,
                                    ReportedLoad{Slots(1), Slots(0), Slots(4), 1.2}};
            m_balancer.applyProbeResult(target.id, probe, m_now);
        }
        for (int i = 0; i < targets; ++i)
            place();
        for (std::uint32_t host = 2; host <= hosts; ++host)
            m_aggregator.applyReport(HostId(host), makeReport(), {}, m_now);
    }

    ServiceBalancer &balancer() { return m_balancer; }
    TimePoint now() const { return m_now; }
    HostId nextHost() { return HostId(m_nextHost = m_nextHost < m_hosts ? m_nextHost + 1 : 2); }

    ServiceLoadReport makeReport()
    {
        ServiceLoadReport report;
        report.service = service;
        for (int i = 0; i < reportedTargets; ++i) {
            TargetLoad entry;
            entry.target = m_hashes[drawBelow(m_random, m_hashes.size())];
            entry.inFlight = 1;
            entry.slowdown = 120;
            entry.age = Milliseconds(drawBelow(m_random, 500));
            report.targets.push_back(entry);
        }
        return report;
    }

    AggregatedServiceLoad applyReport(HostId from, const ServiceLoadReport &report,
                                      std::span<const TargetLoad> grantedLoads)
    {
        m_now += reportInterval;
        return m_aggregator.applyReport(from, report, grantedLoads, m_now);
    }

    /** Places one request; the time advances so that each request takes responseTime. */
    void place()
    {
        m_now += Microseconds(responseTime) / static_cast<int>(m_hashes.size());
        const auto outcome = m_balancer.place(makeRequest(), m_now);
        m_running.push_back(std::get<TargetChoice>(outcome.value()));
    }

    void finishOldest()
    {
        finish(m_running.front());
        m_running.pop_front();
    }

private:
    PlacementRequest makeRequest()
    {
        PlacementRequest request;
        ++m_nextRequest;
        request.attempt = {nextHost(), RequestId(m_nextRequest), 1};
        request.service = service;
        request.remaining = Seconds(100'000);
        request.latencyObjective = Milliseconds(300);
        request.fingerprint = Fingerprint(m_nextRequest);
        request.zone = zone(static_cast<int>(m_nextRequest % zoneCount));
        return request;
    }

    void finish(const TargetChoice &choice)
    {
        AttemptReport report;
        report.service = service;
        report.grant = choice.grant;
        report.target = choice.target.id;
        report.outcome = AttemptOutcome::Answered;
        report.time = responseTime;
        report.load = ReportedLoad{Slots(1), Slots(0), Slots(4), 1.2};
        m_balancer.finish(report, m_now);
    }

    static ZoneId zone(int number)
    {
        return ZoneId(std::string(1, static_cast<char>('a' + number)));
    }

    static RegisteredTarget makeTarget(int number)
    {
        RegisteredTarget target;
        target.id = TargetId("i-" + std::to_string(1'000'000 + number * 7919));
        target.service = service;
        target.address = {"10.0." + std::to_string(number / 250) + "." +
                                  std::to_string(number % 250 + 1),
                          80};
        target.zone = zone(number % zoneCount);
        target.version = VersionId("v1");
        target.slots = Slots(4);
        return target;
    }

    std::uint32_t m_hosts;
    std::uint32_t m_nextHost = 1;
    std::uint64_t m_nextRequest = 0;
    TimePoint m_now{Seconds(1000)};
    Random m_random{1};
    CrashSuspects m_suspects;
    ServiceBalancer m_balancer;
    LoadAggregator m_aggregator;
    std::vector<TargetHash> m_hashes;
    std::deque<TargetChoice> m_running;
};

PlacingHost makePlacingHost(const benchmark::State &state)
{
    return {static_cast<std::uint32_t>(state.range(0)), static_cast<int>(state.range(1))};
}

void applyReport(benchmark::State &state)
{
    PlacingHost host = makePlacingHost(state);
    const auto grantedLoads = host.balancer().grantedLoads(HostId(2), host.now());
    for (auto _ : state)
        benchmark::DoNotOptimize(
                host.applyReport(host.nextHost(), host.makeReport(), grantedLoads));
}

void grantedLoads(benchmark::State &state)
{
    PlacingHost host = makePlacingHost(state);
    for (auto _ : state)
        benchmark::DoNotOptimize(host.balancer().grantedLoads(host.nextHost(), host.now()));
}

void encodeAnswer(benchmark::State &state)
{
    PlacingHost host = makePlacingHost(state);
    AggregatedLoad answer;
    answer.services.push_back(host.applyReport(
            HostId(2), host.makeReport(), host.balancer().grantedLoads(HostId(2), host.now())));
    const PeerHeader header{HostId(1), Incarnation(1), 1, HostId(2)};
    for (auto _ : state)
        benchmark::DoNotOptimize(EdgeCodec::encode(header, answer));
    state.counters["bytes"] = static_cast<double>(EdgeCodec::encode(header, answer).size());
}

/** All that a placing host does for one report of one service, except for the sealing. */
void answerReport(benchmark::State &state)
{
    PlacingHost host = makePlacingHost(state);
    const PeerHeader header{HostId(1), Incarnation(1), 1, HostId(2)};
    for (auto _ : state) {
        const HostId from = host.nextHost();
        AggregatedLoad answer;
        answer.services.push_back(host.applyReport(from, host.makeReport(),
                                                   host.balancer().grantedLoads(from, host.now())));
        benchmark::DoNotOptimize(EdgeCodec::encode(header, answer));
    }
}

/** What any host does with the answer to its report. */
void applyAnswer(benchmark::State &state)
{
    PlacingHost host = makePlacingHost(state);
    const auto answer = host.applyReport(HostId(2), host.makeReport(),
                                         host.balancer().grantedLoads(HostId(2), host.now()));
    for (auto _ : state)
        host.balancer().applyAggregatedLoad(answer.targets, answer.range, host.now());
}

void placeAndFinish(benchmark::State &state)
{
    PlacingHost host = makePlacingHost(state);
    for (auto _ : state) {
        host.finishOldest();
        host.place();
    }
}

/** What a placing host does after each finished request if no request waits. */
void dispatch(benchmark::State &state)
{
    PlacingHost host = makePlacingHost(state);
    for (auto _ : state)
        benchmark::DoNotOptimize(host.balancer().dispatch(host.now()));
}

void placingHostFor(benchmark::State &state)
{
    PlacingHostSelector selector(HostId(1));
    std::vector<HostId> hosts;
    for (std::uint32_t id = 2; id <= static_cast<std::uint32_t>(state.range(0)); ++id)
        hosts.emplace_back(id);
    selector.setHosts(hosts, {hosts.begin(), hosts.end()});
    const TimePoint now{Seconds(1000)};
    for (auto _ : state)
        benchmark::DoNotOptimize(selector.placingHostFor(service, now));
}

void sizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Args({17, 17})->Args({118, 118})->Args({473, 460})->Args({3202, 3000});
    benchmark->Unit(benchmark::kMicrosecond);
}

BENCHMARK(applyReport)->Apply(sizes);
BENCHMARK(grantedLoads)->Apply(sizes);
BENCHMARK(encodeAnswer)->Apply(sizes);
BENCHMARK(answerReport)->Apply(sizes);
BENCHMARK(applyAnswer)->Apply(sizes);
BENCHMARK(placeAndFinish)->Apply(sizes);
BENCHMARK(dispatch)->Apply(sizes);
BENCHMARK(placingHostFor)->Apply(sizes);

} // namespace

BENCHMARK_MAIN();
