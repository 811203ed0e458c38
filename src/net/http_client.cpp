#include "endivedock/net/http_client.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace endivedock {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint64_t maxBodyBytes = 64ull << 20;

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
    {
    }

    Task<> connect(const Address &server)
    {
        co_await m_stream.async_connect(tcpEndpoint(server), asio::use_awaitable);
        m_stream.socket().set_option(asio::ip::tcp::no_delay(true));
        enableDeadPeerDetection(m_stream.socket());
    }

    Task<HttpClientResponse> exchange(http::request<http::string_body> &request)
    {
        co_await http::async_write(m_stream, request, asio::use_awaitable);
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        co_await http::async_read(m_stream, m_buffer, parser, asio::use_awaitable);
        m_isReusable = parser.get().keep_alive();
        HttpClientResponse result{parser.get().result_int(), std::move(parser.get().body())};
        for (const auto &field : parser.get().base())
            result.fields.emplace_back(field.name_string(), field.value());
        co_return result;
    }

    beast::tcp_stream &stream() { return m_stream; }
    beast::flat_buffer &buffer() { return m_buffer; }
    bool isReusable() const { return m_isReusable; }

private:
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_isReusable = true;
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
        const bool isNew = !connection;
        if (isNew)
            connection = std::make_unique<Connection>(m_executor);
        connection->stream().expires_after(timeout);
        if (isNew)
            co_await connection->connect(m_server);
        HttpClientResponse response = co_await connection->exchange(request);
        if (connection->isReusable())
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
        connection.stream().expires_after(timeout);
        co_await connection.connect(m_server);
        auto request = makeRequest(m_server, "POST", path, std::move(body));
        co_await http::async_write(connection.stream(), request, asio::use_awaitable);
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        co_await http::async_read_header(connection.stream(), connection.buffer(), parser,
                                         asio::use_awaitable);
        std::size_t consumed = 0;
        while (true) {
            const std::string &text = parser.get().body();
            for (std::size_t end = text.find('\n', consumed); end != std::string::npos;
                 end = text.find('\n', consumed)) {
                const std::string_view line(text.data() + consumed, end - consumed);
                consumed = end + 1;
                if (!line.empty() && !onLine(line))
                    co_return;
            }
            if (parser.is_done())
                throw HttpError(formatAddress(m_server) + ": the server ended the stream");
            co_await http::async_read_some(connection.stream(), connection.buffer(), parser,
                                           asio::use_awaitable);
        }
    } catch (const boost::system::system_error &error) {
        throw HttpError(formatAddress(m_server) + ": " + error.code().message());
    }
}

} // namespace endivedock
