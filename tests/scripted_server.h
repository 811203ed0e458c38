#pragma once

#include "net_support.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace endivedock::testing {

/** What a server does after it has sent its response. */
enum class ConnectionEnd {
    KeepOpen,
    /** Closes its sending side, and reads on. */
    CloseSending,
    /** Closes its sending side, then resets the connection because it does not read on. */
    CloseSendingAndReset,
    Reset,
};

struct ScriptedResponse
{
    /** Sent one after the other, with a pause in between. */
    std::vector<std::string> pieces;
    ConnectionEnd end = ConnectionEnd::KeepOpen;
};

/**
 * A server that sends one response after the other, each as soon as it has read the head of a
 * request, and then the last one again and again.
 */
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &context, std::vector<ScriptedResponse> responses)
        : m_responses(std::move(responses))
        , m_acceptor(context)
    {
        const auto endpoint = tcpEndpoint(anyLoopbackAddress);
        m_acceptor.open(endpoint.protocol());
        // A long body that is not read then blocks its sender.
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        startTask(context.get_executor(), "server", accept());
    }

    Address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    int requestCount() const { return m_requestCount; }

private:
    /** Time in which what was sent arrives, and the peer's writes block. */
    static constexpr Milliseconds pause{20};

    Task<> accept()
    {
        while (true)
            startTask(m_acceptor.get_executor(), "connection",
                      serve(co_await m_acceptor.async_accept(asio::use_awaitable)));
    }

    Task<> serve(asio::ip::tcp::socket socket)
    {
        boost::system::error_code error;
        std::string received;
        ConnectionEnd end = ConnectionEnd::KeepOpen;
        while (!error && end == ConnectionEnd::KeepOpen) {
            co_await readSome(socket, received, error);
            if (received.find("\r\n\r\n") == std::string::npos)
                continue;
            received.clear();
            const ScriptedResponse response = nextResponse();
            for (const auto &piece : response.pieces) {
                co_await asio::async_write(socket, asio::buffer(piece),
                                           asio::redirect_error(asio::use_awaitable, error));
                co_await sleepFor(pause);
            }
            end = response.end;
        }
        if (end != ConnectionEnd::KeepOpen)
            co_await endConnection(socket, end);
    }

    ScriptedResponse nextResponse()
    {
        const auto index = static_cast<std::size_t>(m_requestCount++);
        return m_responses[std::min(index, m_responses.size() - 1)];
    }

    static Task<> endConnection(asio::ip::tcp::socket &socket, ConnectionEnd end)
    {
        boost::system::error_code error;
        if (end != ConnectionEnd::Reset)
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        std::string ignored;
        while (end == ConnectionEnd::CloseSending && !error)
            co_await readSome(socket, ignored, error);
        co_await sleepFor(pause);
        // With this option, close() resets the connection. The destructor would not.
        socket.set_option(asio::socket_base::linger(true, 0), error);
        socket.close(error);
    }

    static Task<> readSome(asio::ip::tcp::socket &socket, std::string &received,
                           boost::system::error_code &error)
    {
        std::array<char, 4096> piece{};
        const std::size_t count = co_await socket.async_read_some(
                asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        received.append(piece.data(), count);
    }

    std::vector<ScriptedResponse> m_responses;
    asio::ip::tcp::acceptor m_acceptor;
    int m_requestCount = 0;
};

} // namespace endivedock::testing
