#pragma once

#include "endivedock/gateway/http_message.h"
#include "endivedock/net.h"

#include <memory>
#include <optional>
#include <span>

namespace endivedock {

/** The caller went away, stalled, or sent something that is no HTTP. */
class CallerError : public Error
{
public:
    using Error::Error;
};

/** A request that the caller must be told is malformed or too large. */
class CallerRequestError : public Error
{
public:
    explicit CallerRequestError(RefusalReason reason, RunCertainty certainty = RunCertainty::NotRun)
        : Error("the caller's request is refused")
        , m_refusal{reason, certainty}
    {
    }
    const Refusal &refusal() const { return m_refusal; }

private:
    Refusal m_refusal;
};

/** What an answer must observe of the request that it belongs to. */
struct ResponseOptions
{
    int minorVersion = 1;
    /** The request was a HEAD, so that no body is sent. */
    bool headOnly = false;
    /** The connection stays open after the answer. */
    bool keepAlive = true;
};

/**
 * One HTTP/1.1 connection of a caller. Bodies pass through in pieces. One task may read while
 * another one writes.
 */
class CallerConnection
{
public:
    explicit CallerConnection(asio::ip::tcp::socket socket);
    ~CallerConnection();

    /**
     * @return the next request's header; nothing when the caller has closed, or stayed idle
     * @throws CallerRequestError if it is malformed or too large; answer and close
     * @throws CallerError if the connection failed
     */
    Task<std::optional<RequestHead>> readHead(const CallerLimits &limits);
    /**
     * Reads the next piece of the body; sends "100 Continue" first where the caller waits for it.
     *
     * @return bytes read; 0 at the end of the body
     */
    Task<std::size_t> readBody(std::span<char> into);
    bool isBodyComplete() const;

    /** @return memory for one piece of a body, kept as long as the connection */
    std::span<char> scratchBuffer();

    /** Sends a whole answer with one write. */
    Task<> sendResponse(const ResponseHead &head, std::span<const char> body,
                        const ResponseOptions &options);
    /** Sends an answer piece by piece: the header, any number of pieces, the end. */
    Task<> sendHead(const ResponseHead &head, const ResponseOptions &options);
    Task<> sendBody(std::span<const char> piece);
    Task<> endResponse();
    /** Tells the caller that no further answer will come. */
    void shutdownSend();
    /** Breaks off, so that the caller sees that the answer is not complete. */
    void abort();
    /** Ends what waits on this connection. */
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace endivedock
