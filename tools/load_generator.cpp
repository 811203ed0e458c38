// Sends requests to several services through entry hosts at given rates and checks each answer
// against its request. Prints a table with a row for each service and, as the last line, one JSON
// object. Exits with 0 only if at least one request was answered, no request failed or ran twice,
// and no answer was wrong or truncated.

#include "endivedock/json.h"
#include "endivedock/net.h"
#include "endivedock/net/response_reader.h"

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

constexpr Seconds requestTimeout{30};
constexpr int maxResends = 5;
constexpr Milliseconds resendDelay{200};

/** The requests to one service: their kind, and their mean rate per second. */
struct LoadSpec
{
    std::string service;
    std::string method = "GET";
    std::string path = "/";
    double rate = 10;
    bool hasIdempotencyKey = false;
    std::size_t bodyBytes = 0;
};

/** Latencies and outcome counts of the requests to one service. */
struct Result
{
    std::vector<double> latenciesMs;
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
            spec.hasIdempotencyKey = true;
        else if (name == "body")
            spec.bodyBytes = std::stoul(value);
        else
            throw Error("--service: unknown parameter " + part);
    }
    return spec;
}

struct Connection
{
    explicit Connection(const asio::any_io_executor &executor)
        : stream(executor)
        , reader(stream)
    {
    }
    beast::tcp_stream stream;
    ResponseReader reader;
};

/** Outcome of sending a request once. */
enum class TransmissionOutcome {
    Answered,
    RefusedNotRun,
    RefusedMayHaveRun,
    Failed,
    Wrong,
    Truncated
};

class LoadGenerator
{
public:
    LoadGenerator(asio::any_io_executor executor, std::vector<Address> hosts, bool isDirect,
                  std::uint64_t seed)
        : m_executor(std::move(executor))
        , m_hosts(std::move(hosts))
        , m_isDirect(isDirect)
        , m_random(seed)
    {
    }

    Task<> run(LoadSpec spec, Seconds time, Result &result)
    {
        asio::steady_timer timer(m_executor);
        TimePoint nextArrival = SteadyClock().now();
        const TimePoint end = nextArrival + time;
        while (nextArrival < end) {
            const double secondsToNext = -std::log(1.0 - drawUnitInterval(m_random)) / spec.rate;
            nextArrival += Microseconds(static_cast<std::int64_t>(secondsToNext * 1e6));
            timer.expires_at(nextArrival);
            co_await timer.async_wait(asio::use_awaitable);
            startTask(m_executor, "call", sendUntilFinal(spec, result));
        }
    }

    bool isIdle() const { return m_openRequests == 0; }

private:
    Task<> sendUntilFinal(LoadSpec spec, Result &result)
    {
        ++m_openRequests;
        const std::string number = std::to_string(m_random());
        const TimePoint startedAt = SteadyClock().now();
        TransmissionOutcome outcome = co_await send(spec, number, result);
        for (int i = 0; i < maxResends && outcome == TransmissionOutcome::RefusedNotRun; ++i) {
            ++result.resent;
            co_await sleepFor(resendDelay);
            outcome = co_await send(spec, number, result);
        }
        const std::chrono::duration<double, std::milli> latency = SteadyClock().now() - startedAt;
        switch (outcome) {
        case TransmissionOutcome::Answered:
            ++result.answered;
            result.latenciesMs.push_back(latency.count());
            break;
        case TransmissionOutcome::RefusedNotRun:
        case TransmissionOutcome::RefusedMayHaveRun:
            ++result.refused;
            break;
        case TransmissionOutcome::Failed:
            ++result.failed;
            break;
        case TransmissionOutcome::Wrong:
            ++result.wrong;
            break;
        case TransmissionOutcome::Truncated:
            ++result.truncated;
            break;
        }
        --m_openRequests;
    }

    Task<TransmissionOutcome> send(const LoadSpec &spec, const std::string &number, Result &result)
    {
        const Address &host = m_hosts[drawBelow(m_random, m_hosts.size())];
        http::request<http::string_body> request;
        request.version(11);
        request.method_string(spec.method);
        request.target(m_isDirect ? spec.path : "/" + spec.service + spec.path);
        request.set(http::field::host, formatAddress(host));
        request.set("Request-Echo", number);
        if (spec.hasIdempotencyKey)
            request.set("Idempotency-Key", "load-" + number);
        if (spec.bodyBytes > 0)
            request.body() = number + std::string(spec.bodyBytes, 'x');
        request.prepare_payload();

        bool isHeaderRead = false;
        try {
            std::unique_ptr<Connection> connection = co_await connect(host);
            connection->reader.setDeadline(SteadyClock().now() + requestTimeout);
            co_await http::async_write(connection->stream, request, asio::use_awaitable);
            co_await connection->reader.readHead(spec.method == "HEAD");
            isHeaderRead = true;
            const std::string body = co_await connection->reader.readWholeBody(SIZE_MAX);
            const TransmissionOutcome outcome =
                    checkResponse(connection->reader.head(), body, number, result);
            if (connection->reader.mayReadNext())
                m_idleConnections[host].push_back(std::move(connection));
            co_return outcome;
        } catch (const boost::system::system_error &error) {
            ++result.failures[error.code().message()];
        } catch (const JsonError &error) {
            ++result.failures[error.what()];
            co_return TransmissionOutcome::Wrong;
        }
        co_return isHeaderRead ? TransmissionOutcome::Truncated : TransmissionOutcome::Failed;
    }

