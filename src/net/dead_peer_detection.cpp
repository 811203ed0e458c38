#include "endivedock/net/task.h"

#include <netinet/tcp.h>

namespace endivedock {

namespace {

// The shortest that the system takes, in seconds: a silent connection ends within about three.
constexpr int probeAfter = 1;
constexpr int probeInterval = 1;
constexpr int mostProbes = 2;
/** Sent bytes may stay unconfirmed for this long. */
constexpr unsigned unconfirmedMs = 3000;

} // namespace

void enableDeadPeerDetection(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored; // See the declaration.
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probeAfter, sizeof(probeAfter));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probeInterval, sizeof(probeInterval));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &mostProbes, sizeof(mostProbes));
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &unconfirmedMs, sizeof(unconfirmedMs));
}

} // namespace endivedock
