#pragma once

#include "endivedock/admission.h"
#include "endivedock/gateway/caller_connection.h"
#include "endivedock/gateway/request_plan.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace endivedock {

/** One request of a caller, from its header to its response. */
struct GatewayRequest
{
    RequestHead head;
    RequestPlan plan;
    RequestId id;
    /** Position among the requests of the connection, from 0. */
    std::uint64_t sequenceNumber = 0;
    TimePoint arrivedAt;
    Fingerprint fingerprint;
    /** The body, or the start of a body that is too long to be buffered. */
    std::vector<char> bufferedBody;
    /** The memory of bufferedBody, and what the connection holds while the body arrives. */
    MemoryHold memory;
    /** Whether bufferedBody holds the whole body. */
    bool isBodyBuffered = false;
    /**
     * Part of the body behind bufferedBody has been read, and is not kept; the request can then not
     * be sent again.
     */
    bool isBodyStreamed = false;
    std::vector<TargetId> triedTargets;
    /** Whether a target may have begun to run the request, and this was counted. */
    bool isUsageCounted = false;
    /** Time spent on attempts at targets so far. */
    Microseconds targetTime{0};
    ResponseOptions responseOptions;
    /**
     * Cancels the request's wait for a placement or for a target, when the caller disconnects;
     * empty between waits.
     */
    std::function<void()> cancel;
};

using RequestPtr = std::shared_ptr<GatewayRequest>;

/** The stages of a graceful drain of the gateway. */
struct GatewayShutdown
{
    /** Each connection is closed after its next response. */
    bool isKeepAliveDisabled = false;
    /** No connections are accepted any more. */
    bool isStopping = false;
};

/**
 * One caller connection with its pending requests. Requests are pending from when they have been
 * read until their response has been sent; responses are sent in the order of the requests.
 */
class CallerSession
{
public:
    /** @param shutdown, memory  must outlive this object */
    CallerSession(asio::ip::tcp::socket socket, const asio::any_io_executor &executor,
                  const GatewayShutdown &shutdown, MemoryGate &memory);

    CallerConnection &caller() { return m_caller; }
    MemoryGate &memory() { return m_memory; }
    /** @return a hold for a response to this caller; it loses its connection with the memory */
    static MemoryHold openResponseHold(const std::shared_ptr<CallerSession> &session);
    /**
     * A response has been written to the socket, which holds a part of it until the caller reads.
     * That part counts as held until the next request arrives.
     */
    void holdUnsent(std::size_t responseBytes);

    /** Adds a request that has been read, and sets its sequence number. */
    void add(const RequestPtr &request);
    /** Removes a request whose response has been sent or will never be sent. */
    void finish(const GatewayRequest &request);
    std::size_t pendingCount() const { return m_pendingRequests.size(); }
    bool hasPending() const { return !m_pendingRequests.empty(); }

    /** Waits until a request was removed, or the session is closing or disconnected. */
    Task<> awaitChange();
    /**
     * Waits until the responses to all earlier requests have been sent.
     *
     * @throws CallerError if the caller disconnects before
     */
    Task<> awaitResponseTurn(std::uint64_t sequenceNumber);
    /** Decides whether the connection closes after the response that is due to @p request. */
    void decideKeepAlive(GatewayRequest &request);

    /** Wakes the tasks that wait for a change. */
    void notifyChange();
    /** Begins to close the connection if no request has arrived that has no response yet. */
    void closeIfIdle();
    /** Closes the connection and cancels the waits of all pending requests. */
    void disconnect();

    bool isDisconnected() const { return m_isDisconnected; }
    /** @return whether a response that closes the connection has been sent or is due */
    bool isClosing() const { return m_isClosing; }
    void setClosing() { m_isClosing = true; }
    /** @return whether the request that was read last must run alone */
    bool isExclusive() const { return m_isExclusive; }
    void setExclusive(bool isExclusive) { m_isExclusive = isExclusive; }
    /** @param isReading  whether a request is being read whose header has arrived */
    void setReading(bool isReading);
    /** @return whether the request that is being read is the only one, and not handled yet */
    bool isReadingAlone() const { return m_isReading && m_pendingRequests.empty(); }
    /** @return the session that has waited longest for a request, or null if none waits */
    static CallerSession *longestIdle(const std::set<CallerSession *> &sessions);

private:
    /** Tells the caller that no further response follows, and ends the wait for a request. */
    void endResponses();

    CallerConnection m_caller;
    /** Cancelled at each change, which wakes the tasks that wait on the timer. */
    asio::steady_timer m_changed;
    const GatewayShutdown &m_shutdown;
    MemoryGate &m_memory;
    MemoryHold m_unsent;
    TimePoint m_idleSince;
    std::uint64_t m_requestsRead = 0;
    std::uint64_t m_responsesSent = 0;
    std::map<std::uint64_t, RequestPtr> m_pendingRequests;
    bool m_isExclusive = false;
    bool m_isDisconnected = false;
    bool m_isReading = false;
    bool m_isClosing = false;
};

using SessionPtr = std::shared_ptr<CallerSession>;

} // namespace endivedock
