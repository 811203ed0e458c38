// A stand-in for the platform: the JSON gateway of the etcd v3 protocol and the host directory, on
// one port and in memory. POST /control {"store":"up|down|slow|loseAnswers",
// "directory":"up|down|frozen"} makes the store slow, unavailable or lose the answer to a write,
// and makes the directory unavailable or serve an old listing. PUT /v1/hosts replaces the listing,
// and POST /v1/targets/state changes one entry of the listing.

#include "endivedock/json.h"
#include "endivedock/net.h"
#include "endivedock/store.h"

#include <iostream>
#include <map>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace {

using namespace endivedock;
namespace json = boost::json;

constexpr Milliseconds slowResponseDelay{800};
constexpr Milliseconds pollInterval{5};
constexpr Seconds maxWatchDuration{25};

struct Value
{
    std::string text;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

struct Lease
{
    Seconds duration{0};
    TimePoint expiresAt{};
};

enum class StoreMode { Up, Down, Slow, LoseAnswers };
enum class DirectoryMode { Up, Down, Frozen };

std::string stringOf(const json::value &value)
{
    return std::string(value.as_string().data(), value.as_string().size());
}

std::string decodeField(const json::object &object, std::string_view name)
{
    return object.contains(name) ? decodeBase64(stringOf(object.at(name))) : std::string();
}

std::int64_t integerField(const json::object &object, std::string_view name)
{
    if (!object.contains(name))
        return 0;
    const json::value &value = object.at(name);
    return value.is_string() ? std::stoll(stringOf(value)) : value.to_number<std::int64_t>();
}

HttpServerResponse answer(const json::object &object)
{
    return {200, "application/json", json::serialize(object) + "\n"};
}

class PlatformStandIn
{
public:
    Task<HttpServerResponse> handle(HttpServerRequest call)
    {
        if (call.path.starts_with("/v3/"))
            co_return co_await handleStore(std::move(call));
        if (call.path == "/control")
            co_return control(parseJson(call.body, "control").as_object());
        if (call.path == "/calls")
            co_return HttpServerResponse{200, "text/plain", std::to_string(m_storeCalls) + "\n"};
        co_return handleDirectory(call);
    }

private:
    HttpServerResponse control(const json::object &command)
    {
        if (command.contains("store")) {
            const std::string mode = stringOf(command.at("store"));
            m_storeMode = mode == "down"          ? StoreMode::Down
                          : mode == "slow"        ? StoreMode::Slow
                          : mode == "loseAnswers" ? StoreMode::LoseAnswers
                                                  : StoreMode::Up;
        }
        if (command.contains("directory")) {
            const std::string mode = stringOf(command.at("directory"));
            m_directoryMode = mode == "down"     ? DirectoryMode::Down
                              : mode == "frozen" ? DirectoryMode::Frozen
                                                 : DirectoryMode::Up;
            m_frozenListing = m_listing;
        }
        return {200, "application/json", "{}\n"};
    }

    HttpServerResponse handleDirectory(const HttpServerRequest &call)
    {
        if (call.method == "PUT" && call.path == "/v1/hosts") {
            m_listing = parseJson(call.body, "listing");
            return {200, "application/json", "{}\n"};
        }
        if (call.method == "POST" && call.path == "/v1/targets/state")
            return setTargetState(parseJson(call.body, "state").as_object());
        if (m_directoryMode == DirectoryMode::Down)
            return {503, "text/plain", "down\n"};
        const bool isFrozen = m_directoryMode == DirectoryMode::Frozen;
        return {200, "application/json", json::serialize(isFrozen ? m_frozenListing : m_listing)};
    }

    HttpServerResponse setTargetState(const json::object &command)
    {
        for (auto &target : m_listing.as_object().at("targets").as_array()) {
            if (target.as_object().at("target") == command.at("target"))
                target.as_object()["state"] = command.at("state");
        }
        return {200, "application/json", "{}\n"};
    }

    Task<HttpServerResponse> handleStore(HttpServerRequest call)
    {
        ++m_storeCalls;
        if (m_storeMode == StoreMode::Down)
            co_return HttpServerResponse{503, "text/plain", "down\n"};
        if (m_storeMode == StoreMode::Slow)
            co_await sleepFor(slowResponseDelay);
        expireLeases();
        const json::value body = parseJson(call.body, "request");
        const json::object &request = body.as_object();
        if (call.path == "/v3/kv/range")
            co_return answer(range(request));
        if (call.path == "/v3/kv/txn") {
            const HttpServerResponse result = answer(transaction(request));
            if (m_storeMode == StoreMode::LoseAnswers)
                co_return HttpServerResponse{503, "text/plain",
                                             "the answer to the write was lost\n"};
            co_return result;
        }
        if (call.path == "/v3/watch")
            co_return co_await watch(request);
        if (call.path == "/v3/lease/grant")
            co_return answer(grantLease(request));
        if (call.path == "/v3/lease/keepalive")
            co_return answer(keepAlive(request));
        if (call.path == "/v3/lease/revoke")
            co_return answer(revoke(request));
        co_return HttpServerResponse{404, "text/plain", "no such path\n"};
    }

    json::object header() const { return {{"revision", std::to_string(m_revision)}}; }

    static json::object makeKeyValue(const std::string &key, const Value &value)
    {
        json::object result;
        result["key"] = encodeBase64(key);
        result["value"] = encodeBase64(value.text);
        result["create_revision"] = std::to_string(value.createRevision);
        result["mod_revision"] = std::to_string(value.modRevision);
        result["version"] = std::to_string(value.version);
        return result;
    }

