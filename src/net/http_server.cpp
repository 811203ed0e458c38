#include "endivedock/net/http_server.h"

#include "endivedock/net/http_client.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace endivedock {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint64_t maxBodyBytes = 16ull << 20;
constexpr Seconds idleTimeout{60};

asio::ip::tcp::acceptor listen(const asio::any_io_executor &executor, const Address &address)
{
    try {
        return asio::ip::tcp::acceptor(executor, tcpEndpoint(address), true);
    } catch (const boost::system::system_error &error) {
        throw HttpError("cannot listen on " + formatAddress(address) + ": " +
                        error.code().message());
    }
}

} // namespace

HttpServer::HttpServer(asio::any_io_executor executor, const Address &address, Handler handler)
    : m_acceptor(listen(executor, address))
    , m_handler(std::move(handler))
{
    startTask(executor, "http-accept", accept());
}

Address HttpServer::localAddress() const
{
    const auto endpoint = m_acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

void HttpServer::stop()
{
    m_acceptor.close();
}

Task<> HttpServer::accept()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket =
                co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            co_await sleepFor(failedAcceptDelay);
        else
            startTask(m_acceptor.get_executor(), "http-connection", serve(std::move(socket)));
    }
}

Task<> HttpServer::serve(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    stream.socket().set_option(asio::ip::tcp::no_delay(true));
    try {
        while (true) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxBodyBytes);
            stream.expires_after(idleTimeout);
            co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
            auto request = parser.release();
            stream.expires_never();
            // A named variable, because g++ 12 destroys a braced argument of an awaited call twice.
            HttpServerRequest call;
            call.method = std::string(request.method_string());
            call.path = std::string(request.target());
            call.body = std::move(request.body());
            HttpServerResponse result = co_await m_handler(std::move(call));
            http::response<http::string_body> response;
            response.version(11);
            response.result(result.status);
            response.set(http::field::content_type, result.contentType);
            response.keep_alive(request.keep_alive());
            response.body() = std::move(result.body);
            response.prepare_payload();
            stream.expires_after(idleTimeout);
            co_await http::async_write(stream, response, asio::use_awaitable);
            if (!response.keep_alive())
                break;
        }
    } catch (const boost::system::system_error &) {
        // The client disconnected or sent invalid HTTP, so no response can be sent.
    }
}

} // namespace endivedock
