#pragma once

#include "endivedock/gateway/target_connection.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace endivedock {

class TargetConnectionPool;

/**
 * A connection taken from a pool. The destructor returns the connection to the pool if the exchange
 * is complete, and closes it otherwise, so that an unread response never reaches another caller.
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
 * The host's connections to targets, by address. A target accepts a bounded number of connections
 * from all hosts together, so the host opens no more than its share.
 */
class TargetConnectionPool
{
public:
    explicit TargetConnectionPool(asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    /**
     * Returns an idle connection to the target, or opens a connection.
     *
     * @param limit        connections that this host may have open to the target
     * @param maxIdleTime  connections that have been idle for longer are closed instead of used
     * @throws TargetConnectError if no connection is idle and a limit is reached, or connecting
     *         does not succeed by @p deadline
     */
    Task<PooledConnection> acquire(Address target, Connections limit, Milliseconds maxIdleTime,
                                   TimePoint deadline);

    /** Bounds the connections to all targets; idle ones are closed to open others. */
    void setLimit(Connections limit) { m_limit = limit; }
    /** @return whether all connections that may be open are in use */
    bool isFull() const;
    /** Closes the idle connections to @p target. */
    void closeIdle(const Address &target);
    /** @return the number of connections to @p target, idle and in use */
    Connections openConnections(const Address &target) const;
    /**
     * @return hashes of addresses to which an idle connection is open that the target is expected
     *         to keep open; at most maxConnectedTargets
     */
    std::vector<AddressHash> connectedTargets() const;

private:
    friend class PooledConnection;

    struct IdleConnection
    {
        std::unique_ptr<TargetConnection> connection;
        TimePoint idleSince;
    };
    struct Pool
    {
        std::vector<IdleConnection> idle;
        /** Connections to the target, idle and in use. */
        int openCount = 0;
    };

    /** @return the most recently used usable connection, or null; closes stale ones */
    std::unique_ptr<TargetConnection> takeIdle(Pool &pool, Milliseconds maxIdleTime);
    /** Keeps a reusable connection as idle; closes any other. */
    void release(const Address &target, std::unique_ptr<TargetConnection> connection);

    /**
     * Closes the connection that has been idle longest if the limit is reached.
     *
     * @return whether another connection may be opened
     */
    bool makeRoom();

    asio::any_io_executor m_executor;
    std::optional<Connections> m_limit;
    std::map<Address, Pool> m_pools;
};

} // namespace endivedock
