#pragma once

#include "endivedock/net/task.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivedock {

/** The connection failed or timed out, or the peer sent no valid HTTP. */
class HttpError : public Error
{
public:
    using Error::Error;
};

struct HttpClientResponse
{
    unsigned status = 0;
    std::string body;
    /** Names and values of the header fields. */
    std::vector<std::pair<std::string, std::string>> fields = {};
};

/** Names and values of header fields. */
using HttpClientFields = std::vector<std::pair<std::string, std::string>>;

/**
 * An HTTP/1.1 client of one server, for small bodies. Reconnects when needed. Only one request may
 * be in progress at a time.
 */
class HttpClient
{
public:
    HttpClient(asio::any_io_executor executor, Address server);
    ~HttpClient();
    HttpClient(HttpClient &&) noexcept;

    /**
     * Sends one request and reads the complete response.
     *
     * @param timeout  for connecting, writing and reading together
     * @param fields   further header fields
     * @throws HttpError if no complete response arrived; the request may have taken effect
     */
    Task<HttpClientResponse> request(std::string method, std::string path, std::string body,
                                     Milliseconds timeout, HttpClientFields fields = {});

    /**
     * Sends one POST request on a separate connection and passes the body of the response to
     * @p onLine line by line.
     *
     * @param onLine  called with each line that is not empty; returns false to stop
     * @throws HttpError if the status is not 200, or the stream failed, ended or exceeded
     *         @p timeout before @p onLine returned false
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
