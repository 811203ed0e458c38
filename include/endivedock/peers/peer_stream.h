#pragma once

#include "endivedock/peers/transport.h"

#include <functional>
#include <optional>

namespace endivedock {

/** No answer came over a stream. */
class PeerError : public Error
{
public:
    using Error::Error;
};

/** Sends one frame: its length in four bytes, most significant first, then the bytes. */
Task<> writeFrame(asio::ip::tcp::socket &socket, std::string bytes);
/** @throws PeerError if the peer closed, or announces a frame that is too long */
Task<std::string> readFrame(asio::ip::tcp::socket &socket);

/** Receiver of a question to whatever host is at an address. */
inline const HostId anyHost{0};

constexpr std::size_t maxFrameBytes = 32u << 20;
constexpr Milliseconds exchangeTimeout{3000};

/**
 * Questions and answers that may not fit a datagram, over TCP, one exchange for each connection.
 * Sealed like datagrams. An answer names the question's sequence number, so that an old one cannot
 * be passed off as new.
 */
template <MessageCodec Codec>
class StreamTransport
{
public:
    using Message = typename Codec::Message;
    /** @return the answer, or nothing to close the connection */
    using Handler = std::function<std::optional<Message>(const PeerHeader &, const Message &)>;

    StreamTransport(asio::any_io_executor executor, const Address &local, HostId self,
                    Incarnation incarnation, Sealer &sealer, Handler handler)
        : m_executor(executor)
        , m_acceptor(executor, tcpEndpoint(local), true)
        , m_self(self)
        , m_incarnation(incarnation)
        , m_sealer(sealer)
        , m_handler(std::move(handler))
        , m_sequence(systemRandom()())
    {
        startTask(m_executor, "stream-accept", accept());
    }

    /** @throws PeerError if no authentic answer came in time */
    Task<Message> request(HostId receiver, Address address, Message question)
    {
        asio::ip::tcp::socket socket(m_executor);
        asio::steady_timer timer(m_executor, exchangeTimeout);
        timer.async_wait([&socket](const boost::system::error_code &error) {
            if (!error)
                socket.close();
        });
        try {
            co_await socket.async_connect(tcpEndpoint(address), asio::use_awaitable);
            const PeerHeader header{m_self, m_incarnation, ++m_sequence, receiver};
            co_await writeFrame(socket, m_sealer.seal(Codec::encode(header, question)));
            const std::string sealed = co_await readFrame(socket);
            const auto plain = m_sealer.open(sealed);
            if (!plain)
                throw PeerError("the answer is not authentic");
            PeerHeader answered;
            Message answer = Codec::decode(*plain, answered);
            const bool expected = receiver == anyHost || answered.sender == receiver;
            if (!expected || answered.sequence != header.sequence)
                throw PeerError("the answer is to another question");
            co_return answer;
        } catch (const boost::system::system_error &error) {
            throw PeerError(formatAddress(address) + ": " + error.code().message());
        } catch (const MessageError &error) {
            throw PeerError(error.what());
        }
    }

private:
    Task<> accept()
    {
        while (true) {
            boost::system::error_code error;
            auto socket = co_await m_acceptor.async_accept(
                    asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (!error)
                startTask(m_executor, "stream", serve(std::move(socket)));
        }
    }

    Task<> serve(asio::ip::tcp::socket socket)
    {
        asio::steady_timer timer(m_executor, exchangeTimeout);
        timer.async_wait([&socket](const boost::system::error_code &error) {
            if (!error)
                socket.close();
        });
        try {
            const std::string sealed = co_await readFrame(socket);
            const auto plain = m_sealer.open(sealed);
            if (!plain)
                co_return;
            PeerHeader header;
            const Message question = Codec::decode(*plain, header);
            if (header.receiver != m_self && header.receiver != anyHost)
                co_return;
            const auto answer = m_handler(header, question);
            if (!answer)
                co_return;
            const PeerHeader back{m_self, m_incarnation, header.sequence, header.sender};
            co_await writeFrame(socket, m_sealer.seal(Codec::encode(back, *answer)));
        } catch (const boost::system::system_error &) {
            // The asking host gave up.
        } catch (const Error &) {
            // Neither authentic nor well-formed; there is nobody to answer.
        }
    }

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    HostId m_self;
    Incarnation m_incarnation;
    Sealer &m_sealer;
    Handler m_handler;
    std::uint64_t m_sequence;
};

} // namespace endivedock
