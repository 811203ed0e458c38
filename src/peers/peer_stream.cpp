#include "endivedock/peers/peer_stream.h"

#include <algorithm>
#include <array>

#include <boost/asio/read.hpp>
#include <boost/endian/conversion.hpp>

namespace endivedock {

StallTimer::StallTimer(asio::ip::tcp::socket &socket)
    : m_endsAt(SteadyClock().now() + exchangeTimeout)
    , m_deadline(socket, exchangeStallTimeout)
{
}

void StallTimer::recordProgress()
{
    m_deadline.postponeTo(std::min(SteadyClock().now() + exchangeStallTimeout, m_endsAt));
}

Task<> writeFrame(asio::ip::tcp::socket &socket, std::string bytes, StallTimer &timer)
{
    std::array<unsigned char, 4> length{};
    boost::endian::store_big_u32(length.data(), static_cast<std::uint32_t>(bytes.size()));
    bytes.insert(bytes.begin(), length.begin(), length.end());
    for (std::size_t sent = 0; sent < bytes.size();) {
        sent += co_await socket.async_write_some(
                asio::buffer(bytes.data() + sent, bytes.size() - sent), asio::use_awaitable);
        timer.recordProgress();
    }
}

Task<std::string> readFrame(asio::ip::tcp::socket &socket, StallTimer &timer)
{
    std::array<unsigned char, 4> length{};
    co_await asio::async_read(socket, asio::buffer(length), asio::use_awaitable);
    const std::size_t size = boost::endian::load_big_u32(length.data());
    if (size > maxFrameBytes)
        throw PeerError("peer announced a frame longer than 32 MiB");
    std::string bytes;
    // The buffer grows as data arrives, so that a false length costs no memory.
    constexpr std::size_t chunkBytes = 64 * 1024;
    for (std::size_t received = 0; received < size;) {
        if (received == bytes.size())
            bytes.resize(std::min(size, received + chunkBytes));
        received += co_await socket.async_read_some(
                asio::buffer(bytes.data() + received, bytes.size() - received),
                asio::use_awaitable);
        timer.recordProgress();
    }
    co_return bytes;
}

} // namespace endivedock
