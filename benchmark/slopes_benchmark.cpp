// Measures for docs/CAPACITY.md how the cost of each role of a host grows with the size of the
// fleet. Prints a table with the bytes and the processor time of single operations at several
// sizes, measured in one process. The slope is the difference between two rows divided by the
// difference in size.

#include "../src/host/peer_message.h"
#include "../tests/support.h"
#include "endivedock/config.h"
#include "endivedock/dispatch/local_placers.h"
#include "endivedock/idempotency.h"
#include "endivedock/membership.h"
#include "endivedock/shards.h"

#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <string>

#include <malloc.h>

namespace {

using namespace endivedock;

constexpr int targetsPerService = 12;

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

/** @return mean processor time of one call in microseconds */
double cpuMicrosecondsPerCall(int calls, const std::function<void()> &call)
{
    const std::clock_t start = std::clock();
    for (int i = 0; i < calls; ++i)
        call();
    return 1e6 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC / calls;
}

void printRow(const std::string &role, const std::string &size, const std::string &operation,
              double value, const std::string &unit)
{
    std::cout << std::left << std::setw(24) << role << std::setw(16) << size << std::setw(38)
              << operation << std::right << std::setw(12) << std::fixed << std::setprecision(2)
              << value << " " << unit << "\n";
}

MemberState makeState(std::uint32_t id)
{
    MemberState state;
    state.id = HostId(id);
    state.region = RegionId("north");
    state.zone = ZoneId("a");
    state.address = {"10.1.2.3", 7000};
    state.incarnation = Incarnation(1'700'000'000'000);
    state.version = 1;
    state.heartbeatCounter = 1;
    return state;
}

void measureMembership()
{
    for (const std::uint32_t hosts : {4u, 14u, 24u, 34u, 44u, 54u, 64u}) {
        Random random(1);
        TimePoint now{Seconds(100)};
        const std::size_t before = heapBytes();
        MemberTable table(makeState(1), GossipSettings{}, now);
        GossipMessage all;
        for (std::uint32_t id = 2; id <= hosts; ++id)
            all.members.push_back(makeState(id));
        table.merge(all, now);
        const auto memory = static_cast<double>(heapBytes() - before);
        const PeerHeader header{HostId(1), Incarnation(1), 1, HostId(2)};
        const GossipMessage gossipMessage = table.makeGossipMessage(random);
        const std::string text = PeerCodec::encode(header, gossipMessage);
        const std::string size = std::to_string(hosts) + " hosts";
        const double messageBytes = static_cast<double>(text.size() + Sealer::overheadBytes);
        const double perSecond = 1000.0 / static_cast<double>(GossipSettings{}.interval.count());
        const double peers = static_cast<double>(GossipSettings{}.fanout);
        printRow("membership", size, "gossip message", messageBytes, "bytes");
        printRow("membership", size, "sent by one host", messageBytes * perSecond * peers / 1000,
                 "KB/s");
        printRow("membership", size, "make and encode",
                 cpuMicrosecondsPerCall(
                         2000, [&] { PeerCodec::encode(header, table.makeGossipMessage(random)); }),
                 "us");
        printRow("membership", size, "decode and merge",
                 cpuMicrosecondsPerCall(2000,
                                        [&] {
                                            PeerHeader read;
                                            table.merge(std::get<GossipMessage>(
                                                                PeerCodec::decode(text, read)),
                                                        now);
                                        }),
                 "us");
        printRow("membership", size, "table", memory / 1024, "KiB");
    }
}

Declarations makeDeclarations(int services)
{
    ConfigurationSnapshot snapshot{Revision(1), {}};
    snapshot.entries.push_back({templateKey(TemplateId("t")), R"({"template":"t","slots":4})"});
    std::string text = R"({"tenant":"x","zones":["a"],"services":[)";
    for (int i = 0; i < services; ++i)
        text += std::string(i > 0 ? "," : "") + R"({"service":"s)" + std::to_string(i) +
                R"(","template":"t"})";
    snapshot.entries.push_back({teamParametersKey(TeamId("x")), text + "]}"});
    return parseDeclarations(snapshot);
}

void measureConfiguration()
{
    for (const int services : {10, 100, 500, 1500}) {
        const std::size_t before = heapBytes();
        const auto declarations = std::make_unique<Declarations>(makeDeclarations(services));
        const auto memory = static_cast<double>(heapBytes() - before);
        const std::string size = std::to_string(services) + " services";
        printRow("configuration", size, "parse and validate a snapshot",
                 cpuMicrosecondsPerCall(10, [&] { makeDeclarations(services); }), "us");
        printRow("configuration", size, "declarations in memory", memory / 1024, "KiB");
    }
}

std::vector<ListedTarget> makeListing(int targets)
{
    std::vector<ListedTarget> listed;
    for (int i = 0; i < targets; ++i)
        listed.push_back(
                testing::makeTarget(i, "a", "v1", "x/s" + std::to_string(i / targetsPerService)));
    return listed;
}

