#include "endivedock/net/http_client.h"

#include "endivedock/net/response_reader.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace endivedock {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint64_t maxBodyBytes = 64ull << 20;
constexpr std::size_t streamPieceBytes = 4096;
constexpr unsigned okStatus = 200;

http::request<http::string_body> makeRequest(const Address &server, const std::string &method,
                                             const std::string &path, std::string body)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(path);
    request.set(http::field::host, formatAddress(server));
    if (!body.empty())
        request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

} // namespace

class HttpClient::Connection
{
public:
    explicit Connection(const asio::any_io_executor &executor)
        : m_stream(executor)
        , m_reader(m_stream)
    {
    }

    Task<> connect(const Address &server)
    {
        co_await m_stream.async_connect(tcpEndpoint(server), asio::use_awaitable);
        m_stream.socket().set_option(asio::ip::tcp::no_delay(true));
        enableDeadPeerDetection(m_stream.socket());
    }

    /** Sends @p request and reads the head of the response. */
    Task<> begin(http::request<http::string_body> &request)
    {
        // If the write fails, the response is not read.
        co_await http::async_write(m_stream, request, asio::use_awaitable);
        co_await m_reader.readHead(request.method() == http::verb::head);
    }

    Task<HttpClientResponse> exchange(http::request<http::string_body> &request)
    {
        co_await begin(request);
        HttpClientResponse result;
        result.status = status();
        for (const auto &field : m_reader.head())
            result.fields.emplace_back(field.name_string(), field.value());
        result.body = co_await m_reader.readWholeBody(maxBodyBytes);
        co_return result;
    }

    unsigned status() const { return m_reader.head().result_int(); }
    ResponseReader &reader() { return m_reader; }

private:
    beast::tcp_stream m_stream;
    ResponseReader m_reader;
};

HttpClient::HttpClient(asio::any_io_executor executor, Address server)
    : m_executor(std::move(executor))
    , m_server(std::move(server))
{
}

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient &&) noexcept = default;

Task<HttpClientResponse> HttpClient::request(std::string method, std::string path, std::string body,
                                             Milliseconds timeout, HttpClientFields fields)
{
    // m_connection is empty while the connection is in use, so a failed connection is not reused.
    std::unique_ptr<Connection> connection = std::move(m_connection);
    try {
        auto request = makeRequest(m_server, method, path, std::move(body));
        for (const auto &[name, value] : fields)
            request.set(name, value);
        if (connection && connection->reader().isStale())
            connection.reset();
        const bool isNew = !connection;
        if (isNew)
            connection = std::make_unique<Connection>(m_executor);
        connection->reader().setDeadline(SteadyClock().now() + timeout);
        if (isNew)
            co_await connection->connect(m_server);
        HttpClientResponse response = co_await connection->exchange(request);
        if (connection->reader().mayReadNext())
            m_connection = std::move(connection);
        co_return response;
    } catch (const boost::system::system_error &error) {
        throw HttpError(formatAddress(m_server) + ": " + error.code().message());
    }
}

Task<> HttpClient::streamLines(std::string path, std::string body, Milliseconds timeout,
                               std::function<bool(std::string_view)> onLine)
{
    try {
        Connection connection(m_executor);
        connection.reader().setDeadline(SteadyClock().now() + timeout);
        co_await connection.connect(m_server);
        auto request = makeRequest(m_server, "POST", path, std::move(body));
        co_await connection.begin(request);
        if (connection.status() != okStatus)
            throw HttpError(formatAddress(m_server) +
                            ": the server answered a stream with status " +
                            std::to_string(connection.status()));
        std::string text;
        std::array<char, streamPieceBytes> piece{};
        while (true) {
            const std::size_t count = co_await connection.reader().readBody(piece);
            if (count == 0)
                throw HttpError(formatAddress(m_server) + ": the server ended the stream");
            text.append(piece.data(), count);
            std::size_t consumed = 0;
            for (std::size_t end = text.find('\n'); end != std::string::npos;
                 end = text.find('\n', consumed)) {
                const std::string_view line(text.data() + consumed, end - consumed);
                consumed = end + 1;
                if (!line.empty() && !onLine(line))
                    co_return;
            }
            text.erase(0, consumed);
            if (text.size() > maxBodyBytes)
                throw HttpError(formatAddress(m_server) + ": a line of the stream is too long");
        }
    } catch (const boost::system::system_error &error) {
        throw HttpError(formatAddress(m_server) + ": " + error.code().message());
    }
}

} // namespace endivedock
