// Sends mixed load through entry hosts at given rates, checks each answer against its own request,
// and prints a table for each service and, as the last line, one JSON object. Exits 0 only if
// nothing failed and no answer was wrong, doubled or truncated.

#include "endivedock/json.h"
#include "endivedock/net.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <list>
#include <map>
#include <sstream>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace {

using namespace endivedock;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

constexpr Seconds callTimeout{30};
constexpr int mostResends = 5;
constexpr Milliseconds resendAfter{200};

/** One stream of like requests. */
struct LoadSpec
{
    std::string service;
    std::string method = "GET";
    std::string path = "/";
    double rate = 10;
    bool keyed = false;
    std::size_t bodyBytes = 0;
};

struct Result
{
    std::vector<double> millis;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t wrong = 0;
    std::uint64_t truncated = 0;
    std::uint64_t resent = 0;
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> failures;
};

LoadSpec parseSpec(const std::string &text)
{
    std::istringstream parts(text);
    std::string part;
    LoadSpec spec;
    std::getline(parts, spec.service, ',');
    while (std::getline(parts, part, ',')) {
        const std::size_t equals = part.find('=');
        const std::string name = part.substr(0, equals);
        const std::string value = equals == std::string::npos ? "" : part.substr(equals + 1);
        if (name == "method")
            spec.method = value;
        else if (name == "path")
            spec.path = value;
        else if (name == "rate")
            spec.rate = std::stod(value);
        else if (name == "keyed")
            spec.keyed = true;
        else if (name == "body")
            spec.bodyBytes = std::stoul(value);
        else
            throw Error("unknown part of a service: " + part);
    }
    return spec;
}

struct Connection
{
    explicit Connection(const asio::any_io_executor &executor)
        : stream(executor)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

/** Outcome of one sending of a request. */
enum class Sending { Answered, RefusedNotRun, RefusedMayHaveRun, Failed, Wrong, Truncated };

class Load
{
public:
    Load(asio::any_io_executor executor, std::vector<Address> hosts, bool direct,
         std::uint64_t seed)
        : m_executor(std::move(executor))
        , m_hosts(std::move(hosts))
        , m_direct(direct)
        , m_random(seed)
    {
    }

    Task<> run(LoadSpec spec, Seconds time, Result &result)
    {
        asio::steady_timer timer(m_executor);
        TimePoint next = SteadyClock().now();
        const TimePoint end = next + time;
        while (next < end) {
            const double gap = -std::log(1.0 - drawUnitInterval(m_random)) / spec.rate;
            next += Microseconds(static_cast<std::int64_t>(gap * 1e6));
            timer.expires_at(next);
            co_await timer.async_wait(asio::use_awaitable);
            startTask(m_executor, "call", call(spec, result));
        }
    }

    bool idle() const { return m_open == 0; }

private:
    Task<> call(LoadSpec spec, Result &result)
    {
        ++m_open;
        const std::string number = std::to_string(m_random());
        const TimePoint startedAt = SteadyClock().now();
        Sending sending = co_await send(spec, number, result);
        for (int i = 0; i < mostResends && sending == Sending::RefusedNotRun; ++i) {
            ++result.resent;
            co_await sleepFor(resendAfter);
            sending = co_await send(spec, number, result);
        }
        const std::chrono::duration<double, std::milli> taken = SteadyClock().now() - startedAt;
        switch (sending) {
        case Sending::Answered:
            ++result.answered;
            result.millis.push_back(taken.count());
            break;
        case Sending::RefusedNotRun:
        case Sending::RefusedMayHaveRun:
            ++result.refused;
            break;
        case Sending::Failed:
            ++result.failed;
            break;
        case Sending::Wrong:
            ++result.wrong;
            break;
        case Sending::Truncated:
            ++result.truncated;
            break;
        }
        --m_open;
    }

