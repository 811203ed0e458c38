#pragma once

#include "endivedock/net/task.h"

#include <functional>
#include <memory>
#include <string>

namespace endivedock {

struct HttpServerRequest
{
    std::string method;
    std::string path;
    std::string body;
};

struct HttpServerResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/**
 * An HTTP/1.1 server for small bodies, used by admin ports and by the test tools. Runs one task for
 * each connection.
 */
class HttpServer
{
public:
    using Handler = std::function<Task<HttpServerResponse>(HttpServerRequest)>;

    /**
     * Starts to listen.
     *
     * @param address  for port 0 the system chooses a free port; see localAddress()
     * @throws HttpError if the address cannot be bound
     */
    HttpServer(asio::any_io_executor executor, const Address &address, Handler handler);

    Address localAddress() const;
    /** Stops accepting connections; open connections continue to be served. */
    void stop();

private:
    Task<> accept();
    Task<> serve(asio::ip::tcp::socket socket);

    asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

} // namespace endivedock
