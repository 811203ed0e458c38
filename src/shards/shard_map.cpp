#include "endivedock/shards/shard_map.h"

#include "endivedock/json.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

namespace endivedock {

namespace json = boost::json;

namespace {

constexpr std::string_view viewDocumentName = "view";
constexpr IntegerRange nonNegative{0, INT64_MAX};

std::uint64_t rendezvousWeight(ShardId shard, HostId host)
{
    const std::array<std::uint32_t, 2> input{shard.value(), host.value()};
    return XXH3_64bits(input.data(), sizeof(input));
}

bool isZoneUsed(const std::vector<const ViewMember *> &chosen, const ViewMember &member)
{
    return std::any_of(chosen.begin(), chosen.end(), [&](const ViewMember *other) {
        return other->zone == member.zone && other->region == member.region;
    });
}

Replicas chooseReplicas(ShardId shard, const std::vector<ViewMember> &members)
{
    std::vector<const ViewMember *> ranked;
    for (const auto &member : members)
        ranked.push_back(&member);
    std::sort(ranked.begin(), ranked.end(), [shard](const ViewMember *a, const ViewMember *b) {
        return rendezvousWeight(shard, a->id) > rendezvousWeight(shard, b->id);
    });
    std::vector<const ViewMember *> chosen;
    for (const bool otherZonesOnly : {true, false}) {
        for (const auto *member : ranked) {
            const bool isChosen = std::find(chosen.begin(), chosen.end(), member) != chosen.end();
            if (chosen.size() == replicaCount || isChosen)
                continue;
            if (!otherZonesOnly || !isZoneUsed(chosen, *member))
                chosen.push_back(member);
        }
    }
    Replicas replicas;
    for (const auto *member : chosen)
        replicas.push_back(member->id);
    return replicas;
}

json::array formatMembers(const std::vector<ViewMember> &members)
{
    json::array list;
    for (const auto &member : members) {
        list.push_back(json::object{{"host", member.id.value()},
                                    {"region", member.region.value()},
                                    {"zone", member.zone.value()},
                                    {"address", formatAddress(member.address)},
                                    {"incarnation", member.incarnation.value()}});
    }
    return list;
}

std::vector<ViewMember> parseMembers(const JsonNode &node, std::string_view field)
{
    std::vector<ViewMember> members;
    for (const auto &entry : node.list(field)) {
        entry.expectOnlyFields({"host", "region", "zone", "address", "incarnation"});
        ViewMember member;
        member.id = HostId(static_cast<std::uint32_t>(entry.integer("host", {1, 0xffff'ffff})));
        member.region = RegionId(entry.string("region"));
        member.zone = ZoneId(entry.string("zone"));
        member.address = parseAddress(entry.string("address"));
        member.incarnation =
                Incarnation(static_cast<std::uint64_t>(entry.integer("incarnation", nonNegative)));
        members.push_back(std::move(member));
    }
    return members;
}

} // namespace

ShardId shardOf(const ServiceId &service)
{
    const std::string &text = service.value();
    return ShardId(static_cast<std::uint16_t>(XXH3_64bits(text.data(), text.size()) % shardCount));
}

ShardId shardOf(const IdempotencyKeyHash &key)
{
    return ShardId(static_cast<std::uint16_t>(key.value() % shardCount));
}

ShardMap::ShardMap(const std::vector<ViewMember> &members)
{
    for (std::size_t i = 0; i < shardCount; ++i)
        m_replicas[i] = chooseReplicas(ShardId(static_cast<std::uint16_t>(i)), members);
}

bool ShardMap::isReplica(ShardId shard, HostId host) const
{
    return rank(shard, host) < replicaCount;
}

std::size_t ShardMap::rank(ShardId shard, HostId host) const
{
    const Replicas &list = replicas(shard);
    const auto found = std::find(list.begin(), list.end(), host);
    return found == list.end() ? replicaCount : static_cast<std::size_t>(found - list.begin());
}

std::size_t majorityOf(const Replicas &replicas)
{
    return replicas.size() / 2 + 1;
}

const ViewMember *findMember(const std::vector<ViewMember> &members, HostId id)
{
    for (const auto &member : members) {
        if (member.id == id)
            return &member;
    }
    return nullptr;
}

std::string formatView(const View &view)
{
    json::object object;
    object["members"] = formatMembers(view.members);
    object["previousNumber"] = view.previousNumber.value();
    object["previous"] = formatMembers(view.previous);
    return json::serialize(object);
}

View parseView(std::string_view text, ViewNumber number)
{
    const std::string document(viewDocumentName);
    const json::value value = parseJson(text, document);
    const JsonNode node(value, document);
    node.expectOnlyFields({"members", "previousNumber", "previous"});
    View view;
    view.number = number;
    view.members = parseMembers(node, "members");
    view.previousNumber = ViewNumber(node.integer("previousNumber", nonNegative));
    view.previous = parseMembers(node, "previous");
    return view;
}

} // namespace endivedock
