#include "endivedock/control/operator_store.h"

#include <algorithm>
#include <chrono>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace endivedock {

namespace {

constexpr std::string_view authorPrefix = "/endivedock/authors";
constexpr std::uint64_t maxRolloutNumber = 1ull << 52;

std::string authorKey(const std::string &key)
{
    return std::string(authorPrefix) + key;
}

std::string formatAuthor(const Author &author)
{
    boost::json::object object;
    object["operator"] = author.operatorName;
    object["command"] = author.command;
    object["atMs"] = unixTimeMilliseconds();
    return boost::json::serialize(object);
}

Revision modRevisionOf(const StoreSnapshot &snapshot, const std::string &key)
{
    for (const auto &entry : snapshot.entries) {
        if (entry.key == key)
            return entry.modRevision;
    }
    return Revision(0);
}

std::optional<Rollout> findRollout(const StoreSnapshot &snapshot, const ServiceId &service)
{
    for (const auto &entry : snapshot.entries) {
        if (entry.key != rolloutKey(service))
            continue;
        const auto value = parseJson(entry.value, entry.key);
        return parseRollout(JsonNode(value, entry.key));
    }
    return std::nullopt;
}

std::vector<std::string> callerKeys(const StoreSnapshot &snapshot, const TeamId &team)
{
    for (const auto &entry : snapshot.entries) {
        if (entry.key != callerKeysKey(team))
            continue;
        const auto value = parseJson(entry.value, entry.key);
        return parseCallerKeys(JsonNode(value, entry.key));
    }
    return {};
}

Declarations parseSnapshot(const StoreSnapshot &snapshot)
{
    ConfigurationSnapshot configuration{snapshot.revision, {}};
    for (const auto &entry : snapshot.entries)
        configuration.entries.push_back({entry.key, entry.value});
    return parseDeclarations(configuration);
}

} // namespace

Task<StoreSnapshot> OperatorStore::fetchDeclarations()
{
    co_return co_await m_store.list(std::string(declarationPrefix));
}

Task<std::string> OperatorStore::describeConflict(StoreEntry current)
{
    std::string text =
            current.key + " was changed at revision " + std::to_string(current.modRevision.value());
    const auto author = co_await m_store.get(authorKey(current.key));
    if (author) {
        const auto value = parseJson(author->value, author->key);
        const JsonNode node(value, author->key);
        text += " by " + node.stringOr("operator", "unknown") + " (" +
                node.stringOr("command", "unknown") + ")";
    }
    co_return text + "; it is now " + current.value;
}

Task<Revision> OperatorStore::apply(StoreSnapshot current, std::vector<Declaration> desired)
{
    validateChange(current, desired);
    const auto changes = diffDeclarations(current, desired);
    if (changes.empty())
        co_return current.revision;
    std::vector<ConditionalPut> conditionalPuts;
    for (const auto &change : changes)
        conditionalPuts.push_back({change.key, modRevisionOf(current, change.key), change.after});
    // The author is only shown to operators, so the value that is stored now does not matter. Its
    // key is written in the same transaction, which needs the key's present revision.
    for (const auto &change : changes) {
        const std::string key = authorKey(change.key);
        const auto before = co_await m_store.get(key);
        conditionalPuts.push_back(
                {key, before ? before->modRevision : Revision(0), formatAuthor(m_author)});
    }
    const CompareAndSwapResult result =
            co_await compareAndSwapWithReadBack(m_store, conditionalPuts);
    if (result.wasSwapped)
        co_return result.revision;
    if (!result.current)
        throw ConflictError("the declarations were changed by another operator; read them again");
    throw ConflictError(co_await describeConflict(*result.current));
}

Task<Revision> OperatorStore::startRollout(ServiceId service, VersionId from, VersionId to,
                                           std::optional<Milliseconds> deadline)
{
    const StoreSnapshot current = co_await fetchDeclarations();
    const Declarations declared = parseSnapshot(current);
    const Service *found = declared.find(service);
    if (found == nullptr)
        throw ChangeError("service " + service.value() + " is not declared");
    if (found->rollout && found->rollout->state == RolloutState::Running)
        throw ChangeError("a move of " + service.value() + " is already running");
    Random random = systemRandom();
    Rollout rollout;
    rollout.service = service;
    rollout.number = 1 + drawBelow(random, maxRolloutNumber);
    rollout.from = from;
    rollout.to = to;
    rollout.startedAt = unixTimeMilliseconds();
    rollout.deadline = deadline.value_or(found->rolloutDeadline);
    std::vector<Declaration> desired{{rolloutKey(service), formatRollout(rollout), "move start"}};
    co_return co_await apply(current, std::move(desired));
}

Task<Revision> OperatorStore::rollBack(ServiceId service)
{
    const StoreSnapshot current = co_await fetchDeclarations();
    std::optional<Rollout> rollout = findRollout(current, service);
    if (!rollout)
        throw ChangeError("no move is declared for service " + service.value());
    if (rollout->state == RolloutState::Done)
        throw ChangeError(
                "the move is done and cannot be taken back; start a move in the other direction");
    rollout->state = RolloutState::RolledBack;
    rollout->cause = "operator";
    std::vector<Declaration> desired{
            {rolloutKey(service), formatRollout(*rollout), "move take-back"}};
    co_return co_await apply(current, std::move(desired));
}

Task<Revision> OperatorStore::addCallerKey(TeamId team, std::string key)
{
    const StoreSnapshot current = co_await fetchDeclarations();
    std::vector<std::string> digests = callerKeys(current, team);
    digests.push_back(digestOf(key));
    std::vector<Declaration> desired{{callerKeysKey(team), formatCallerKeys(digests), "key add"}};
    co_return co_await apply(current, std::move(desired));
}

Task<Revision> OperatorStore::withdrawCallerKey(TeamId team, std::string digestPrefix)
{
    const StoreSnapshot current = co_await fetchDeclarations();
    std::vector<std::string> digests = callerKeys(current, team);
    const auto removed = std::erase_if(digests, [&](const std::string &digest) {
        return digestPrefix.size() >= minDigestPrefix && digest.starts_with(digestPrefix);
    });
    if (removed != 1)
        throw ChangeError(std::to_string(removed) + " keys of " + team.value() +
                          " have a digest that begins with " + digestPrefix + "; give at least " +
                          std::to_string(minDigestPrefix) + " characters of one");
    // An empty list stays: without any list of keys, requests would need none.
    std::vector<Declaration> desired{
            {callerKeysKey(team), formatCallerKeys(digests), "key withdraw"}};
    co_return co_await apply(current, std::move(desired));
}

} // namespace endivedock
