// A stand-in for several targets in one process, one port each. Each has slots, a cold start, load
// reports, shedding and draining, and counts the runs of each request key so that a doubled run is
// seen. GET /stats tells the counts of the port; POST /control {"cold":true,"drain":true,"slow":F,
// "failing":true,"misleading":true,"breakOff":true} changes it. A body that contains "CRASH" closes
// all connections of the target and starts a new incarnation.

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
    int queue = 2;
    int coldSlots = 1;
    int coldAnswers = 20;
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
};

/** Runs of each key over all targets of this process. */
std::map<std::string, int> runsByKey;

class Target
{
public:
    Target(asio::any_io_executor executor, const Address &address, Options options,
           std::uint64_t seed)
        : m_executor(executor)
        , m_acceptor(executor, tcpEndpoint(address), true)
        , m_options(options)
        , m_random(seed)
        , m_incarnation(1 + seed)
        , m_coldLeft(options.coldAnswers)
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
            // The host closed the connection, or this target crashed.
        }
        m_streams.erase(position);
    }

    Task<bool> serveOne(Stream &stream, beast::flat_buffer &buffer)
    {
        http::request_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        stream.expires_never();
        co_await http::async_read_header(stream, buffer, parser, asio::use_awaitable);
        std::string start;
        std::uint64_t bytes = 0;
        std::vector<char> piece(64 * 1024);
        while (!parser.is_done()) {
            parser.get().body().data = piece.data();
            parser.get().body().size = piece.size();
            boost::system::error_code error;
            co_await http::async_read_some(stream, buffer, parser,
                                           asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::need_buffer)
                throw boost::system::system_error(error);
            const std::size_t count = piece.size() - parser.get().body().size;
            bytes += count;
            if (start.size() < 4096)
                start.append(piece.data(), std::min<std::size_t>(count, 4096));
        }
        http::response<http::string_body> response;
        response.version(11);
        response.keep_alive(parser.get().keep_alive());
        const auto &request = parser.get();
        const std::string path(request.target());
        if (path == "/stats")
            stats(response);
        else if (path == "/control")
            control(start, response);
        else if (path == "/health")
            health(response);
        else if (start.find("CRASH") != std::string::npos)
            co_return crash();
        else if (m_breakOff)
            co_return co_await breakOff(stream);
        else
            co_await work(request, start, bytes, response);
        response.prepare_payload();
        co_await http::async_write(stream, response, asio::use_awaitable);
        co_return response.keep_alive();
    }

    /** Sends the beginning of an answer and closes. */
    Task<bool> breakOff(Stream &stream)
    {
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nbeginning";
        co_await asio::async_write(stream, asio::buffer(text), asio::use_awaitable);
        stream.close();
        co_return false;
    }

    bool crash()
    {
        ++m_incarnation;
        m_coldLeft = m_options.coldAnswers;
        for (auto *stream : m_streams)
            stream->socket().close();
        return false;
    }

    Task<> work(const http::request<http::buffer_body> &request, const std::string &start,
                std::uint64_t bytes, http::response<http::string_body> &response)
    {
        const int most = m_options.slots + m_options.queue;
        const bool cold = m_coldLeft > 0;
        if (m_draining || m_inFlight >= most) {
            ++m_totals.shed;
            describe(response);
            response.result(http::status::service_unavailable);
            response.set("Request-Not-Run", "true");
            if (m_draining)
                response.set("Target-State", "draining");
            co_return;
        }
        if (cold && m_inFlight >= m_options.coldSlots)
            ++m_totals.coldOverfills;
        ++m_inFlight;
        struct Leave
        {
            int &count;
            ~Leave() { --count; }
        } leave{m_inFlight};
        m_totals.mostInFlight = std::max(m_totals.mostInFlight, m_inFlight);
        ++m_totals.runs;
        const std::string key(request["Idempotency-Key"]);
        if (!key.empty() && ++runsByKey[key] > 1)
            ++m_totals.doubleRuns;
        const double factor = cold ? 3.0 : 1.0;
        const double waits = m_inFlight > m_options.slots ? 2.0 : 1.0;
        const double drawn = -std::log(1.0 - drawUnitInterval(m_random));
        const auto time = Microseconds(static_cast<std::int64_t>(
                1000.0 * static_cast<double>(m_options.serviceTime.count()) * factor * waits *
                m_slow * drawn));
        if (!m_failing)
            co_await sleepFor(time);
        if (m_coldLeft > 0)
            --m_coldLeft;
        describe(response);
        response.result(m_failing ? http::status::internal_server_error : http::status::ok);
        response.set("Content-Type", "application/json");
        json::object body;
        body["echo"] = std::string(request["Request-Echo"]);
        body["path"] = std::string(request.target());
        body["bytes"] = bytes;
        body["start"] = start.substr(0, 64);
        response.body() = json::serialize(body);
    }

    void describe(http::response<http::string_body> &response)
    {
        const int shown = m_misleading ? 0 : m_inFlight;
        response.set("Target-Incarnation", std::to_string(m_incarnation));
        response.set("endpoint-load-metrics",
                     "TEXT named_metrics.in_flight=" + std::to_string(shown));
    }

    void health(http::response<http::string_body> &response)
    {
        ++m_totals.probes;
        describe(response);
        if (m_draining)
            response.set("Target-State", "draining");
        response.result(http::status::ok);
    }

    void control(const std::string &body, http::response<http::string_body> &response)
    {
        const auto value = parseJson(body, "control");
        const JsonNode order(value, "control");
        if (order.booleanOr("cold", false)) {
            ++m_incarnation;
            m_coldLeft = m_options.coldAnswers;
        }
        m_draining = order.booleanOr("drain", m_draining);
        m_failing = order.booleanOr("failing", m_failing);
        m_breakOff = order.booleanOr("breakOff", m_breakOff);
        m_misleading = order.booleanOr("misleading", m_misleading);
        m_slow = order.fractionOr("slow", {0.01, 1000.0}, m_slow);
        response.result(http::status::ok);
    }

    void stats(http::response<http::string_body> &response)
    {
        json::object body;
        body["runs"] = m_totals.runs;
        body["shed"] = m_totals.shed;
        body["doubleRuns"] = m_totals.doubleRuns;
        body["coldOverfills"] = m_totals.coldOverfills;
        body["probes"] = m_totals.probes;
        body["mostInFlight"] = m_totals.mostInFlight;
        response.result(http::status::ok);
        response.body() = json::serialize(body);
    }

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    Options m_options;
    Random m_random;
    std::uint64_t m_incarnation;
    int m_coldLeft;
    int m_inFlight = 0;
    bool m_draining = false;
    bool m_failing = false;
    bool m_breakOff = false;
    bool m_misleading = false;
    double m_slow = 1.0;
    Totals m_totals;
    std::list<Stream *> m_streams;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for targets");
    int firstPort = 0;
    int count = 1;
    Options options;
    int serviceTimeMs = 5;
    std::uint64_t seed = 1;
    app.add_option("--port", firstPort, "Port of the first target on 127.0.0.1")->required();
    app.add_option("--count", count, "Targets, on ports in a row");
    app.add_option("--slots", options.slots, "Requests run at the same time");
    app.add_option("--queue", options.queue, "Requests held beyond the slots");
    app.add_option("--cold-slots", options.coldSlots, "Requests borne in cold start");
    app.add_option("--cold-answers", options.coldAnswers, "Answers until the target is warm");
    app.add_option("--service-ms", serviceTimeMs, "Mean service time, exponential");
    app.add_option("--seed", seed, "Seed of the service times");
    CLI11_PARSE(app, argc, argv);
    options.serviceTime = Milliseconds(serviceTimeMs);
    boost::asio::io_context context(1);
    std::list<Target> targets;
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
