// A stand-in for several targets in one process, with one port for each target. Each target has
// slots, a cold start, load reports, shedding and draining. The process counts the runs of each
// idempotency key, so that a second run is detected. GET /stats returns the counters of the target
// at the port. POST /control
// {"cold":true,"drain":true,"leave":true,"slow":F,"failing":true,"misleading":true,"breakOff":true}
// changes the behaviour of the target: with "drain" it refuses requests, with "leave" it runs them
// and states in its responses that it is draining. A request with "CRASH" in its body closes all
// connections of the target and starts a new incarnation. With {"pauseSeconds":N} it refuses
// requests and wants none for N seconds.

#include "endivedock/json.h"
#include "endivedock/net.h"

#include <algorithm>
#include <iostream>
#include <list>
#include <map>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace {

using namespace endivedock;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

struct Options
{
    int slots = 4;
    int queueLimit = 2;
    int coldSlotLimit = 1;
    int responsesUntilWarm = 20;
    Milliseconds serviceTime{5};
};

struct Totals
{
    std::uint64_t runs = 0;
    std::uint64_t shed = 0;
    std::uint64_t doubleRuns = 0;
    std::uint64_t coldOverfills = 0;
    std::uint64_t probes = 0;
    std::uint64_t cancelled = 0;
    int mostInFlight = 0;
    std::uint64_t pauses = 0;
    /** See TargetStandIn::recordArrival(). */
    int mostInPause = 0;
};

/** Number of runs of each idempotency key, summed over all targets of this process. */
std::map<std::string, int> runCountByKey;

class TargetStandIn
{
public:
    TargetStandIn(asio::any_io_executor executor, const Address &address, Options options,
                  std::uint64_t seed)
        : m_executor(executor)
        , m_acceptor(executor, tcpEndpoint(address), true)
        , m_options(options)
        , m_random(seed)
        , m_incarnation(1 + seed)
        , m_responsesUntilWarm(options.responsesUntilWarm)
    {
        startTask(m_executor, "target-accept", accept());
    }

private:
    using Stream = beast::tcp_stream;

