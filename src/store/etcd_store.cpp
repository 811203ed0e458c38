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

constexpr std::string_view documentName = "store response";

/** Reads an integer; the JSON gateway writes 64-bit integers as strings and omits zeros. */
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
        const auto [parsedEnd, code] = std::from_chars(text.data(), end, number);
        if (code == std::errc{} && parsedEnd == end)
            return number;
    }
    throw StoreProtocolError("store response: expected an integer in field " + std::string(field));
}

std::string readBytes(const json::object &object, std::string_view field)
{
    const json::value *value = object.if_contains(field);
    if (value == nullptr)
        return {};
    if (!value->is_string())
        throw StoreProtocolError("store response: expected a string in field " +
                                 std::string(field));
    return decodeBase64(std::string_view(value->get_string()));
}

json::object readObject(std::string_view text)
{
    try {
        json::value value = parseJson(text, std::string(documentName));
        if (value.is_object())
            return std::move(value.get_object());
    } catch (const JsonError &error) {
        throw StoreProtocolError(error.what());
    }
    throw StoreProtocolError("store response: expected a JSON object");
}

StoreEntry readEntry(const json::value &value)
{
    if (!value.is_object())
        throw StoreProtocolError("store response: expected an object for each element of kvs");
    const json::object &object = value.get_object();
    return {readBytes(object, "key"), readBytes(object, "value"),
            Revision(readInteger(object, "mod_revision"))};
}

std::vector<StoreEntry> readEntries(const json::object &response)
{
    std::vector<StoreEntry> entries;
    const json::value *pairs = response.if_contains("kvs");
    if (pairs == nullptr)
        return entries;
    if (!pairs->is_array())
        throw StoreProtocolError("store response: expected an array in field kvs");
    for (const auto &pair : pairs->get_array())
        entries.push_back(readEntry(pair));
    return entries;
}

Revision readRevision(const json::object &response)
{
    const json::value *header = response.if_contains("header");
    if (header == nullptr || !header->is_object())
        throw StoreProtocolError("store response: expected an object in field header");
    return Revision(readInteger(header->get_object(), "revision"));
}

json::object makeRange(const std::string &prefix)
{
    json::object range;
    range["key"] = encodeBase64(prefix);
    range["range_end"] = encodeBase64(prefixEnd(prefix));
    return range;
}

json::object makeTransaction(const std::vector<ConditionalPut> &conditionalPuts, LeaseId lease)
{
    json::array compares;
    json::array putRequests;
    json::array ranges;
    for (const auto &put : conditionalPuts) {
        const std::string key = encodeBase64(put.key);
        compares.push_back(json::object{{"key", key},
                                        {"target", "MOD"},
                                        {"result", "EQUAL"},
                                        {"mod_revision", std::to_string(put.modRevision.value())}});
        json::object putRequest{{"key", key}, {"value", encodeBase64(put.value)}};
        if (lease != noLease)
            putRequest["lease"] = std::to_string(lease.value());
        putRequests.push_back(json::object{{"request_put", putRequest}});
        ranges.push_back(json::object{{"request_range", json::object{{"key", key}}}});
    }
    return {{"compare", compares}, {"success", putRequests}, {"failure", ranges}};
}

/** @return the first current entry whose revision differs from the expected one */
std::optional<StoreEntry> readConflict(const json::object &response,
                                       const std::vector<ConditionalPut> &conditionalPuts)
{
    const json::value *responses = response.if_contains("responses");
    if (responses == nullptr || !responses->is_array())
        return std::nullopt;
    for (const auto &operationResponse : responses->get_array()) {
        if (!operationResponse.is_object())
            continue;
        const json::value *range = operationResponse.get_object().if_contains("response_range");
        if (range == nullptr || !range->is_object())
            continue;
        for (auto &entry : readEntries(range->get_object())) {
            const bool unchanged = std::any_of(
                    conditionalPuts.begin(), conditionalPuts.end(), [&](const ConditionalPut &put) {
                        return put.key == entry.key && put.modRevision == entry.modRevision;
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
    m_currentEndpoint = (m_currentEndpoint + 1) % m_clients.size();
}

Task<std::string> EtcdStore::call(std::string path, std::string body, Retry retry)
{
    std::string lastError;
    const std::size_t maxTries = retry == Retry::Never ? 1 : m_clients.size();
    for (std::size_t i = 0; i < maxTries; ++i) {
        try {
            ++m_calls;
            HttpClientResponse response =
                    co_await m_clients.at(m_currentEndpoint).request("POST", path, body, m_timeout);
            if (response.status == 200)
                co_return std::move(response.body);
            if (response.status < 500)
                throw StoreProtocolError("the store rejected " + path + ": " + response.body);
            lastError = "status " + std::to_string(response.status);
        } catch (const HttpError &error) {
            lastError = error.what();
        }
        useNextEndpoint();
    }
    throw StoreUnavailable("the store did not respond to " + path + ": " + lastError);
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
            co_await call("/v3/kv/range", json::serialize(makeRange(prefix)), Retry::NextEndpoint);
    const json::object response = readObject(text);
    co_return StoreSnapshot{readRevision(response), readEntries(response)};
}

Task<CompareAndSwapResult> EtcdStore::compareAndSwap(std::vector<ConditionalPut> conditionalPuts,
                                                     LeaseId lease)
{
    const json::object transaction = makeTransaction(conditionalPuts, lease);
    const std::string text =
            co_await call("/v3/kv/txn", json::serialize(transaction), Retry::Never);
    const json::object response = readObject(text);
    const json::value *succeeded = response.if_contains("succeeded");
    CompareAndSwapResult result;
    result.wasSwapped = succeeded != nullptr && succeeded->is_bool() && succeeded->get_bool();
    result.revision = readRevision(response);
    if (!result.wasSwapped)
        result.current = readConflict(response, conditionalPuts);
    co_return result;
}

Task<LeaseId> EtcdStore::grantLease(Milliseconds timeToLive)
{
    json::object request;
    request["TTL"] = std::to_string(std::chrono::ceil<Seconds>(timeToLive).count());
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
    const json::object response = readObject(text);
    const json::value *result = response.if_contains("result");
    if (result == nullptr || !result->is_object())
        throw StoreProtocolError(
                "store response: expected an object in field result of a lease keep-alive");
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
    json::object createRequest = makeRange(prefix);
    createRequest["start_revision"] = std::to_string(after.value() + 1);
    json::object request;
    request["create_request"] = createRequest;
    bool changed = false;
    const auto onLine = [&changed](std::string_view line) {
        const json::object message = readObject(line);
        const json::value *result = message.if_contains("result");
        if (result == nullptr || !result->is_object())
            throw StoreProtocolError(
                    "store response: expected an object in field result of a watch message");
        const json::value *events = result->get_object().if_contains("events");
        // A cancelled watch (compacted revision) counts as a change, after which keys are listed.
        changed = events != nullptr || result->get_object().contains("canceled");
        return !changed;
    };
    ++m_calls;
    const TimePoint deadline = SteadyClock().now() + timeout;
    try {
        co_await m_clients.at(m_currentEndpoint)
                .streamLines("/v3/watch", json::serialize(request), timeout, onLine);
    } catch (const HttpError &error) {
        if (SteadyClock().now() >= deadline)
            co_return false;
        useNextEndpoint();
        throw StoreUnavailable(std::string("the watch failed: ") + error.what());
    }
    co_return changed;
}

} // namespace endivedock
