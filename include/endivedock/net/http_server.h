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

/** A server for small pages: admin ports and stand-ins. One task for each connection. */
class HttpServer
{
public:
    using Handler = std::function<Task<HttpServerResponse>(HttpServerRequest)>;

    /**
     * Listens at once.
     *
     * @param address  port 0 lets the system choose; see localAddress()
     * @throws HttpError if the address cannot be bound
     */
    HttpServer(asio::any_io_executor executor, const Address &address, Handler handler);

    Address localAddress() const;
    /** Takes no further connections; those open finish their present call. */
    void stop();

private:
    Task<> accept();
    Task<> serve(asio::ip::tcp::socket socket);

    asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

} // namespace endivedock
