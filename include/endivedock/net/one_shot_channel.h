#pragma once

#include "endivedock/net/task.h"

#include <optional>
#include <utility>

namespace endivedock {

/**
 * Passes a value from one task to another task on the same thread. The waiting task owns the
 * channel; the delivering task must make sure that the channel still exists.
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

    /** Delivers @p value; ignored if an earlier value has not been taken by wait() yet. */
    void deliver(T value)
    {
        if (m_value)
            return;
        m_value = std::move(value);
        m_timer.cancel();
    }

    /**
     * @return the value, or nothing if @p deadline passes first; may be called again, after a
     *         timeout or for a further value
     */
    Task<std::optional<T>> wait(TimePoint deadline)
    {
        if (!m_value) {
            boost::system::error_code ignored; // deliver() cancels the timer to end the wait.
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
