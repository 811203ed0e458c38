#pragma once

#include "endivedock/gateway/http_message.h"
#include "endivedock/net.h"

#include <memory>
#include <optional>
#include <span>

namespace endivedock {

/** Connecting to the target failed; no byte of the request was sent. */
class TargetConnectError : public Error
{
public:
    using Error::Error;
};

/** The connection failed or timed out, or the target sent no valid response. */
class TargetError : public Error
{
public:
    TargetError(const std::string &what, bool isTimeout)
        : Error(what)
        , m_isTimeout(isTimeout)
    {
    }
    bool isTimeout() const { return m_isTimeout; }

private:
    bool m_isTimeout;
};

/** An HTTP/1.1 connection to a target. Carries one request and its response at a time. */
class TargetConnection
{
public:
    explicit TargetConnection(const asio::any_io_executor &executor);
    ~TargetConnection();

    /** @throws TargetConnectError if the connection is not established by @p deadline */
    Task<> connect(Address target, TimePoint deadline);
    /** Makes reads and writes that are not complete by @p deadline fail with a timeout. */
    void setDeadline(TimePoint deadline);

    /**
     * Sends a request in pieces: sendHead(), any number of calls of sendBody(), then endRequest().
     *
     * @throws TargetError if the connection failed or timed out
     */
    Task<> sendHead(const RequestHead &head);
    Task<> sendBody(std::span<const char> piece);
    Task<> endRequest();
    /**
     * Sends the body and ends the request in a task of its own, so that the response can be read
     * meanwhile: the target may respond before it has read a long body.
     *
     * @param owner  keeps @p body alive until the body is sent
     */
    void sendBodyInBackground(std::shared_ptr<const void> owner, std::span<const char> body);
    /**
     * @return the header of the final response; interim responses (1xx) are skipped
     * @throws TargetError if the connection failed or timed out, or the header is invalid
     */
    Task<ResponseHead> readHead();
    /**
     * @return number of bytes read; 0 at the end of a complete body
     * @throws TargetError if the connection failed or timed out, or the body is malformed or was
     *         cut off
     */
    Task<std::size_t> readBody(std::span<char> into);

    /** @return whether the last response has been read to its end */
    bool isResponseComplete() const;
    /** @return the target's idle timeout from its Keep-Alive field; absent if it sent none */
    std::optional<Milliseconds> keepAliveTimeout() const;
    /** @return whether the last exchange is complete and the target keeps the connection open */
    bool isReusable() const;
    /** @return whether the target has closed the idle connection or sent unsolicited bytes on it */
    bool isStale();
    /** Closes the connection; pending reads and writes fail. */
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace endivedock