    Task<> accept()
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            startTask(m_executor, "target-connection", serve(std::move(socket)));
        }
    }

    Task<> serve(asio::ip::tcp::socket socket)
    {
        Stream stream(std::move(socket));
        stream.socket().set_option(asio::ip::tcp::no_delay(true));
        const auto position = m_streams.insert(m_streams.end(), &stream);
        beast::flat_buffer buffer;
        try {
            while (co_await serveOne(stream, buffer)) {
            }
        } catch (const boost::system::system_error &) {
            // The entry host closed the connection, or crash() did.
        }
        m_streams.erase(position);
    }

    Task<bool> serveOne(Stream &stream, beast::flat_buffer &buffer)
    {
        http::request_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        stream.expires_never();
        co_await http::async_read_header(stream, buffer, parser, asio::use_awaitable);
        std::string bodyStart;
        std::uint64_t bytes = 0;
        std::vector<char> chunk(64 * 1024);
        while (!parser.is_done()) {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            boost::system::error_code error;
            co_await http::async_read_some(stream, buffer, parser,
                                           asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::need_buffer)
                throw boost::system::system_error(error);
            const std::size_t count = chunk.size() - parser.get().body().size;
            bytes += count;
            if (bodyStart.size() < 4096)
                bodyStart.append(chunk.data(), std::min<std::size_t>(count, 4096));
        }
        http::response<http::string_body> response;
        response.version(11);
        response.keep_alive(parser.get().keep_alive());
        const auto &request = parser.get();
        const std::string path(request.target());
        if (path == "/stats")
            reportStats(response);
        else if (path == "/control")
            applyControl(bodyStart, response);
        else if (path == "/health")
            answerHealthCheck(response);
        else if (bodyStart.find("CRASH") != std::string::npos)
            co_return crash();
        else if (m_truncatesResponses)
            co_return co_await truncateResponse(stream);
        else
            co_await runRequest(request, bodyStart, bytes, response);
        response.prepare_payload();
        co_await http::async_write(stream, response, asio::use_awaitable);
        co_return response.keep_alive();
    }

    /** Sends the beginning of an answer and closes the connection. */
    Task<bool> truncateResponse(Stream &stream)
    {
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nbeginning";
        co_await asio::async_write(stream, asio::buffer(text), asio::use_awaitable);
        stream.close();
        co_return false;
    }

    bool crash()
    {
        ++m_incarnation;
        m_responsesUntilWarm = m_options.responsesUntilWarm;
        for (auto *stream : m_streams)
            stream->socket().close();
        return false;
    }

    Task<> runRequest(const http::request<http::buffer_body> &request, const std::string &bodyStart,
                      std::uint64_t bytes, http::response<http::string_body> &response)
    {
        recordArrival();
        if (m_pause.count() > 0) {
            startPause(response);
            co_return;
        }
        const int maxInFlight = m_options.slots + m_options.queueLimit;
        const bool isCold = m_responsesUntilWarm > 0;
        if (m_isDraining || m_inFlight >= maxInFlight) {
            ++m_totals.shed;
            addLoadReport(response);
            response.result(http::status::service_unavailable);
            response.set("Request-Not-Run", "true");
            if (m_isDraining)
                response.set("Target-State", "draining");
            co_return;
        }
        if (isCold && m_inFlight >= m_options.coldSlotLimit)
            ++m_totals.coldOverfills;
        ++m_inFlight;
        struct DecrementOnExit
        {
            int &count;
            ~DecrementOnExit() { --count; }
        } decrementOnExit{m_inFlight};
        m_totals.mostInFlight = std::max(m_totals.mostInFlight, m_inFlight);
        ++m_totals.runs;
        const std::string key(request["Idempotency-Key"]);
        if (!key.empty() && ++runCountByKey[key] > 1)
            ++m_totals.doubleRuns;
        const double coldFactor = isCold ? 3.0 : 1.0;
        const double queueingFactor = m_inFlight > m_options.slots ? 2.0 : 1.0;
        const double exponentialFactor = -std::log(1.0 - drawUnitInterval(m_random));
        const auto time = Microseconds(static_cast<std::int64_t>(
                1000.0 * static_cast<double>(m_options.serviceTime.count()) * coldFactor *
                queueingFactor * m_slowdownFactor * exponentialFactor));
        if (!m_isFailing)
            co_await sleepFor(time);
        if (m_responsesUntilWarm > 0)
            --m_responsesUntilWarm;
        addLoadReport(response);
        if (m_isLeaving)
            response.set("Target-State", "draining");
        response.result(m_isFailing ? http::status::internal_server_error : http::status::ok);
        response.set("Content-Type", "application/json");
        json::object body;
        body["echo"] = std::string(request["Request-Echo"]);
        body["path"] = std::string(request.target());
        body["bytes"] = bytes;
        body["start"] = bodyStart.substr(0, 64);
        response.body() = json::serialize(body);
    }

    /** Counts the requests of one pause, except those that may have been on their way. */
    void recordArrival()
    {
        const TimePoint now = SteadyClock().now();
        if (now >= m_pauseUntil)
            m_inPause = 0;
        else if (now - m_pauseSince > Milliseconds(500))
            m_totals.mostInPause = std::max(m_totals.mostInPause, ++m_inPause);
    }

    void startPause(http::response<http::string_body> &response)
    {
        const TimePoint now = SteadyClock().now();
        if (now >= m_pauseUntil) {
            m_pauseSince = now;
            ++m_totals.pauses;
        }
        m_pauseUntil = now + m_pause;
        addLoadReport(response);
        response.result(http::status::service_unavailable);
        response.set("Request-Not-Run", "true");
        response.set("Retry-After", std::to_string(m_pause.count()));
    }

    void addLoadReport(http::response<http::string_body> &response)
    {
        const int reportedInFlight = m_isMisleading ? 0 : m_inFlight;
        response.set("Target-Incarnation", std::to_string(m_incarnation));
        response.set("endpoint-load-metrics",
                     "TEXT named_metrics.in_flight=" + std::to_string(reportedInFlight));
    }

    void answerHealthCheck(http::response<http::string_body> &response)
    {
        ++m_totals.probes;
        addLoadReport(response);
        if (m_isDraining)
            response.set("Target-State", "draining");
        response.result(http::status::ok);
    }

    void applyControl(const std::string &body, http::response<http::string_body> &response)
    {
        const auto value = parseJson(body, "control");
        const JsonNode command(value, "control");
        if (command.booleanOr("cold", false)) {
            ++m_incarnation;
            m_responsesUntilWarm = m_options.responsesUntilWarm;
        }
        m_isDraining = command.booleanOr("drain", m_isDraining);
        m_isLeaving = command.booleanOr("leave", m_isLeaving);
        m_isFailing = command.booleanOr("failing", m_isFailing);
        m_truncatesResponses = command.booleanOr("breakOff", m_truncatesResponses);
        m_isMisleading = command.booleanOr("misleading", m_isMisleading);
        m_pause = Seconds(command.integerOr("pauseSeconds", {0, 3600}, m_pause.count()));
        m_slowdownFactor = command.fractionOr("slow", {0.01, 1000.0}, m_slowdownFactor);
        response.result(http::status::ok);
    }

    void reportStats(http::response<http::string_body> &response)
    {
        json::object body;
        body["runs"] = m_totals.runs;
        body["shed"] = m_totals.shed;
        body["doubleRuns"] = m_totals.doubleRuns;
        body["coldOverfills"] = m_totals.coldOverfills;
        body["probes"] = m_totals.probes;
        body["mostInFlight"] = m_totals.mostInFlight;
        body["pauses"] = m_totals.pauses;
        body["mostInPause"] = m_totals.mostInPause;
        response.result(http::status::ok);
        response.body() = json::serialize(body);
    }

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    Options m_options;
    Random m_random;
    std::uint64_t m_incarnation;
    int m_responsesUntilWarm;
    int m_inFlight = 0;
    bool m_isDraining = false;
    bool m_isLeaving = false;
    bool m_isFailing = false;
    bool m_truncatesResponses = false;
    bool m_isMisleading = false;
    /** If positive, the target refuses requests and wants none for this time. */
    Seconds m_pause{0};
    TimePoint m_pauseSince{};
    TimePoint m_pauseUntil{};
    int m_inPause = 0;
    double m_slowdownFactor = 1.0;
    Totals m_totals;
    std::list<Stream *> m_streams;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for several targets");
    int firstPort = 0;
    int count = 1;
    Options options;
    int serviceTimeMs = 5;
    std::uint64_t seed = 1;
    app.add_option("--port", firstPort, "Port of the first target on 127.0.0.1")->required();
    app.add_option("--count", count, "Number of targets, on consecutive ports");
    app.add_option("--slots", options.slots, "Requests that a target runs at the same time");
    app.add_option("--queue", options.queueLimit, "Requests that a target queues beyond its slots");
    app.add_option("--cold-slots", options.coldSlotLimit,
                   "Concurrent requests of a cold target; each further one counts as an overfill");
    app.add_option("--cold-answers", options.responsesUntilWarm,
                   "Answers after which a cold target is warm");
    app.add_option("--service-ms", serviceTimeMs,
                   "Mean of the exponentially distributed service time in milliseconds");
    app.add_option("--seed", seed, "Seed of the service times");
    CLI11_PARSE(app, argc, argv);
    options.serviceTime = Milliseconds(serviceTimeMs);
    boost::asio::io_context context(1);
    std::list<TargetStandIn> targets;
    for (int i = 0; i < count; ++i) {
        const Address address{"127.0.0.1", static_cast<std::uint16_t>(firstPort + i)};
        targets.emplace_back(context.get_executor(), address, options,
                             seed + static_cast<std::uint64_t>(i) * 1000);
    }
    std::cout << "ready" << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
}
