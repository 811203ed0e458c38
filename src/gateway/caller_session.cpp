#include "endivedock/gateway/caller_session.h"

#include <algorithm>

namespace endivedock {

namespace {

/** Most that the socket of a caller holds of a response that has been written to it. */
constexpr std::size_t maxUnsentBytes = 128 * 1024;
/** Time in which a caller reads what its connection holds, after the response has been written. */
constexpr Seconds unsentTimeout{5};

} // namespace

CallerSession::CallerSession(asio::ip::tcp::socket socket, const asio::any_io_executor &executor,
                             const GatewayShutdown &shutdown, MemoryGate &memory)
    : m_caller(std::move(socket))
    , m_changed(executor, TimePoint::max())
    , m_shutdown(shutdown)
    , m_memory(memory)
    , m_idleSince(SteadyClock().now())
{
}

MemoryHold CallerSession::openResponseHold(const std::shared_ptr<CallerSession> &session)
{
    return session->m_memory.open([owner = std::weak_ptr<CallerSession>(session)] {
        if (const auto live = owner.lock()) {
            live->m_caller.abort();
            live->disconnect();
        }
    });
}

void CallerSession::holdUnsent(std::size_t responseBytes)
{
    m_unsent = m_memory.open([this] {
        // Callers that have read all of it stay connected.
        if (m_caller.hasUnsent()) {
            m_caller.abort();
            disconnect();
        }
        m_unsent.release();
    });
    // What is sent already can't be refused any more.
    if (!m_unsent.tryHold(Bytes(std::min(responseBytes, maxUnsentBytes))))
        m_unsent.release();
    m_unsent.awaitCaller(SteadyClock().now() + unsentTimeout);
}

void CallerSession::setReading(bool isReading)
{
    m_isReading = isReading;
    m_idleSince = SteadyClock().now();
    if (isReading)
        m_unsent.release(); // Callers read their responses before they send further requests.
}

CallerSession *CallerSession::longestIdle(const std::set<CallerSession *> &sessions)
{
    CallerSession *result = nullptr;
    for (CallerSession *session : sessions) {
        const bool isIdle = !session->m_isReading && session->m_pendingRequests.empty() &&
                            !session->m_isDisconnected;
        if (isIdle && (result == nullptr || session->m_idleSince < result->m_idleSince))
            result = session;
    }
    return result;
}

void CallerSession::add(const RequestPtr &request)
{
    request->sequenceNumber = m_requestsRead++;
    m_pendingRequests[request->sequenceNumber] = request;
}

void CallerSession::finish(const GatewayRequest &request)
{
    m_pendingRequests.erase(request.sequenceNumber);
    m_responsesSent = std::max(m_responsesSent, request.sequenceNumber + 1);
    m_idleSince = SteadyClock().now();
    if (m_shutdown.isStopping)
        closeIfIdle();
    if (m_isClosing && m_pendingRequests.empty())
        endResponses();
    notifyChange();
}

Task<> CallerSession::awaitChange()
{
    boost::system::error_code ignored; // Cancellation of the timer signals the change.
    co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Task<> CallerSession::awaitResponseTurn(std::uint64_t sequenceNumber)
{
    while (!m_isDisconnected && m_responsesSent < sequenceNumber)
        co_await awaitChange();
    if (m_isDisconnected)
        throw CallerError("caller disconnected before its response was due");
}

void CallerSession::decideKeepAlive(GatewayRequest &request)
{
    // The unread rest of the body would be parsed as the next request.
    const bool hasUnreadBody = !request.isBodyBuffered && !m_caller.isBodyComplete();
    // Pipelined requests that are already running still need the connection for their responses.
    const bool isLastOfDrain = m_shutdown.isKeepAliveDisabled && m_pendingRequests.size() <= 1;
    if (hasUnreadBody || isLastOfDrain)
        request.responseOptions.keepAlive = false;
    m_isClosing = m_isClosing || !request.responseOptions.keepAlive;
}

void CallerSession::notifyChange()
{
    m_changed.cancel();
}

void CallerSession::closeIfIdle()
{
    if (m_isReading || !m_pendingRequests.empty() || m_caller.hasInput())
        return;
    m_isClosing = true;
    endResponses();
}

void CallerSession::endResponses()
{
    m_caller.shutdownSend();
    // The reading task waits for the next request with a long timeout.
    if (!m_isReading)
        m_caller.cancelRead();
}

void CallerSession::disconnect()
{
    m_isDisconnected = true;
    m_caller.close();
    const auto pending = m_pendingRequests;
    for (const auto &[sequenceNumber, request] : pending) {
        if (request->cancel)
            request->cancel();
    }
    notifyChange();
}

} // namespace endivedock
