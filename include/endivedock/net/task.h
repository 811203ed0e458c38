#pragma once

#include "endivedock/core.h"
#include "endivedock/telemetry.h"

#include <exception>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endivedock {

namespace asio = boost::asio;

/** A coroutine of an I/O task. */
template <typename T = void>
using Task = asio::awaitable<T>;

/**
 * Starts a task that runs on its own. An error that escapes is logged; a broken invariant stops the
 * process.
 *
 * @param name  of the task, for the log; static lifetime
 */
template <typename Executor>
void startTask(const Executor &executor, std::string_view name, Task<> task)
{
    asio::co_spawn(executor, std::move(task), [name](std::exception_ptr failure) {
        if (!failure)
            return;
        try {
            std::rethrow_exception(failure);
        } catch (const InvariantError &error) {
            Log("task").error("Stopping on a broken invariant",
                              {field("task", name), field("error", error.what())});
            std::terminate();
        } catch (const std::exception &error) {
            Log("task").warning("Task ended with an error",
                                {field("task", name), field("error", error.what())});
        }
    });
}

/** Waits without holding a thread. */
inline Task<> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

inline asio::ip::tcp::endpoint tcpEndpoint(const Address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

/**
 * Lets the system end a connection whose other side has vanished without a word, within seconds.
 * Options that the system does not know are left out; a timeout of the caller's then shows it.
 */
void enableDeadPeerDetection(asio::ip::tcp::socket &socket);

inline asio::ip::udp::endpoint udpEndpoint(const Address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace endivedock
