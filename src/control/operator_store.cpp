#include "endivedock/control/operator_store.h"

#include <algorithm>
#include <chrono>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace endivedock {

namespace {

constexpr std::string_view authorPrefix = "/endivedock/authors";
constexpr std::uint64_t largestMoveNumber = 1ull << 52;

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

Revision modifiedOf(const StoreSnapshot &snapshot, const std::string &key)
{
    for (const auto &entry : snapshot.entries) {
        if (entry.key == key)
            return entry.modRevision;
    }
    return Revision(0);
}

std::optional<Rollout> findMove(const StoreSnapshot &snapshot, const ServiceId &service)
{
    for (const auto &entry : snapshot.entries) {
        if (entry.key != rolloutKey(service))
            continue;
        const auto value = parseJson(entry.value, entry.key);
        return parseRollout(JsonNode(value, entry.key));
    }
    return std::nullopt;
}

Declarations parsed(const StoreSnapshot &snapshot)
{
    ConfigurationSnapshot copy{snapshot.revision, {}};
    for (const auto &entry : snapshot.entries)
        copy.entries.push_back({entry.key, entry.value});
    return parseDeclarations(copy);
}

} // namespace

Task<StoreSnapshot> OperatorStore::declarations()
{
    co_return co_await m_store.list(std::string(declarationPrefix));
}

Task<std::string> OperatorStore::describeConflict(StoreEntry present)
{
    std::string text =
            present.key + " was changed at revision " + std::to_string(present.modRevision.value());
    const auto author = co_await m_store.get(authorKey(present.key));
    if (author) {
        const auto value = parseJson(author->value, author->key);
        const JsonNode node(value, author->key);
        text += " by " + node.stringOr("operator", "unknown") + " (" +
                node.stringOr("command", "unknown") + ")";
    }
    co_return text + "; it is now " + present.value;
}

Task<Revision> OperatorStore::apply(StoreSnapshot present, std::vector<Declaration> wanted)
{
    validateChange(present, wanted);
    const auto changes = diffDeclarations(present, wanted);
    if (changes.empty())
        co_return present.revision;
    std::vector<ConditionalPut> conditionalPuts;
    for (const auto &change : changes)
        conditionalPuts.push_back({change.key, modifiedOf(present, change.key), change.after});
    // Authors are only for people; they are written with the change, whatever they were before.
    for (const auto &change : changes) {
        const std::string key = authorKey(change.key);
        const auto before = co_await m_store.get(key);
        conditionalPuts.push_back(
                {key, before ? before->modRevision : Revision(0), formatAuthor(m_author)});
    }
    const CompareAndSwapResult result =
            co_await compareAndSwapWithReadBack(m_store, conditionalPuts);
    if (result.swapped)
        co_return result.revision;
    if (!result.present)
        throw ConflictError("the declarations were changed meanwhile");
    throw ConflictError(co_await describeConflict(*result.present));
}

Task<Revision> OperatorStore::startRollout(ServiceId service, VersionId from, VersionId to,
                                           std::optional<Milliseconds> deadline)
{
    const StoreSnapshot present = co_await declarations();
    const Declarations declared = parsed(present);
    const Service *found = declared.find(service);
    if (found == nullptr)
        throw ChangeError("service " + service.value() + " is not declared");
    if (found->rollout && found->rollout->state == RolloutState::Running)
        throw ChangeError("a move of " + service.value() + " is running");
    Random random = systemRandom();
    Rollout move;
    move.service = service;
    move.number = 1 + drawBelow(random, largestMoveNumber);
    move.from = from;
    move.to = to;
    move.startedAt = unixTimeMilliseconds();
    move.deadline = deadline.value_or(found->rolloutDeadline);
    std::vector<Declaration> wanted{{rolloutKey(service), formatRollout(move), "move start"}};
    co_return co_await apply(present, std::move(wanted));
}

Task<Revision> OperatorStore::rollBack(ServiceId service)
{
    const StoreSnapshot present = co_await declarations();
    std::optional<Rollout> move = findMove(present, service);
    if (!move)
        throw ChangeError("there is no move of " + service.value());
    if (move->state == RolloutState::Done)
        throw ChangeError("the move is done; start one in the other direction");
    move->state = RolloutState::RolledBack;
    move->cause = "operator";
    std::vector<Declaration> wanted{{rolloutKey(service), formatRollout(*move), "move take-back"}};
    co_return co_await apply(present, std::move(wanted));
}

} // namespace endivedock