    Task<Sending> send(const LoadSpec &spec, const std::string &number, Result &result)
    {
        const Address &host = m_hosts[drawBelow(m_random, m_hosts.size())];
        http::request<http::string_body> request;
        request.version(11);
        request.method_string(spec.method);
        request.target(m_direct ? spec.path : "/" + spec.service + spec.path);
        request.set(http::field::host, formatAddress(host));
        request.set("Request-Echo", number);
        if (spec.keyed)
            request.set("Idempotency-Key", "load-" + number);
        if (spec.bodyBytes > 0)
            request.body() = number + std::string(spec.bodyBytes, 'x');
        request.prepare_payload();

        std::unique_ptr<Connection> connection;
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        boost::system::error_code error;
        bool headerRead = false;
        connection = co_await connect(host, error);
        if (!error) {
            connection->stream.expires_after(callTimeout);
            co_await http::async_write(connection->stream, request,
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        if (!error) {
            co_await http::async_read_header(connection->stream, connection->buffer, parser,
                                             asio::redirect_error(asio::use_awaitable, error));
            headerRead = !error;
        }
        if (!error)
            co_await http::async_read(connection->stream, connection->buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            ++result.failures[error.message()];
            co_return headerRead ? Sending::Truncated : Sending::Failed;
        }
        const auto response = parser.release();
        if (response.keep_alive())
            m_idle[host].push_back(std::move(connection));
        co_return judge(response, number, result);
    }

    Task<std::unique_ptr<Connection>> connect(const Address &host, boost::system::error_code &error)
    {
        auto &idle = m_idle[host];
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            char byte = 0;
            boost::system::error_code peeked;
            connection->stream.socket().non_blocking(true, peeked);
            connection->stream.socket().receive(asio::buffer(&byte, 1),
                                                asio::socket_base::message_peek, peeked);
            if (peeked == asio::error::would_block)
                co_return connection;
        }
        auto connection = std::make_unique<Connection>(m_executor);
        connection->stream.expires_after(callTimeout);
        co_await connection->stream.async_connect(tcpEndpoint(host),
                                                  asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
        co_return connection;
    }

    static Sending judge(const http::response<http::string_body> &response,
                         const std::string &number, Result &result)
    {
        if (response[http::field::content_type] == "application/problem+json") {
            const auto problem = parseJson(response.body(), "problem");
            const JsonNode node(problem, "problem");
            const std::string run = node.string("run");
            ++result.refusals[node.string("reason") + "/" + run];
            return run == "not-run" ? Sending::RefusedNotRun : Sending::RefusedMayHaveRun;
        }
        if (response.result_int() != 200) {
            ++result.failures["status " + std::to_string(response.result_int())];
            return Sending::Failed;
        }
        const auto body = parseJson(response.body(), "answer");
        return JsonNode(body, "answer").stringOr("echo", "") == number ? Sending::Answered
                                                                       : Sending::Wrong;
    }

    asio::any_io_executor m_executor;
    std::vector<Address> m_hosts;
    bool m_direct;
    Random m_random;
    std::map<Address, std::vector<std::unique_ptr<Connection>>> m_idle;
    int m_open = 0;
};

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    const auto position =
            static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

std::string joined(const std::map<std::string, std::uint64_t> &counts)
{
    std::string text;
    for (const auto &[name, count] : counts)
        text += (text.empty() ? "" : " ") + name + "=" + std::to_string(count);
    return text.empty() ? "-" : text;
}

void printRow(const std::string &name, const Result &result, const std::string &retries)
{
    std::cout << std::left << std::setw(30) << name << std::right << std::setw(8) << result.answered
              << std::fixed << std::setprecision(2) << std::setw(10) << quantile(result.millis, 0.5)
              << std::setw(10) << quantile(result.millis, 0.99) << "  refusals "
              << joined(result.refusals) << "  retries " << retries << "  failures "
              << joined(result.failures) << "\n";
}

/** @return counts of "endivedock_retries_total" of one service by reason, over all hosts */
std::map<std::string, std::uint64_t> retriesOf(const std::string &service,
                                               const std::string &metrics)
{
    std::map<std::string, std::uint64_t> counts;
    std::istringstream lines(metrics);
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t reason = line.find("reason=\"");
        if (!line.starts_with("endivedock_retries_total{") || reason == std::string::npos ||
            line.find("service=\"" + service + "\"") == std::string::npos)
            continue;
        const std::size_t start = reason + 8;
        const std::string name = line.substr(start, line.find('"', start) - start);
        counts[name] += std::stoull(line.substr(line.rfind(' ') + 1));
    }
    return counts;
}

struct Totals
{
    std::uint64_t doubleRuns = 0;
    std::uint64_t coldOverfills = 0;
};

Task<> readTotals(asio::any_io_executor executor, std::vector<Address> targets, Totals &totals)
{
    for (const auto &address : targets) {
        HttpClient client(executor, address);
        const HttpClientResponse reply =
                co_await client.request("GET", "/stats", "", Milliseconds(2000));
        const auto value = parseJson(reply.body, "stats");
        totals.doubleRuns += value.as_object().at("doubleRuns").to_number<std::uint64_t>();
        totals.coldOverfills += value.as_object().at("coldOverfills").to_number<std::uint64_t>();
    }
}

Task<> readMetrics(asio::any_io_executor executor, std::vector<Address> admins, std::string &text)
{
    for (const auto &address : admins) {
        HttpClient client(executor, address);
        try {
            text += (co_await client.request("GET", "/metrics", "", Milliseconds(2000))).body;
        } catch (const HttpError &) {
            // The host has been stopped meanwhile.
        }
    }
}

std::vector<Address> addresses(const std::vector<std::string> &texts)
{
    std::vector<Address> result;
    for (const auto &text : texts)
        result.push_back(parseAddress(text));
    return result;
}

/** @param ranges  "first port:count" on 127.0.0.1 */
std::vector<Address> portRanges(const std::vector<std::string> &ranges)
{
    std::vector<Address> result;
    for (const auto &range : ranges) {
        const std::size_t colon = range.find(':');
        const int first = std::stoi(range.substr(0, colon));
        const int count = std::stoi(range.substr(colon + 1));
        for (int i = 0; i < count; ++i)
            result.push_back({"127.0.0.1", static_cast<std::uint16_t>(first + i)});
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Load generator for entry hosts");
    std::vector<std::string> hosts;
    std::vector<std::string> admins;
    std::vector<std::string> targetRanges;
    std::vector<std::string> services;
    int seconds = 10;
    bool direct = false;
    std::uint64_t seed = 1;
    app.add_option("--host", hosts, "Entry hosts, IP number and port")->required();
    app.add_option("--admin", admins, "Their admin ports, for the retry counters");
    app.add_option("--targets", targetRanges, "Stand-in targets, first port:count");
    app.add_option("--service", services,
                   "tenant/service,rate=N[,method=M][,path=P][,keyed][,body=N]")
            ->required();
    app.add_option("--seconds", seconds, "Length of the run");
    app.add_option("--seed", seed, "Seed of arrivals and hosts");
    app.add_flag("--direct", direct, "The hosts are targets themselves");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context context(1);
    Load load(context.get_executor(), addresses(hosts), direct, seed);
    std::list<std::pair<LoadSpec, Result>> results;
    for (const auto &text : services) {
        results.emplace_back(parseSpec(text), Result{});
        startTask(context.get_executor(), "load",
                  load.run(results.back().first, Seconds(seconds), results.back().second));
    }
    context.run();

    Totals totals;
    std::string metrics;
    context.restart();
    startTask(context.get_executor(), "totals",
              readTotals(context.get_executor(), portRanges(targetRanges), totals));
    startTask(context.get_executor(), "metrics",
              readMetrics(context.get_executor(), addresses(admins), metrics));
    context.run();

    std::cout << std::left << std::setw(30) << "service" << std::right << std::setw(8) << "calls"
              << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms"
              << "\n";
    Result all;
    for (const auto &[spec, result] : results) {
        printRow(spec.service + " " + spec.method, result,
                 joined(retriesOf(spec.service, metrics)));
        all.answered += result.answered;
        all.refused += result.refused;
        all.failed += result.failed;
        all.wrong += result.wrong;
        all.truncated += result.truncated;
        all.resent += result.resent;
        all.millis.insert(all.millis.end(), result.millis.begin(), result.millis.end());
    }
    json::object line;
    line["answered"] = all.answered;
    line["refused"] = all.refused;
    line["failed"] = all.failed;
    line["wrongAnswers"] = all.wrong;
    line["doubleRuns"] = totals.doubleRuns;
    line["truncated"] = all.truncated;
    line["coldOverfills"] = totals.coldOverfills;
    line["resent"] = all.resent;
    line["p50Ms"] = quantile(all.millis, 0.5);
    line["p99Ms"] = quantile(all.millis, 0.99);
    std::cout << json::serialize(line) << std::endl;
    const bool good = all.failed == 0 && all.wrong == 0 && totals.doubleRuns == 0 &&
                      all.truncated == 0 && all.answered > 0;
    return good ? 0 : 1;
}
