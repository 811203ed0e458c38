#pragma once

#include "endivedock/net/task.h"

#include <memory>

namespace endivedock {

/**
 * Closes a socket at a deadline, unless this object is destroyed before. The socket must outlive
 * it.
 */
class SocketDeadline
{
public:
    SocketDeadline(asio::ip::tcp::socket &socket, Duration timeout)
        : m_state(std::make_shared<State>(asio::steady_timer(socket.get_executor()), &socket,
                                          SteadyClock().now() + timeout))
    {
        wait(m_state);
    }
    ~SocketDeadline()
    {
        m_state->socket = nullptr;
        m_state->timer.cancel();
    }

    SocketDeadline(const SocketDeadline &) = delete;
    SocketDeadline &operator=(const SocketDeadline &) = delete;

    /** @param deadline  not before the present deadline */
    void postponeTo(TimePoint deadline) { m_state->deadline = deadline; }

private:
    struct State
    {
        asio::steady_timer timer;
        /** Null once the SocketDeadline is destroyed. */
        asio::ip::tcp::socket *socket = nullptr;
        TimePoint deadline;
    };

    static void wait(const std::shared_ptr<State> &state)
    {
        state->timer.expires_at(state->deadline);
        state->timer.async_wait([state](const boost::system::error_code &error) {
            if (error || state->socket == nullptr)
                return;
            if (SteadyClock().now() < state->deadline) {
                wait(state);
                return;
            }
            boost::system::error_code ignored;
            state->socket->close(ignored);
        });
    }

    /** Shared with the handler of the timer, which may run after the destruction. */
    std::shared_ptr<State> m_state;
};

} // namespace endivedock
