#pragma once

#include "endivedock/gateway/http_message.h"
#include "endivedock/net.h"

#include <memory>
#include <optional>
#include <span>

namespace endivedock {

/** No connection to the target could be made; no byte of the request was sent. */
class TargetConnectError : public Error
{
public:
    using Error::Error;
};

/** The connection failed, timed out, or carried no valid answer. */
class TargetError : public Error
{
public:
    TargetError(const std::string &what, bool timedOut)
        : Error(what)
        , m_timedOut(timedOut)
    {
    }
    bool timedOut() const { return m_timedOut; }

private:
    bool m_timedOut;
};

/** One HTTP/1.1 connection to a target. Carries one exchange at a time. */
class TargetConnection
{
public:
    explicit TargetConnection(const asio::any_io_executor &executor);
    ~TargetConnection();

    /** @throws TargetConnectError if there is no connection by @p deadline */
    Task<> connect(Address target, TimePoint deadline);
    /** Fails what waits on this connection from @p deadline on. */
    void setDeadline(TimePoint deadline);

    Task<> sendHead(const RequestHead &head);
    Task<> sendBody(std::span<const char> piece);
    Task<> endRequest();
    /**
     * Sends the rest of the request while its answer is read: the target may answer before it has
     * read a long body.
     *
     * @param owner  keeps @p body until it is sent
     */
    void sendBodyInBackground(std::shared_ptr<const void> owner, std::span<const char> body);
    Task<ResponseHead> readHead();
    /** @return bytes read; 0 at the end of a complete body */
    Task<std::size_t> readBody(std::span<char> into);

    /** @return whether the last answer has been read to its end */
    bool isResponseComplete() const;
    /** How long the target said that it keeps an idle connection; absent if it did not say. */
    std::optional<Milliseconds> keepAliveTimeout() const;
    /** @return whether the last exchange is complete and the target keeps the connection open */
    bool isReusable() const;
    /** @return whether the target has closed an idle connection, or sent what nobody asked for */
    bool isStale();
    /** Fails what waits on this connection now. */
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace endivedock
