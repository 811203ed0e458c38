#include "endivedock/directory/http_directory.h"

namespace endivedock {

HttpDirectory::HttpDirectory(asio::any_io_executor executor, Address server, Milliseconds timeout)
    : m_client(std::move(executor), std::move(server))
    , m_timeout(timeout)
{
}

Task<DirectoryListing> HttpDirectory::list()
{
    try {
        const HttpClientResponse reply =
                co_await m_client.request("GET", "/v1/hosts", "", m_timeout);
        if (reply.status != 200)
            throw DirectoryError("the directory answered " + std::to_string(reply.status));
        co_return parseDirectoryListing(reply.body);
    } catch (const HttpError &error) {
        throw DirectoryError(error.what());
    } catch (const JsonError &error) {
        throw DirectoryError(error.what());
    }
}

} // namespace endivedock
