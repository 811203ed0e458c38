#pragma once

#include "endivedock/net/task.h"

#include <optional>
#include <utility>

namespace endivedock {

/**
 * A value that one task waits for and another delivers, on the same thread. The waiter holds the
 * object; a deliverer must know that the waiter is still there.
 */
template <typename T>
class OneShotChannel
{
public:
    template <typename Executor>
    explicit OneShotChannel(const Executor &executor)
        : m_timer(executor)
    {
    }

    /** Delivers @p value; later deliveries before the wait ends are ignored. */
    void deliver(T value)
    {
        if (m_value)
            return;
        m_value = std::move(value);
        m_timer.cancel();
    }

    /** @return the value, or nothing if @p deadline passed first; may be called again */
    Task<std::optional<T>> wait(TimePoint deadline)
    {
        if (!m_value) {
            boost::system::error_code ignored;
            m_timer.expires_at(deadline);
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_return std::exchange(m_value, std::nullopt);
    }

private:
    asio::steady_timer m_timer;
    std::optional<T> m_value;
};

} // namespace endivedock
