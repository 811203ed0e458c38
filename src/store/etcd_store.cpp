#include "endivedock/store/etcd_store.h"

#include "endivedock/json.h"

#include <algorithm>
#include <charconv>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace endivedock {

namespace json = boost::json;

namespace {

constexpr std::string_view answerName = "store answer";

/** The gateway writes 64-bit integers as strings and leaves out zeros. */
std::int64_t readInteger(const json::object &object, std::string_view field)
{
    const json::value *value = object.if_contains(field);
    if (value == nullptr)
        return 0;
    if (value->is_int64())
        return value->get_int64();
    std::int64_t number = 0;
    if (value->is_string()) {
        const auto &text = value->get_string();
        const char *end = text.data() + text.size();
        if (std::from_chars(text.data(), end, number).ptr == end)
            return number;
    }
    throw StoreProtocolError("the store sent no integer in " + std::string(field));
}

std::string readBytes(const json::object &object, std::string_view field)
{
    const json::value *value = object.if_contains(field);
    if (value == nullptr)
        return {};
    if (!value->is_string())
        throw StoreProtocolError("the store sent no string in " + std::string(field));
    return decodeBase64(std::string_view(value->get_string()));
}

json::object readObject(std::string_view text)
{
    try {
        json::value value = parseJson(text, std::string(answerName));
        if (value.is_object())
            return std::move(value.get_object());
    } catch (const JsonError &error) {
        throw StoreProtocolError(error.what());
    }
    throw StoreProtocolError("the store sent no object");
}

StoreEntry readEntry(const json::value &value)
{
    if (!value.is_object())
        throw StoreProtocolError("the store sent a key-value pair that is no object");
    const json::object &object = value.get_object();
    return {readBytes(object, "key"), readBytes(object, "value"),
            Revision(readInteger(object, "mod_revision"))};
}

std::vector<StoreEntry> readEntries(const json::object &answer)
{
    std::vector<StoreEntry> entries;
    const json::value *pairs = answer.if_contains("kvs");
    if (pairs == nullptr)
        return entries;
    if (!pairs->is_array())
        throw StoreProtocolError("the store sent kvs that are no array");
    for (const auto &pair : pairs->get_array())
        entries.push_back(readEntry(pair));
    return entries;
}

Revision readRevision(const json::object &answer)
{
    const json::value *header = answer.if_contains("header");
    if (header == nullptr || !header->is_object())
        throw StoreProtocolError("the store sent no header");
    return Revision(readInteger(header->get_object(), "revision"));
}

json::object rangeOf(const std::string &prefix)
{
    json::object range;
    range["key"] = encodeBase64(prefix);
    range["range_end"] = encodeBase64(prefixEnd(prefix));
    return range;
}

json::object swapTransaction(const std::vector<ConditionalPut> &conditionalPuts, LeaseId lease)
{
    json::array compares;
    json::array puts;
    json::array ranges;
    for (const auto &swap : conditionalPuts) {
        const std::string key = encodeBase64(swap.key);
        compares.push_back(
                json::object{{"key", key},
                             {"target", "MOD"},
                             {"result", "EQUAL"},
                             {"mod_revision", std::to_string(swap.modRevision.value())}});
        json::object put{{"key", key}, {"value", encodeBase64(swap.value)}};
        if (lease != noLease)
            put["lease"] = std::to_string(lease.value());
        puts.push_back(json::object{{"request_put", put}});
        ranges.push_back(json::object{{"request_range", json::object{{"key", key}}}});
    }
    return {{"compare", compares}, {"success", puts}, {"failure", ranges}};
}

/** @return the first entry that is not as its writer believed */
std::optional<StoreEntry> readConflict(const json::object &answer,
                                       const std::vector<ConditionalPut> &conditionalPuts)
{
    const json::value *responses = answer.if_contains("responses");
    if (responses == nullptr || !responses->is_array())
        return std::nullopt;
    for (const auto &response : responses->get_array()) {
        if (!response.is_object())
            continue;
        const json::value *range = response.get_object().if_contains("response_range");
        if (range == nullptr || !range->is_object())
            continue;
        for (auto &entry : readEntries(range->get_object())) {
            const bool unchanged = std::any_of(conditionalPuts.begin(), conditionalPuts.end(),
                                               [&](const ConditionalPut &swap) {
                                                   return swap.key == entry.key &&
                                                          swap.modRevision == entry.modRevision;
                                               });
            if (!unchanged)
                return std::move(entry);
        }
    }
    return std::nullopt;
}

} // namespace

EtcdStore::EtcdStore(asio::any_io_executor executor, std::vector<Address> endpoints,
                     Milliseconds timeout)
    : m_executor(std::move(executor))
    , m_endpoints(std::move(endpoints))
    , m_timeout(timeout)
{
    for (const auto &endpoint : m_endpoints)
        m_clients.emplace_back(m_executor, endpoint);
}

