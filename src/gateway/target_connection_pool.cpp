#include "endivedock/gateway/target_connection_pool.h"

#include <algorithm>

namespace endivedock {

namespace {

/** Time before the target's idle timeout from which an idle connection is no longer used. */
constexpr Milliseconds idleMargin{500};
/** Assumed idle timeout, for connectedTargets(), of targets that did not send one. */
constexpr Milliseconds assumedIdleTimeout{5000};
/** Largest number of targets with an idle connection that a placement request lists. */
constexpr std::size_t maxConnectedTargets = 64;

} // namespace

PooledConnection::~PooledConnection()
{
    if (m_connection)
        m_pool->release(m_target, std::move(m_connection));
}

std::unique_ptr<TargetConnection> TargetConnectionPool::takeIdle(Pool &pool,
                                                                 Milliseconds maxIdleTime)
{
    const TimePoint now = SteadyClock().now();
    while (!pool.idle.empty()) {
        IdleConnection idle = std::move(pool.idle.back());
        pool.idle.pop_back();
        const Milliseconds targetIdleTimeout =
                idle.connection->keepAliveTimeout().value_or(maxIdleTime + idleMargin);
        const Milliseconds usableIdleTime = std::min(maxIdleTime, targetIdleTimeout - idleMargin);
        if (now - idle.idleSince <= usableIdleTime && !idle.connection->isStale())
            return std::move(idle.connection);
        --pool.openCount;
    }
    return nullptr;
}

Task<PooledConnection> TargetConnectionPool::acquire(Address target, Connections limit,
                                                     Milliseconds maxIdleTime, TimePoint deadline)
{
    if (auto idle = takeIdle(m_pools[target], maxIdleTime))
        co_return PooledConnection(*this, target, std::move(idle));
    if (m_pools[target].openCount >= limit.value())
        throw TargetConnectError(
                formatAddress(target) +
                ": all connections that this host may open to the target are in use");
    if (!makeRoom())
        throw TargetConnectError(formatAddress(target) +
                                 ": all connections that this host may open are in use");
    ++m_pools[target].openCount;
    PooledConnection connection(*this, target, std::make_unique<TargetConnection>(m_executor));
    co_await connection->connect(target, deadline);
    co_return std::move(connection);
}

bool TargetConnectionPool::isFull() const
{
    int inUse = 0;
    for (const auto &[address, pool] : m_pools)
        inUse += pool.openCount - static_cast<int>(pool.idle.size());
    return m_limit && inUse >= m_limit->value();
}

bool TargetConnectionPool::makeRoom()
{
    if (!m_limit)
        return true;
    int openCount = 0;
    Pool *longest = nullptr;
    for (auto &[address, pool] : m_pools) {
        openCount += pool.openCount;
        // Connections are used last in, first out, so the first is the one idle for longest.
        if (!pool.idle.empty() &&
            (longest == nullptr || pool.idle.front().idleSince < longest->idle.front().idleSince))
            longest = &pool;
    }
    if (openCount < m_limit->value())
        return true;
    if (longest == nullptr)
        return false;
    longest->idle.erase(longest->idle.begin());
    --longest->openCount;
    return true;
}

void TargetConnectionPool::release(const Address &target,
                                   std::unique_ptr<TargetConnection> connection)
{
    Pool &pool = m_pools[target];
    if (connection->isReusable())
        pool.idle.push_back({std::move(connection), SteadyClock().now()});
    else
        --pool.openCount;
}

void TargetConnectionPool::closeIdle(const Address &target)
{
    const auto found = m_pools.find(target);
    if (found == m_pools.end())
        return;
    found->second.openCount -= static_cast<int>(found->second.idle.size());
    found->second.idle.clear();
}

Connections TargetConnectionPool::openConnections(const Address &target) const
{
    const auto found = m_pools.find(target);
    return Connections(found == m_pools.end() ? 0 : found->second.openCount);
}

std::vector<AddressHash> TargetConnectionPool::connectedTargets() const
{
    std::vector<AddressHash> result;
    const TimePoint now = SteadyClock().now();
    for (const auto &[address, pool] : m_pools) {
        if (pool.idle.empty())
            continue;
        const IdleConnection &newest = pool.idle.back();
        const Milliseconds targetIdleTimeout =
                newest.connection->keepAliveTimeout().value_or(assumedIdleTimeout);
        if (now - newest.idleSince + idleMargin < targetIdleTimeout &&
            result.size() < maxConnectedTargets)
            result.push_back(hashAddress(address));
    }
    return result;
}

} // namespace endivedock
