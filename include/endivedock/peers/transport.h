#pragma once

#include "endivedock/net.h"
#include "endivedock/peers/replay_window.h"
#include "endivedock/peers/seal.h"

#include <functional>
#include <string>

namespace endivedock {

/** An authentic message from a peer cannot be decoded. */
class MessageError : public Error
{
public:
    using Error::Error;
};

/** Header of each message between hosts. */
struct PeerHeader
{
    HostId sender;
    /** Incarnation of the sender. */
    Incarnation incarnation;
    /**
     * Incremented with each message of the sender's transport. The response to a request over a
     * stream repeats the number of the request.
     */
    std::uint64_t sequence = 0;
    HostId receiver;
};

/** Counters of datagrams, for metrics; they only increase. */
struct TransportCounters
{
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t unauthenticDatagrams = 0;
    /**
     * Datagrams that ReplayWindow refused, and datagrams that do not name this host as receiver or
     * name this host as sender.
     */
    std::uint64_t replayedDatagrams = 0;
    std::uint64_t malformedDatagrams = 0;
    /** Datagrams whose handling ended with an unexpected error. */
    std::uint64_t failedDatagrams = 0;
    /** Datagrams that were not sent because they exceed maxDatagramBytes. */
    std::uint64_t tooLongDatagrams = 0;
    /** Datagrams that the operating system had no buffer space for or refused to send. */
    std::uint64_t sendFailures = 0;
};

/**
 * Encodes and decodes a message type with its header. The function decode sets its second argument
 * to the header, and throws MessageError if the text cannot be decoded.
 */
template <typename C>
concept MessageCodec = requires(const PeerHeader &header, const typename C::Message &message,
                                PeerHeader &headerOut, std::string_view text) {
    {
        C::encode(header, message)
    } -> std::same_as<std::string>;
    {
        C::decode(text, headerOut)
    } -> std::same_as<typename C::Message>;
};

/** Longest datagram that is sent. Longer datagrams risk being fragmented on the way. */
constexpr std::size_t maxDatagramBytes = 8192;
constexpr int receiveBufferBytes = 4 << 20;

/**
 * Sends and receives the datagrams of one host. Tolerates lost, reordered, duplicated and forged
 * datagrams: every message that it delivers is authentic and new, but a message may get lost.
 *
 * @tparam Codec  encoding of the messages
 */
template <MessageCodec Codec>
class DatagramTransport
{
public:
    using Message = typename Codec::Message;
    /** Receives each message, with its header and the address of the sender. */
    using Handler = std::function<void(const PeerHeader &, Message, Address)>;

    /** @throws boost::system::system_error if @p local cannot be bound */
    DatagramTransport(asio::any_io_executor executor, const Address &local, HostId self,
                      Incarnation incarnation, Sealer &sealer, Handler handler)
        : m_socket(executor, udpEndpoint(local))
        , m_self(self)
        , m_incarnation(incarnation)
        , m_sealer(sealer)
        , m_handler(std::move(handler))
    {
        m_socket.non_blocking(true);
        // The receive buffer holds bursts while the thread is busy.
        boost::system::error_code ignored;
        m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
        startTask(executor, "datagrams", receive());
    }

    /** Sends without waiting; a datagram that cannot be sent at once is dropped and counted. */
    void send(HostId receiver, const Address &address, const Message &message)
    {
        if (!sendIfShort(receiver, address, message))
            ++m_counters.tooLongDatagrams;
    }

    /**
     * As send(), for messages that the caller can divide.
     *
     * @return false, without an effect, if the message is longer than maxDatagramBytes
     */
    bool sendIfShort(HostId receiver, const Address &address, const Message &message)
    {
        const PeerHeader header{m_self, m_incarnation, ++m_sequence, receiver};
        const std::string text = Codec::encode(header, message);
        if (text.size() + Sealer::overheadBytes > maxDatagramBytes)
            return false;
        sendSealed(m_sealer.seal(text), address);
        return true;
    }

    const TransportCounters &counters() const { return m_counters; }

private:
    void sendSealed(const std::string &sealed, const Address &address)
    {
        boost::system::error_code error;
        m_socket.send_to(asio::buffer(sealed), udpEndpoint(address), 0, error);
        if (error) {
            ++m_counters.sendFailures;
            return;
        }
        ++m_counters.sentDatagrams;
        m_counters.sentBytes += sealed.size();
    }

    Task<> receive()
    {
        std::string buffer(maxDatagramBytes, '\0');
        while (true) {
            asio::ip::udp::endpoint from;
            boost::system::error_code error;
            const std::size_t size = co_await m_socket.async_receive_from(
                    asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error)
                continue; // For example, a stopped host refused a datagram from this host.
            ++m_counters.receivedDatagrams;
            m_counters.receivedBytes += size;
            handleDatagram(std::string_view(buffer.data(), size), from);
        }
    }

    void handleDatagram(std::string_view sealed, const asio::ip::udp::endpoint &from)
    {
        const auto plaintext = m_sealer.open(sealed);
        if (!plaintext) {
            ++m_counters.unauthenticDatagrams;
            return;
        }
        try {
            PeerHeader header;
            Message message = Codec::decode(*plaintext, header);
            const bool isForThisHost = header.receiver == m_self && header.sender != m_self;
            if (!isForThisHost ||
                !m_replayWindow.accept(header.sender, header.incarnation, header.sequence)) {
                ++m_counters.replayedDatagrams;
                return;
            }
            m_handler(header, std::move(message), {from.address().to_string(), from.port()});
        } catch (const MessageError &) {
            ++m_counters.malformedDatagrams;
        } catch (const InvariantError &) {
            throw;
        } catch (const std::exception &error) {
            // A host that stops to receive would be deaf to its peers while it seems to work.
            ++m_counters.failedDatagrams;
            m_log.error("Datagram could not be handled", {field("error", error.what())});
        }
    }

    asio::ip::udp::socket m_socket;
    HostId m_self;
    Incarnation m_incarnation;
    Sealer &m_sealer;
    Handler m_handler;
    ReplayWindow m_replayWindow;
    std::uint64_t m_sequence = 0;
    TransportCounters m_counters;
    Log m_log{"peers"};
};

} // namespace endivedock