void measurePlacement()
{
    for (const int targets : {100, 1000, 6000, 18'000}) {
        Random random(1);
        std::vector<PlacementAnswer> answers;
        LocalPlacers host(random, [&](PlacementAnswer answer) { answers.push_back(answer); });
        TimePoint now{Seconds(100)};
        const int services = targets / targetsPerService + 1;
        const auto declarations = std::make_shared<const Declarations>(makeDeclarations(services));
        host.configure(declarations, now, 0);
        const auto listed = makeListing(targets);
        host.setTargets(listed, now);
        const std::size_t before = heapBytes();
        const double start = cpuMicrosecondsPerCall(1, [&] {
            for (const auto &[id, service] : declarations->services)
                host.start(id, now, now, 0);
        });
        const auto memory = static_cast<double>(heapBytes() - before);
        const std::string size = std::to_string(targets) + " targets";
        printRow("placing host", size, "state for one target", memory / targets, "bytes");
        printRow("placing host", size, "start one service", start / services, "us");
        std::uint64_t number = 0;
        printRow("placing host", size, "place and finish one request",
                 cpuMicrosecondsPerCall(
                         20'000,
                         [&] {
                             const ServiceId service("x/s" + std::to_string(number % services));
                             PlacementRequest request = testing::makeRequest(++number, service);
                             now += Microseconds(100);
                             host.request(request, now);
                             if (const Placement *placement = testing::granted(answers))
                                 host.finish(testing::makeReport(request, *placement), now);
                             answers.clear();
                         }),
                 "us");
        printRow("placing host", size, "apply a new listing",
                 cpuMicrosecondsPerCall(3, [&] { host.setTargets(listed, now); }), "us");
        printRow("placing host", size, "tick of all services",
                 cpuMicrosecondsPerCall(100,
                                        [&] {
                                            now += Milliseconds(10);
                                            host.tick(now);
                                        }),
                 "us");
    }
}

void measureMessages()
{
    const PeerHeader header{HostId(1), Incarnation(1'700'000'000'000), 12345, HostId(2)};
    PlacementRequest request = testing::makeRequest(1, ServiceId("bergvik/quote-archive"));
    const PlacementAnswer answer{request.attempt, request.service, 1,
                                 Placement{GrantId(1), TargetId("quote-archive-07"), true}};
    AttemptReport report =
            testing::makeReport(request, Placement{GrantId(1), TargetId("quote-archive-07"), true});
    const AttemptReportAck ack{request.attempt, request.service};
    const Sealer sealer({std::string(64, '1')});
    double bytes = 0;
    for (const PeerMessage &message :
         {PeerMessage(request), PeerMessage(answer), PeerMessage(report), PeerMessage(ack)})
        bytes += static_cast<double>(PeerCodec::encode(header, message).size() +
                                     Sealer::overheadBytes);
    printRow("requesting host", "1 request", "four messages of a placement", bytes, "bytes");
    printRow("requesting host", "1 message", "encode, seal, open, decode",
             cpuMicrosecondsPerCall(
                     20'000,
                     [&] {
                         PeerHeader read;
                         PeerCodec::decode(
                                 *sealer.open(sealer.seal(PeerCodec::encode(header, request))),
                                 read);
                     }),
             "us");
}

void measureRuns()
{
    for (const int records : {1000, 10'000, 100'000}) {
        RunAcceptor acceptor(HostId(1), Incarnation(1), RunSettings{});
        View view;
        view.number = ViewNumber(1);
        view.members.push_back(
                {HostId(1), RegionId("n"), ZoneId("a"), {"10.0.0.1", 1}, Incarnation(1)});
        const TimePoint now{Seconds(100)};
        acceptor.installView(view, now);
        const std::size_t before = heapBytes();
        std::uint64_t key = 0;
        const double claim = cpuMicrosecondsPerCall(records, [&] {
            ++key;
            acceptor.claim({ViewNumber(1),
                            IdempotencyKeyHash(key * 0x9e3779b97f4a7c15),
                            {HostId(1), RequestId(key)}},
                           true, now);
        });
        const auto memory = static_cast<double>(heapBytes() - before);
        const std::string size = std::to_string(records) + " records";
        printRow("run records", size, "accept one claim", claim, "us");
        printRow("run records", size, "one record", memory / records, "bytes");
    }
}

void measureRollouts()
{
    RolloutController controller(RolloutProgress{1, RolloutPhase::Canary, 0, RollbackCause::None},
                                 {TimePoint{Seconds(1)}, TimePoint{Seconds(1'000'000)}});
    TimePoint now{Seconds(2)};
    int number = 0;
    printRow("rollout controller", "8 routes", "take one answer",
             cpuMicrosecondsPerCall(100'000,
                                    [&] {
                                        now += Microseconds(100);
                                        ++number;
                                        controller.recordResponse(number % 3 == 0
                                                                          ? VersionRole::New
                                                                          : VersionRole::Old,
                                                                  RouteIndex(number % 8), false,
                                                                  Microseconds(5000), now);
                                    }),
             "us");
}

void measureViews()
{
    for (const std::uint32_t hosts : {4u, 14u, 34u, 64u}) {
        std::vector<ViewMember> members;
        for (std::uint32_t id = 1; id <= hosts; ++id)
            members.push_back({HostId(id),
                               RegionId("n"),
                               ZoneId(std::string(1, "abcd"[id % 4])),
                               {"10.0.0.1", 1},
                               Incarnation(1)});
        printRow("shards", std::to_string(hosts) + " hosts", "place all shards of a view",
                 cpuMicrosecondsPerCall(20, [&] { ShardMap map(members); }), "us");
    }
}

} // namespace

int main()
{
    std::cout << std::left << std::setw(24) << "role" << std::setw(16) << "size" << std::setw(38)
              << "operation" << std::right << std::setw(12) << "value"
              << "\n";
    measureMembership();
    measureConfiguration();
    measurePlacement();
    measureMessages();
    measureRuns();
    measureRollouts();
    measureViews();
}
