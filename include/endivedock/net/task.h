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

/** A coroutine that does I/O. */
template <typename T = void>
using Task = asio::awaitable<T>;

/**
 * Starts a detached task. An exception that escapes from the task is logged; an InvariantError
 * stops the process.
 *
 * @param name  name of the task in the log; static lifetime
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
            Log("task").error("Invariant violated, stopping the process",
                              {field("task", name), field("error", error.what())});
            std::terminate();
        } catch (const std::exception &error) {
            Log("task").warning("Task ended with an exception",
                                {field("task", name), field("error", error.what())});
        }
    });
}

/** Suspends the calling task for @p duration without blocking its thread. */
inline Task<> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

/** Delay after a failed accept, which most likely lacked a file descriptor. */
constexpr Milliseconds failedAcceptDelay{10};

inline asio::ip::tcp::endpoint tcpEndpoint(const Address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

/**
 * Sets TCP options with which the operating system closes the connection within seconds after its
 * peer has become unreachable. Options that the system does not support are skipped; the timeouts
 * of the code that uses the connection then detect the loss.
 */
void enableDeadPeerDetection(asio::ip::tcp::socket &socket);

/**
 * Ends the process without destroying objects. A host stops while tasks may still wait: these refer
 * to the host, and the host to the I/O context that owns the tasks, so none can be destroyed first.
 */
[[noreturn]] void exitProcess(int status);

inline asio::ip::udp::endpoint udpEndpoint(const Address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace endivedock
