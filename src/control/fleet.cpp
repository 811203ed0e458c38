#include "endivedock/control/fleet.h"

#include "endivedock/json.h"

namespace endivedock {

namespace {

constexpr Milliseconds fleetRequestTimeout{2000};
constexpr unsigned okStatus = 200;
constexpr IntegerRange nonNegativeRange{0, INT64_MAX};

FleetMember parseMember(const JsonNode &node)
{
    FleetMember member;
    member.host = HostId(static_cast<std::uint32_t>(node.integer("host", {1, 0xffff'ffff})));
    member.zone = node.string("zone");
    member.state = node.string("state");
    member.revision = Revision(node.integer("revision", nonNegativeRange));
    member.age = Milliseconds(node.integer("ageMs", nonNegativeRange));
    return member;
}

} // namespace

Task<std::vector<FleetMember>> readFleet(asio::any_io_executor executor, Address admin)
{
    HttpClient client(executor, admin);
    const HttpClientResponse reply =
            co_await client.request("GET", "/fleet", "", fleetRequestTimeout);
    if (reply.status != okStatus)
        throw HttpError(formatAddress(admin) + ": /fleet was answered with status " +
                        std::to_string(reply.status));
    const std::string document = formatAddress(admin) + "/fleet";
    const auto value = parseJson(reply.body, document);
    std::vector<FleetMember> fleet;
    for (const auto &node : JsonNode(value, document).list("hosts"))
        fleet.push_back(parseMember(node));
    co_return fleet;
}

PropagationStatus checkPropagation(const std::vector<FleetMember> &fleet, Revision revision)
{
    PropagationStatus result;
    for (const auto &member : fleet) {
        if (member.state == "dead")
            continue;
        ++result.hostCount;
        if (member.revision >= revision)
            ++result.upToDateHostCount;
        else
            result.laggingHosts.push_back(member.host);
    }
    return result;
}

} // namespace endivedock
