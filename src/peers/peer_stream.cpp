#include "endivedock/peers/peer_stream.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

namespace endivedock {

Task<> writeFrame(asio::ip::tcp::socket &socket, std::string bytes)
{
    std::array<unsigned char, 4> length{};
    boost::endian::store_big_u32(length.data(), static_cast<std::uint32_t>(bytes.size()));
    std::array<asio::const_buffer, 2> parts{asio::buffer(length), asio::buffer(bytes)};
    co_await asio::async_write(socket, parts, asio::use_awaitable);
}

Task<std::string> readFrame(asio::ip::tcp::socket &socket)
{
    std::array<unsigned char, 4> length{};
    co_await asio::async_read(socket, asio::buffer(length), asio::use_awaitable);
    const std::size_t size = boost::endian::load_big_u32(length.data());
    if (size > maxFrameBytes)
        throw PeerError("peer announced a frame longer than 32 MiB");
    std::string bytes;
    // The buffer grows as data arrives, so that a false length costs no memory.
    constexpr std::size_t chunkBytes = 64 * 1024;
    while (bytes.size() < size) {
        const std::size_t start = bytes.size();
        bytes.resize(std::min(size, start + chunkBytes));
        co_await asio::async_read(socket, asio::buffer(bytes.data() + start, bytes.size() - start),
                                  asio::use_awaitable);
    }
    co_return bytes;
}

} // namespace endivedock
