#include "endivedock/usage/usage_record.h"

#include "endivedock/json.h"

#include <algorithm>
#include <chrono>
#include <limits>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace endivedock {

namespace {

namespace json = boost::json;

constexpr IntegerRange notNegative{0, std::numeric_limits<std::int64_t>::max()};
/**
 * Bits of a token that come from the host; the others are milliseconds since 1970, so that a token
 * stays exact as a double-precision number until the year 2248.
 */
constexpr unsigned hostBits = 10;
/** So that the times of windows of up to an hour, and of those that follow, do not overflow. */
constexpr std::int64_t maxWindow =
        std::numeric_limits<std::int64_t>::max() / Milliseconds(std::chrono::hours(2)).count();
constexpr IntegerRange windowRange{0, maxWindow};

HostId hostField(const JsonNode &node, std::string_view field)
{
    constexpr IntegerRange range{0, std::numeric_limits<std::uint32_t>::max()};
    return HostId(static_cast<std::uint32_t>(node.integer(field, range)));
}

} // namespace

std::string encodeUsageRecord(const UsageRecord &record)
{
    json::array windows;
    for (const auto &[window, counts] : record.unconfirmed) {
        json::object teams;
        for (const auto &[team, count] : counts)
            teams[team.value()] = count;
        windows.push_back(json::object{{"window", window.value()}, {"counts", std::move(teams)}});
    }
    return json::serialize(json::object{{"token", record.token.value()},
                                        {"holder", record.holder.value()},
                                        {"previous_holder", record.previousHolder.value()},
                                        {"term_started_ms", record.termStartedAt.count()},
                                        {"through", record.through.value()},
                                        {"unconfirmed", std::move(windows)}});
}

UsageRecord decodeUsageRecord(std::string_view text)
{
    try {
        const json::value document = parseJson(text, "usage record");
        const JsonNode node(document, "usage record");
        UsageRecord record;
        record.token = FencingToken(static_cast<std::uint64_t>(node.integer("token", notNegative)));
        record.holder = hostField(node, "holder");
        record.previousHolder = hostField(node, "previous_holder");
        record.termStartedAt = Milliseconds(node.integer("term_started_ms", notNegative));
        record.through = UsageWindow(node.integer("through", windowRange));
        for (const auto &entry : node.list("unconfirmed")) {
            TeamCounts &counts =
                    record.unconfirmed[UsageWindow(entry.integer("window", windowRange))];
            const JsonNode teams = entry.at("counts");
            for (const auto &[team, count] : teams.members())
                counts[TeamId(team)] = static_cast<std::uint64_t>(teams.integer(team, notNegative));
        }
        return record;
    } catch (const JsonError &invalid) {
        throw UsageRecordError(invalid.what());
    }
}

FencingToken nextToken(FencingToken stored, Milliseconds timeOfDay, HostId host)
{
    const std::uint64_t low = host.value() & ((1u << hostBits) - 1);
    const auto clock = static_cast<std::uint64_t>(timeOfDay.count());
    const std::uint64_t high = std::max(clock, (stored.value() >> hostBits) + 1);
    return FencingToken(high << hostBits | low);
}

} // namespace endivedock