void EtcdStore::useNextEndpoint()
{
    m_current = (m_current + 1) % m_clients.size();
}

Task<std::string> EtcdStore::call(std::string path, std::string body, Retry retry)
{
    std::string lastError;
    const std::size_t tries = retry == Retry::Never ? 1 : m_clients.size();
    for (std::size_t i = 0; i < tries; ++i) {
        try {
            ++m_calls;
            HttpClientResponse reply =
                    co_await m_clients.at(m_current).request("POST", path, body, m_timeout);
            if (reply.status == 200)
                co_return std::move(reply.body);
            if (reply.status < 500)
                throw StoreProtocolError("the store refused " + path + ": " + reply.body);
            lastError = "status " + std::to_string(reply.status);
        } catch (const HttpError &error) {
            lastError = error.what();
        }
        useNextEndpoint();
    }
    throw StoreUnavailable("the store did not answer " + path + ": " + lastError);
}

Task<std::optional<StoreEntry>> EtcdStore::get(std::string key)
{
    json::object range;
    range["key"] = encodeBase64(key);
    const std::string text =
            co_await call("/v3/kv/range", json::serialize(range), Retry::NextEndpoint);
    auto entries = readEntries(readObject(text));
    if (entries.empty())
        co_return std::nullopt;
    co_return std::move(entries.front());
}

Task<StoreSnapshot> EtcdStore::list(std::string prefix)
{
    const std::string text =
            co_await call("/v3/kv/range", json::serialize(rangeOf(prefix)), Retry::NextEndpoint);
    const json::object answer = readObject(text);
    co_return StoreSnapshot{readRevision(answer), readEntries(answer)};
}

Task<CompareAndSwapResult> EtcdStore::compareAndSwap(std::vector<ConditionalPut> conditionalPuts,
                                                     LeaseId lease)
{
    const json::object transaction = swapTransaction(conditionalPuts, lease);
    const std::string text =
            co_await call("/v3/kv/txn", json::serialize(transaction), Retry::Never);
    const json::object answer = readObject(text);
    const json::value *succeeded = answer.if_contains("succeeded");
    CompareAndSwapResult result;
    result.swapped = succeeded != nullptr && succeeded->is_bool() && succeeded->get_bool();
    result.revision = readRevision(answer);
    if (!result.swapped)
        result.present = readConflict(answer, conditionalPuts);
    co_return result;
}

Task<LeaseId> EtcdStore::grantLease(Milliseconds term)
{
    json::object request;
    request["TTL"] = std::to_string(std::chrono::ceil<Seconds>(term).count());
    const std::string text =
            co_await call("/v3/lease/grant", json::serialize(request), Retry::Never);
    co_return LeaseId(readInteger(readObject(text), "ID"));
}

Task<bool> EtcdStore::renewLease(LeaseId lease)
{
    json::object request;
    request["ID"] = std::to_string(lease.value());
    const std::string text =
            co_await call("/v3/lease/keepalive", json::serialize(request), Retry::NextEndpoint);
    const json::object answer = readObject(text);
    const json::value *result = answer.if_contains("result");
    if (result == nullptr || !result->is_object())
        throw StoreProtocolError("the store sent no result of a keep-alive");
    co_return readInteger(result->get_object(), "TTL") > 0;
}

Task<> EtcdStore::revokeLease(LeaseId lease)
{
    json::object request;
    request["ID"] = std::to_string(lease.value());
    co_await call("/v3/lease/revoke", json::serialize(request), Retry::NextEndpoint);
}

Task<bool> EtcdStore::awaitChange(std::string prefix, Revision after, Milliseconds timeout)
{
    json::object create = rangeOf(prefix);
    create["start_revision"] = std::to_string(after.value() + 1);
    json::object request;
    request["create_request"] = create;
    bool changed = false;
    const auto onLine = [&changed](std::string_view line) {
        const json::object message = readObject(line);
        const json::value *result = message.if_contains("result");
        if (result == nullptr || !result->is_object())
            throw StoreProtocolError("the store sent a watch message with no result");
        const json::value *events = result->get_object().if_contains("events");
        // A cancelled watch (compacted revision) is treated as a change: the caller lists anew.
        changed = events != nullptr || result->get_object().contains("canceled");
        return !changed;
    };
    ++m_calls;
    const TimePoint deadline = SteadyClock().now() + timeout;
    try {
        co_await m_clients.at(m_current).streamLines("/v3/watch", json::serialize(request), timeout,
                                                     onLine);
    } catch (const HttpError &error) {
        if (SteadyClock().now() >= deadline)
            co_return false;
        useNextEndpoint();
        throw StoreUnavailable(std::string("the watch failed: ") + error.what());
    }
    co_return changed;
}

} // namespace endivedock
