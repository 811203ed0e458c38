#include "endivedock/gateway/target_connection_pool.h"

#include <algorithm>

namespace endivedock {

namespace {

/** A target closes by its own clock; this much earlier its connection is not used any more. */
constexpr Milliseconds idleMargin{500};
/** Idle connections are told of for this long where the target did not say how long it keeps them.
 */
constexpr Milliseconds hintedIdle{5000};
/** Idle connections that a placement request tells of at most. */
constexpr std::size_t mostHints = 64;

} // namespace

PooledConnection::~PooledConnection()
{
    if (m_connection)
        m_pool->giveBack(m_target, std::move(m_connection));
}

std::unique_ptr<TargetConnection> TargetConnectionPool::takeIdle(Pool &pool,
                                                                 Milliseconds maxIdleTime)
{
    const TimePoint now = SteadyClock().now();
    while (!pool.idle.empty()) {
        Idle idle = std::move(pool.idle.back());
        pool.idle.pop_back();
        const Milliseconds kept =
                idle.connection->keepAliveTimeout().value_or(maxIdleTime + idleMargin);
        const Milliseconds usable = std::min(maxIdleTime, kept - idleMargin);
        if (now - idle.since <= usable && !idle.connection->isStale())
            return std::move(idle.connection);
        --pool.open;
    }
    return nullptr;
}

Task<PooledConnection> TargetConnectionPool::acquire(Address target, Connections limit,
                                                     Milliseconds maxIdleTime, TimePoint deadline)
{
    if (auto idle = takeIdle(m_pools[target], maxIdleTime))
        co_return PooledConnection(*this, target, std::move(idle));
    if (m_pools[target].open >= limit.value())
        throw TargetConnectError(formatAddress(target) + ": this host's connections are in use");
    ++m_pools[target].open;
    PooledConnection connection(*this, target, std::make_unique<TargetConnection>(m_executor));
    co_await connection->connect(target, deadline);
    co_return std::move(connection);
}

void TargetConnectionPool::giveBack(const Address &target,
                                    std::unique_ptr<TargetConnection> connection)
{
    Pool &pool = m_pools[target];
    if (connection->isReusable())
        pool.idle.push_back({std::move(connection), SteadyClock().now()});
    else
        --pool.open;
}

Connections TargetConnectionPool::open(const Address &target) const
{
    const auto found = m_pools.find(target);
    return Connections(found == m_pools.end() ? 0 : found->second.open);
}

std::vector<AddressHash> TargetConnectionPool::connectedTargets() const
{
    std::vector<AddressHash> result;
    const TimePoint now = SteadyClock().now();
    for (const auto &[address, pool] : m_pools) {
        if (pool.idle.empty())
            continue;
        const Idle &newest = pool.idle.back();
        const Milliseconds kept = newest.connection->keepAliveTimeout().value_or(hintedIdle);
        if (now - newest.since + idleMargin < kept && result.size() < mostHints)
            result.push_back(hashAddress(address));
    }
    return result;
}

} // namespace endivedock
