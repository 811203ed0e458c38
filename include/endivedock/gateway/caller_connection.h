#pragma once

#include "endivedock/gateway/http_message.h"
#include "endivedock/net.h"

#include <memory>
#include <optional>
#include <span>

namespace endivedock {

/**
 * The exchange with the caller cannot be completed: the caller disconnected, stalled, or sent an
 * incomplete message, or the target failed after the start of its response had been sent.
 */
class CallerError : public Error
{
public:
    using Error::Error;
};

/** The request is malformed or too large, and the caller must be sent a refusal. */
class CallerRequestError : public Error
{
public:
    explicit CallerRequestError(RefusalReason reason, RunCertainty certainty = RunCertainty::NotRun)
        : Error("caller request is malformed or exceeds a size limit")
        , m_refusal{reason, certainty}
    {
    }
    const Refusal &refusal() const { return m_refusal; }

private:
    Refusal m_refusal;
};

/** Properties of a request that determine how its response is written. */
struct ResponseOptions
{
    /** Minor version of HTTP/1 that the caller speaks. */
    int minorVersion = 1;
    /** The request method was HEAD, so the response has no body. */
    bool omitsBody = false;
    /** The connection stays open after the response. */
    bool keepAlive = true;
    /** Time by which a streamed response must have been sent; the caller may read it slowly. */
    TimePoint sendBy = TimePoint::max();
};

/**
 * An HTTP/1.1 connection from a caller. Bodies are read and written in pieces. One task may read
 * while another task writes.
 */
class CallerConnection
{
public:
    explicit CallerConnection(asio::ip::tcp::socket socket);
    ~CallerConnection();

    /**
     * @return the header of the next request; nothing if the caller closed the connection or was
     *         idle for longer than the idle timeout of @p limits, or after cancelRead()
     * @throws CallerRequestError if the header is malformed or too large; the request must then be
     *         refused and the connection closed
     * @throws CallerError if the connection failed
     */
    Task<std::optional<RequestHead>> readHead(const CallerLimits &limits);
    /**
     * Reads the next piece of the request body. Sends "100 Continue" first if the caller waits for
     * it.
     *
     * @return number of bytes read; 0 at the end of the body
     * @throws CallerRequestError if the body is malformed
     * @throws CallerError if the connection failed
     */
    Task<std::size_t> readBody(std::span<char> into);
    /** Reads the next piece of the request body and keeps nothing. @return see readBody() */
    Task<std::size_t> discardBody();
    /** @return whether the body of the last request has been read to its end */
    bool isBodyComplete() const;

    /**
     * Reads and discards one piece of what the caller sends.
     *
     * @return false if the caller closed the connection, or sent nothing within @p timeout, which
     *         closes it as well; true after cancelRead()
     */
    Task<bool> discardInput(Milliseconds timeout);
    /** @return whether the caller has sent something that has not been read */
    bool hasInput() const;
    /** @return whether the caller has not taken everything that was written */
    bool hasUnsent() const;
    /**
     * Ends a pending readHead(), which then returns nothing, or a pending discardInput(). No other
     * task may be reading a body or writing.
     */
    void cancelRead();

    /** @return memory for one piece of a body; valid for the lifetime of the connection */
    std::span<char> scratchBuffer();

    /** Sends a complete response with one write. @throws CallerError if the connection failed */
    Task<> sendResponse(const ResponseHead &head, std::span<const char> body,
                        const ResponseOptions &options);
    /**
     * Sends a response in pieces: sendHead(), any number of calls of sendBody(), then
     * endResponse().
     *
     * @throws CallerError if the connection failed
     */
    Task<> sendHead(const ResponseHead &head, const ResponseOptions &options);
    Task<> sendBody(std::span<const char> piece);
    Task<> endResponse();
    /** Closes the sending side; the caller sees that no further response will follow. */
    void shutdownSend();
    /** Resets the connection, so that the caller can tell that its response is incomplete. */
    void abort();
    /** Closes the connection; pending reads and writes fail. */
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace endivedock