    /** @return an idle connection to @p host, or else a new one */
    Task<std::unique_ptr<Connection>> connect(const Address &host)
    {
        auto &idleConnections = m_idleConnections[host];
        while (!idleConnections.empty()) {
            auto connection = std::move(idleConnections.back());
            idleConnections.pop_back();
            if (!connection->reader.isStale())
                co_return connection;
        }
        auto connection = std::make_unique<Connection>(m_executor);
        connection->stream.expires_after(requestTimeout);
        co_await connection->stream.async_connect(tcpEndpoint(host), asio::use_awaitable);
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
        co_return connection;
    }

    static TransmissionOutcome checkResponse(const http::response_header<> &head,
                                             const std::string &text, const std::string &number,
                                             Result &result)
    {
        if (head[http::field::content_type] == "application/problem+json") {
            const auto problem = parseJson(text, "problem");
            const JsonNode node(problem, "problem");
            const std::string run = node.string("run");
            ++result.refusals[node.string("reason") + "/" + run];
            return run == "not-run" ? TransmissionOutcome::RefusedNotRun
                                    : TransmissionOutcome::RefusedMayHaveRun;
        }
        if (head.result_int() != 200) {
            ++result.failures["status " + std::to_string(head.result_int())];
            return TransmissionOutcome::Failed;
        }
        const auto body = parseJson(text, "answer");
        return JsonNode(body, "answer").stringOr("echo", "") == number
                       ? TransmissionOutcome::Answered
                       : TransmissionOutcome::Wrong;
    }

    asio::any_io_executor m_executor;
    std::vector<Address> m_hosts;
    bool m_isDirect;
    Random m_random;
    std::map<Address, std::vector<std::unique_ptr<Connection>>> m_idleConnections;
    int m_openRequests = 0;
};

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto position =
            static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

std::string formatCounts(const std::map<std::string, std::uint64_t> &counts)
{
    std::string text;
    for (const auto &[name, count] : counts)
        text += (text.empty() ? "" : " ") + name + "=" + std::to_string(count);
    return text.empty() ? "-" : text;
}

void printRow(const std::string &name, const Result &result, const std::string &retries)
{
    std::cout << std::left << std::setw(30) << name << std::right << std::setw(8) << result.answered
              << std::fixed << std::setprecision(2) << std::setw(10)
              << quantile(result.latenciesMs, 0.5) << std::setw(10)
              << quantile(result.latenciesMs, 0.99) << "  refusals "
              << formatCounts(result.refusals) << "  retries " << retries << "  failures "
              << formatCounts(result.failures) << "\n";
}

/** @return "endivedock_retries_total" of one service by reason, summed over all hosts */
std::map<std::string, std::uint64_t> retryCountsOf(const std::string &service,
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

/** Sums over all targets: repeated runs of an idempotency key, and requests beyond cold limits. */
struct TargetTotals
{
    std::uint64_t doubleRuns = 0;
    std::uint64_t coldOverfills = 0;
};

Task<> readTotals(asio::any_io_executor executor, std::vector<Address> targets,
                  TargetTotals &totals)
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
            // A test may have stopped the host during the run.
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

/** @return an address on 127.0.0.1 for each port. @param ranges  each "first port:count" */
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
    CLI::App app("Sends load through entry hosts and checks the answers");
    std::vector<std::string> hosts;
    std::vector<std::string> admins;
    std::vector<std::string> targetRanges;
    std::vector<std::string> services;
    int seconds = 10;
    bool isDirect = false;
    std::uint64_t seed = 1;
    app.add_option("--host", hosts, "Addresses of entry hosts, each an IP address with a port")
            ->required();
    app.add_option("--admin", admins, "Admin addresses of the entry hosts, for the retry counters");
    app.add_option("--targets", targetRanges, "Ports of the stand-in targets as first port:count");
    app.add_option("--service", services,
                   "tenant/service,rate=N[,method=M][,path=P][,keyed][,body=N]")
            ->required();
    app.add_option("--seconds", seconds, "Duration of the run");
    app.add_option("--seed", seed, "Seed of the arrival times and of the choice of hosts");
    app.add_flag("--direct", isDirect, "Send straight to targets instead of entry hosts");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context context(1);
    LoadGenerator load(context.get_executor(), addresses(hosts), isDirect, seed);
    std::list<std::pair<LoadSpec, Result>> results;
    for (const auto &text : services) {
        results.emplace_back(parseSpec(text), Result{});
        startTask(context.get_executor(), "load",
                  load.run(results.back().first, Seconds(seconds), results.back().second));
    }
    context.run();

    TargetTotals totals;
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
                 formatCounts(retryCountsOf(spec.service, metrics)));
        all.answered += result.answered;
        all.refused += result.refused;
        all.failed += result.failed;
        all.wrong += result.wrong;
        all.truncated += result.truncated;
        all.resent += result.resent;
        all.latenciesMs.insert(all.latenciesMs.end(), result.latenciesMs.begin(),
                               result.latenciesMs.end());
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
    line["p50Ms"] = quantile(all.latenciesMs, 0.5);
    line["p99Ms"] = quantile(all.latenciesMs, 0.99);
    std::cout << json::serialize(line) << std::endl;
    const bool isSuccess = all.failed == 0 && all.wrong == 0 && totals.doubleRuns == 0 &&
                           all.truncated == 0 && all.answered > 0;
    return isSuccess ? 0 : 1;
}
