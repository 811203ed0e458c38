#pragma once

#include "endivedock/peers/transport.h"

#include <functional>
#include <memory>
#include <optional>

namespace endivedock {

/** An exchange over a stream failed, or its response is not valid. */
class PeerError : public Error
{
public:
    using Error::Error;
};

/** An exchange in which no bytes are transferred for this long has failed. */
constexpr Milliseconds exchangeStallTimeout{1000};
/** Bounds one exchange, on the side of each of the two hosts. */
constexpr Milliseconds exchangeTimeout{10'000};

/**
 * Closes a socket if no bytes were transferred for exchangeStallTimeout, or after exchangeTimeout.
 * A transfer that makes progress may be slow, so that transfers which share a link all complete.
 * The socket must outlive this object.
 */
class StallTimer
{
public:
    explicit StallTimer(asio::ip::tcp::socket &socket);

    void recordProgress();

private:
    TimePoint m_endsAt;
    SocketDeadline m_deadline;
};

/** Sends one frame: the length in four bytes in big-endian order, then the bytes. */
Task<> writeFrame(asio::ip::tcp::socket &socket, std::string bytes, StallTimer &timer);
/**
 * Receives one frame.
 *
 * @throws PeerError if the announced length exceeds maxFrameBytes
 * @throws boost::system::system_error if the connection failed or the peer closed it
 */
Task<std::string> readFrame(asio::ip::tcp::socket &socket, StallTimer &timer);

/** Receiver of a request to whichever host listens at an address. */
inline const HostId anyHost{0};

constexpr std::size_t maxFrameBytes = 32u << 20;
/**
 * While a host sends responses of this size or more in total, it closes the connections of further
 * requests without a response: the link is shared by few transfers, which therefore end early, and
 * the requesting hosts ask other hosts.
 */
constexpr std::size_t maxBytesInTransfer = 2u << 20;
/** Send buffer of a stream. Bytes in the buffer no longer count as bytes in transfer. */
constexpr int streamSendBufferBytes = 32 << 10;

/**
 * Requests and responses that may not fit a datagram, over TCP, with one exchange for each
 * connection. Messages are sealed like datagrams. A response contains the sequence number of its
 * request, so that an old response cannot be replayed for a new request.
 */
template <MessageCodec Codec>
class StreamTransport
{
public:
    using Message = typename Codec::Message;
    /** @return the response, or nothing to close the connection without one */
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

    /**
     * Sends a request and waits for the response.
     *
     * @param receiver  host that must answer, or anyHost
     * @throws PeerError if no authentic response of @p receiver came within exchangeTimeout, or
     * the transfer stalled for exchangeStallTimeout
     */
    Task<Message> request(HostId receiver, Address address, Message message)
    {
        asio::ip::tcp::socket socket(m_executor);
        StallTimer timer(socket);
        try {
            co_await socket.async_connect(tcpEndpoint(address), asio::use_awaitable);
            const PeerHeader header{m_self, m_incarnation, ++m_sequence, receiver};
            co_await writeFrame(socket, m_sealer.seal(Codec::encode(header, message)), timer);
            const std::string sealed = co_await readFrame(socket, timer);
            const auto plaintext = m_sealer.open(sealed);
            if (!plaintext)
                throw PeerError("response of the peer is not authentic");
            PeerHeader responseHeader;
            Message response = Codec::decode(*plaintext, responseHeader);
            const bool isExpectedSender = receiver == anyHost || responseHeader.sender == receiver;
            if (!isExpectedSender || responseHeader.sequence != header.sequence)
                throw PeerError(
                        "response of the peer is from another host or belongs to another request");
            co_return response;
        } catch (const boost::system::system_error &error) {
            throw PeerError(formatAddress(address) + ": " + error.code().message());
        } catch (const MessageError &error) {
            throw PeerError(error.what());
        }
    }

private:
    /** Counts a response in the bytes in transfer for as long as it is sent. */
    class TransferScope
    {
    public:
        TransferScope(std::shared_ptr<std::size_t> total, std::size_t bytes)
            : m_total(std::move(total))
            , m_bytes(bytes)
        {
            *m_total += m_bytes;
        }
        ~TransferScope() { *m_total -= m_bytes; }
        TransferScope(const TransferScope &) = delete;

    private:
        std::shared_ptr<std::size_t> m_total;
        std::size_t m_bytes;
    };

    Task<> accept()
    {
        while (true) {
            boost::system::error_code error;
            auto socket = co_await m_acceptor.async_accept(
                    asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error)
                co_await sleepFor(failedAcceptDelay);
            else
                startTask(m_executor, "stream", serve(std::move(socket)));
        }
    }

    Task<> serve(asio::ip::tcp::socket socket)
    {
        StallTimer timer(socket);
        try {
            const std::string sealed = co_await readFrame(socket, timer);
            const auto plaintext = m_sealer.open(sealed);
            if (!plaintext)
                co_return;
            PeerHeader header;
            const Message request = Codec::decode(*plaintext, header);
            if (header.receiver != m_self && header.receiver != anyHost)
                co_return;
            if (*m_bytesInTransfer >= maxBytesInTransfer)
                co_return;
            const auto response = m_handler(header, request);
            if (!response)
                co_return;
            const PeerHeader responseHeader{m_self, m_incarnation, header.sequence, header.sender};
            std::string frame = m_sealer.seal(Codec::encode(responseHeader, *response));
            const TransferScope transfer(m_bytesInTransfer, frame.size());
            boost::system::error_code ignored;
            socket.set_option(asio::socket_base::send_buffer_size(streamSendBufferBytes), ignored);
            co_await writeFrame(socket, std::move(frame), timer);
        } catch (const boost::system::system_error &) {
            // The requesting host closed the connection, or the timer did.
        } catch (const Error &) {
            // The frame is too long or its message is malformed, so no request can be answered.
        }
    }

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    HostId m_self;
    Incarnation m_incarnation;
    Sealer &m_sealer;
    Handler m_handler;
    std::uint64_t m_sequence;
    /** Bytes of the responses that are being sent; shared with their tasks, which may end later. */
    std::shared_ptr<std::size_t> m_bytesInTransfer = std::make_shared<std::size_t>(0);
};

} // namespace endivedock
