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
        const HttpClientResponse response =
                co_await m_client.request("GET", "/v1/hosts", "", m_timeout);
        if (response.status != 200)
            throw DirectoryError("directory: expected HTTP status 200, got " +
                                 std::to_string(response.status));
        co_return parseDirectoryListing(response.body);
    } catch (const HttpError &error) {
        throw DirectoryError(error.what());
    } catch (const JsonError &error) {
        throw DirectoryError(error.what());
    }
}

} // namespace endivedock
