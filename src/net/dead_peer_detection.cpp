#include "endivedock/net/task.h"

#include <netinet/tcp.h>

namespace endivedock {

namespace {

// TCP keep-alive, in seconds: the shortest values that the system accepts. A connection to an
// unreachable peer is closed after about three seconds.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int maxKeepAliveProbes = 2;
/** Longest time that sent bytes may stay unacknowledged by the peer. */
constexpr unsigned userTimeoutMs = 3000;

} // namespace

void enableDeadPeerDetection(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored; // Unsupported options are skipped.
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds,
               sizeof(keepAliveIdleSeconds));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds,
               sizeof(keepAliveIntervalSeconds));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &maxKeepAliveProbes, sizeof(maxKeepAliveProbes));
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
}

} // namespace endivedock
