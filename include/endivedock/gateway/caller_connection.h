#pragma once

#include "endivedock/gateway/http_message.h"
#include "endivedock/net.h"

#include <functional>
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

/** One HTTP/1.1 connection of a caller. Bodies pass through in pieces. */
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
    Task<std::optional<RequestHead>> readHead();
    /**
     * Reads the next piece of the body; sends "100 Continue" first where the caller waits for it.
     *
     * @return bytes read; 0 at the end of the body
     */
    Task<std::size_t> readBody(std::span<char> into);
    bool bodyDone() const;

    /** Calls @p onGone if the caller goes away before unwatch(). Only after the whole body. */
    void watch(std::function<void()> onGone);
    void unwatch();

    /** @return memory for one piece of a body, kept as long as the connection */
    std::span<char> scratch();

    Task<> sendHead(const AnswerHead &head);
    Task<> sendBody(std::span<const char> piece);
    Task<> endAnswer();
    /** @return whether the connection can carry another request */
    bool reusable() const;
    /** The connection is closed after the present answer. */
    void closeAfterAnswer();
    /** Breaks off, so that the caller sees that the answer is not complete. */
    void abort();
    /** Wakes readHead() where it waits for a further request. */
    void stopWhenIdle();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace endivedock
