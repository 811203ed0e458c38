#pragma once

#include "endivedock/net/task.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace endivedock {

/** A connection that failed, timed out, or carried no valid HTTP. */
class HttpError : public Error
{
public:
    using Error::Error;
};

struct HttpClientResponse
{
    unsigned status = 0;
    std::string body;
};

/** A client of one server with small bodies; reconnects by itself. One request at a time. */
class HttpClient
{
public:
    HttpClient(asio::any_io_executor executor, Address server);
    ~HttpClient();
    HttpClient(HttpClient &&) noexcept;

    /**
     * Sends one request and reads the whole answer.
     *
     * @param timeout  for connect, write and read together
     * @throws HttpError if no whole answer came; the request may have taken effect
     */
    Task<HttpClientResponse> request(std::string method, std::string path, std::string body,
                                     Milliseconds timeout);

    /**
     * Sends one request on a connection of its own and hands over the answer's body line by line.
     *
     * @param onLine  returns false to stop
     * @throws HttpError if the stream failed or @p timeout passed before it was stopped
     */
    Task<> streamLines(std::string path, std::string body, Milliseconds timeout,
                       std::function<bool(std::string_view)> onLine);

private:
    class Connection;

    asio::any_io_executor m_executor;
    Address m_server;
    std::unique_ptr<Connection> m_connection;
};

} // namespace endivedock
