#pragma once

#include "endivedock/gateway/target_connection.h"

#include <map>
#include <memory>
#include <vector>

namespace endivedock {

class TargetConnectionPool;

/**
 * A connection taken from a pool. Its destructor gives it back if its exchange is complete, and
 * closes it otherwise, so that an abandoned answer never meets another caller.
 */
class PooledConnection
{
public:
    PooledConnection(TargetConnectionPool &pool, Address target,
                     std::unique_ptr<TargetConnection> connection)
        : m_pool(&pool)
        , m_target(std::move(target))
        , m_connection(std::move(connection))
    {
    }
    ~PooledConnection();
    PooledConnection(PooledConnection &&) noexcept = default;
    PooledConnection &operator=(PooledConnection &&) = delete;

    TargetConnection &operator*() { return *m_connection; }
    TargetConnection *operator->() { return m_connection.get(); }

private:
    TargetConnectionPool *m_pool;
    Address m_target;
    std::unique_ptr<TargetConnection> m_connection;
};

/**
 * Idle connections of this host, by target. A target accepts a bounded count from all hosts
 * together, so this host opens no more than its part.
 */
class TargetConnectionPool
{
public:
    explicit TargetConnectionPool(asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    /**
     * @param limit       connections that this host may have open to the target
     * @param maxIdleTime  connections that were idle for longer are closed instead of used
     * @throws TargetConnectError if none is idle and none can be opened by @p deadline
     */
    Task<PooledConnection> acquire(Address target, Connections limit, Milliseconds maxIdleTime,
                                   TimePoint deadline);

    Connections open(const Address &target) const;
    /** @return targets to which a connection is idle */
    std::vector<AddressHash> connectedTargets() const;

private:
    friend class PooledConnection;

    struct Idle
    {
        std::unique_ptr<TargetConnection> connection;
        TimePoint since;
    };
    struct Pool
    {
        std::vector<Idle> idle;
        int open = 0;
    };

    std::unique_ptr<TargetConnection> takeIdle(Pool &pool, Milliseconds maxIdleTime);
    void giveBack(const Address &target, std::unique_ptr<TargetConnection> connection);

    asio::any_io_executor m_executor;
    std::map<Address, Pool> m_pools;
};

} // namespace endivedock