    json::object range(const json::object &request) const
    {
        const std::string key = decodeField(request, "key");
        const std::string end = decodeField(request, "range_end");
        json::array pairs;
        for (auto entry = m_values.lower_bound(key); entry != m_values.end(); ++entry) {
            if (end.empty() ? entry->first != key : entry->first >= end)
                break;
            pairs.push_back(makeKeyValue(entry->first, entry->second));
        }
        json::object result{{"header", header()}};
        if (!pairs.empty()) {
            result["count"] = std::to_string(pairs.size());
            result["kvs"] = std::move(pairs);
        }
        return result;
    }

    bool conditionHolds(const json::object &compare) const
    {
        const auto found = m_values.find(decodeField(compare, "key"));
        const std::int64_t modRevision = found == m_values.end() ? 0 : found->second.modRevision;
        return modRevision == integerField(compare, "mod_revision");
    }

    json::object transaction(const json::object &request)
    {
        bool succeeded = true;
        for (const auto &compare : request.at("compare").as_array())
            succeeded = succeeded && conditionHolds(compare.as_object());
        json::array responses;
        const char *branch = succeeded ? "success" : "failure";
        // All writes of one transaction have one revision.
        m_revision += succeeded ? 1 : 0;
        if (request.contains(branch)) {
            for (const auto &operation : request.at(branch).as_array())
                responses.push_back(apply(operation.as_object()));
        }
        json::object result;
        if (succeeded)
            result["succeeded"] = true;
        result["responses"] = std::move(responses);
        result["header"] = header();
        return result;
    }

    json::object apply(const json::object &operation)
    {
        if (operation.contains("request_range"))
            return {{"response_range", range(operation.at("request_range").as_object())}};
        const json::object &put = operation.at("request_put").as_object();
        Value &value = m_values[decodeField(put, "key")];
        value.text = decodeField(put, "value");
        value.createRevision = value.createRevision == 0 ? m_revision : value.createRevision;
        value.modRevision = m_revision;
        ++value.version;
        value.lease = integerField(put, "lease");
        return {{"response_put", json::object{{"header", header()}}}};
    }

    bool changedSince(const std::string &key, const std::string &end, std::int64_t from) const
    {
        for (auto entry = m_values.lower_bound(key); entry != m_values.end(); ++entry) {
            if (entry->first >= end)
                return false;
            if (entry->second.modRevision >= from)
                return true;
        }
        return false;
    }

    Task<HttpServerResponse> watch(const json::object &request)
    {
        const json::object create = request.at("create_request").as_object();
        const std::string key = decodeField(create, "key");
        const std::string end = decodeField(create, "range_end");
        const std::int64_t from = integerField(create, "start_revision");
        const TimePoint until = SteadyClock().now() + maxWatchDuration;
        while (!changedSince(key, end, from) && SteadyClock().now() < until &&
               m_storeMode != StoreMode::Down)
            co_await sleepFor(pollInterval);
        if (m_storeMode == StoreMode::Down)
            co_return HttpServerResponse{503, "text/plain", "down\n"};
        json::object result{{"header", header()}, {"events", json::array{json::object{}}}};
        co_return answer({{"result", result}});
    }

    json::object grantLease(const json::object &request)
    {
        const std::int64_t id = ++m_lastLease;
        const Seconds duration(integerField(request, "TTL"));
        m_leases[id] = {duration, SteadyClock().now() + duration};
        return {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", request.at("TTL")}};
    }

    json::object keepAlive(const json::object &request)
    {
        const auto found = m_leases.find(integerField(request, "ID"));
        json::object result{{"header", header()}};
        if (found != m_leases.end()) {
            found->second.expiresAt = SteadyClock().now() + found->second.duration;
            result["TTL"] = std::to_string(found->second.duration.count());
        }
        return {{"result", result}};
    }

    json::object revoke(const json::object &request)
    {
        dropLease(integerField(request, "ID"));
        return {{"header", header()}};
    }

    void dropLease(std::int64_t id)
    {
        m_leases.erase(id);
        const auto erasedCount = std::erase_if(
                m_values, [id](const auto &entry) { return entry.second.lease == id; });
        m_revision += erasedCount > 0 ? 1 : 0;
    }

    void expireLeases()
    {
        std::vector<std::int64_t> expired;
        for (const auto &[id, lease] : m_leases) {
            if (lease.expiresAt <= SteadyClock().now())
                expired.push_back(id);
        }
        for (const auto id : expired)
            dropLease(id);
    }

    std::map<std::string, Value> m_values;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    std::uint64_t m_storeCalls = 0;
    StoreMode m_storeMode = StoreMode::Up;
    DirectoryMode m_directoryMode = DirectoryMode::Up;
    json::value m_listing = json::object{{"hosts", json::array{}}, {"targets", json::array{}}};
    json::value m_frozenListing;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the platform's store and its host directory");
    std::string listen = "127.0.0.1:0";
    app.add_option("--listen", listen, "Address to listen on, an IP address with a port");
    CLI11_PARSE(app, argc, argv);
    boost::asio::io_context context(1);
    PlatformStandIn platform;
    HttpServer server(
            context.get_executor(), parseAddress(listen),
            [&platform](HttpServerRequest call) { return platform.handle(std::move(call)); });
    std::cout << formatAddress(server.localAddress()) << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
}
