#pragma once

#include "endivedock/directory/directory_concept.h"

namespace endivedock {

/** Reads the list of hosts and targets as a JSON document over HTTP: GET /v1/hosts. */
class HttpDirectory
{
public:
    HttpDirectory(asio::any_io_executor executor, Address server, Milliseconds timeout);

    Task<DirectoryListing> list();

private:
    HttpClient m_client;
    Milliseconds m_timeout;
};

static_assert(HostDirectory<HttpDirectory>);

} // namespace endivedock
