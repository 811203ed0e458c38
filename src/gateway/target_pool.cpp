#include "endivedock/gateway/target_pool.h"

namespace endivedock {

namespace {

/** Targets commonly close what has been idle for longer. */
constexpr Seconds longestIdle{30};

} // namespace

PooledConnection::~PooledConnection()
{
    if (m_connection)
        m_pool->giveBack(m_target, std::move(m_connection));
}

std::unique_ptr<TargetConnection> TargetPool::takeIdle(Pool &pool)
{
    const TimePoint oldest = SteadyClock().now() - longestIdle;
    while (!pool.idle.empty()) {
        Idle idle = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (idle.since >= oldest && !idle.connection->stale())
            return std::move(idle.connection);
        --pool.open;
    }
    return nullptr;
}

Task<PooledConnection> TargetPool::acquire(Address target, Connections limit, TimePoint deadline)
{
    if (auto idle = takeIdle(m_pools[target]))
        co_return PooledConnection(*this, target, std::move(idle));
    if (m_pools[target].open >= limit.value())
        throw TargetConnectError(formatAddress(target) + ": this host's connections are in use");
    ++m_pools[target].open;
    PooledConnection connection(*this, target, std::make_unique<TargetConnection>(m_executor));
    co_await connection->connect(target, deadline);
    co_return std::move(connection);
}

void TargetPool::giveBack(const Address &target, std::unique_ptr<TargetConnection> connection)
{
    Pool &pool = m_pools[target];
    if (connection->reusable())
        pool.idle.push_back({std::move(connection), SteadyClock().now()});
    else
        --pool.open;
}

Connections TargetPool::open(const Address &target) const
{
    const auto found = m_pools.find(target);
    return Connections(found == m_pools.end() ? 0 : found->second.open);
}

} // namespace endivedock
