#include "endivedock/peers.h"

#include "../net_support.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <sstream>
#include <vector>

#include <boost/asio/write.hpp>

using namespace endivedock;
using endivedock::testing::anyLoopbackAddress;
using endivedock::testing::runTask;

namespace {

/** Messages of plain text. */
struct TextCodec
{
    using Message = std::string;
    static std::string encode(const PeerHeader &header, const Message &message)
    {
        std::ostringstream out;
        out << header.sender.value() << ' ' << header.incarnation.value() << ' ' << header.sequence
            << ' ' << header.receiver.value() << ' ' << message;
        return out.str();
    }
    static Message decode(std::string_view text, PeerHeader &header)
    {
        std::istringstream in{std::string(text)};
        HostId::Representation sender{}, receiver{};
        Incarnation::Representation incarnation{};
        in >> sender >> incarnation >> header.sequence >> receiver;
        header.sender = HostId(sender);
        header.incarnation = Incarnation(incarnation);
        header.receiver = HostId(receiver);
        in.get();
        return {std::istreambuf_iterator<char>(in), {}};
    }
};

} // namespace

class PeerStreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerStreamTest);
    CPPUNIT_TEST(slowTransfersComplete);
    CPPUNIT_TEST(silentHostsAreGivenUp);
    CPPUNIT_TEST(brokenResponsesAreErrors);
    CPPUNIT_TEST(requestsBeyondTheTransferLimitAreClosed);
    CPPUNIT_TEST(unsentBytesCountTowardsTheTransferLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Guards against a fleet that follows an old configuration: the transfers of many hosts that
     * share the link of one sender took longer than the time limit of an exchange, and none
     * completed.
     */
    void slowTransfersComplete()
    {
        start(std::string(200'000, 'x'));
        asio::ip::tcp::acceptor relay(m_context, tcpEndpoint(anyLoopbackAddress));
        startTask(m_context.get_executor(), "relay", relayTo(relay, 4'000, Milliseconds(80)));
        std::string response;
        runTask(m_context, requestInto(portOf(relay), response));
        CPPUNIT_ASSERT_EQUAL(std::size_t(200'000), response.size());
    }

    /** Guards against a host that asks nobody else while the host that it asked has ended. */
    void silentHostsAreGivenUp()
    {
        start("");
        asio::ip::tcp::acceptor silent(m_context, tcpEndpoint(anyLoopbackAddress));
        const TimePoint startedAt = SteadyClock().now();
        std::string response;
        CPPUNIT_ASSERT_THROW(runTask(m_context, requestInto(portOf(silent), response)), PeerError);
        CPPUNIT_ASSERT(SteadyClock().now() - startedAt < exchangeStallTimeout * 2);
    }

    /** Frames that the end of their connection cuts off, and frames that no host has sealed. */
    void brokenResponsesAreErrors()
    {
        start("");
        const std::string length("\0\0\0\x20", 4);
        const std::vector<std::string> responses{"",
                                                 length.substr(0, 2),
                                                 length,
                                                 length + std::string(31, 'x'),
                                                 length + std::string(32, 'x'),
                                                 std::string(4, '\0'),
                                                 std::string(4, '\xff')};
        for (const bool isReset : {false, true}) {
            for (const auto &text : responses) {
                asio::ip::tcp::acceptor server(m_context, tcpEndpoint(anyLoopbackAddress));
                startTask(m_context.get_executor(), "server", respond(server, text, isReset));
                std::string response;
                CPPUNIT_ASSERT_THROW(runTask(m_context, requestInto(portOf(server), response)),
                                     PeerError);
            }
        }
    }

    /** Guards against responses to all hosts at once that exceed the memory and the link. */
    void requestsBeyondTheTransferLimitAreClosed()
    {
        start(std::string(maxBytesInTransfer, 'x'));
        asio::ip::tcp::acceptor relay(m_context, tcpEndpoint(anyLoopbackAddress));
        startTask(m_context.get_executor(), "relay", relayTo(relay, 0, Milliseconds(10'000)));
        std::string stalled;
        startTask(m_context.get_executor(), "stalled", requestInto(portOf(relay), stalled));
        runTask(m_context, waitFor(Milliseconds(300)));
        std::string response;
        CPPUNIT_ASSERT_THROW(runTask(m_context, requestInto(m_port, response)), PeerError);
        // The stalled transfer ends, and the next request is answered.
        runTask(m_context, waitFor(exchangeStallTimeout * 2));
        runTask(m_context, requestInto(m_port, response));
        CPPUNIT_ASSERT_EQUAL(maxBytesInTransfer, response.size());
    }

    /**
     * Guards against responses to all hosts at once: those that fit the socket's send buffer are
     * still being transferred when the host has written them.
     */
    void unsentBytesCountTowardsTheTransferLimit()
    {
        constexpr std::size_t responseBytes = 270'000;
        constexpr std::size_t hostCount = 100;
        start(std::string(responseBytes, 'x'));
        std::vector<asio::ip::tcp::socket> sockets;
        for (std::size_t i = 0; i < hostCount; ++i) {
            auto &socket = sockets.emplace_back(m_context);
            socket.open(asio::ip::tcp::v4());
            socket.set_option(asio::socket_base::receive_buffer_size(4096));
            socket.connect(tcpEndpoint({"127.0.0.1", m_port}));
            runTask(m_context, requestWithoutReading(socket, i + 1));
        }
        runTask(m_context, waitFor(Milliseconds(300)));
        CPPUNIT_ASSERT_LESSEQUAL(maxBytesInTransfer + responseBytes,
                                 m_responseCount * responseBytes);
    }

private:
    using Streams = StreamTransport<TextCodec>;

    static std::uint16_t portOf(const asio::ip::tcp::acceptor &acceptor)
    {
        return acceptor.local_endpoint().port();
    }

    /** Starts a host that answers each request with @p response, and one that requests. */
    void start(std::string response)
    {
        {
            asio::ip::tcp::acceptor probe(m_context, tcpEndpoint(anyLoopbackAddress));
            m_port = portOf(probe);
        }
        m_server.emplace(m_context.get_executor(), Address{"127.0.0.1", m_port}, HostId(1),
                         Incarnation(1), m_sealer,
                         [this, response](const PeerHeader &, const std::string &) {
                             ++m_responseCount;
                             return response;
                         });
        m_client.emplace(m_context.get_executor(), anyLoopbackAddress, HostId(2), Incarnation(1),
                         m_sealer, [](const PeerHeader &, const std::string &) {
                             return std::optional<std::string>();
                         });
    }

    Task<> requestInto(std::uint16_t port, std::string &response)
    {
        const Address address{"127.0.0.1", port};
        std::string request = "all";
        response = co_await m_client->request(HostId(1), address, std::move(request));
    }

    Task<> requestWithoutReading(asio::ip::tcp::socket &socket, std::uint64_t sequence)
    {
        StallTimer timer(socket);
        const PeerHeader header{HostId(2), Incarnation(1), sequence, HostId(1)};
        co_await writeFrame(socket, m_sealer.seal(TextCodec::encode(header, "all")), timer);
    }

    /** Sends @p response to one request, then closes or resets the connection. */
    static Task<> respond(asio::ip::tcp::acceptor &acceptor, std::string response, bool isReset)
    {
        asio::ip::tcp::socket client = co_await acceptor.async_accept(asio::use_awaitable);
        std::array<char, 4096> request{};
        co_await client.async_read_some(asio::buffer(request), asio::use_awaitable);
        co_await asio::async_write(client, asio::buffer(response), asio::use_awaitable);
        client.set_option(asio::socket_base::linger(isReset, 0));
        client.close();
    }

    static Task<> waitFor(Milliseconds time) { co_await sleepFor(time); }

    /** Relays one exchange to the server; the response in steps of @p bytes after @p interval. */
    Task<> relayTo(asio::ip::tcp::acceptor &acceptor, std::size_t bytes, Milliseconds interval)
    {
        asio::ip::tcp::socket client = co_await acceptor.async_accept(asio::use_awaitable);
        asio::ip::tcp::socket server(m_context);
        const auto endpoint = tcpEndpoint({"127.0.0.1", m_port});
        co_await server.async_connect(endpoint, asio::use_awaitable);
        std::string buffer(std::max<std::size_t>(bytes, 4'000), '\0');
        const std::size_t size =
                co_await client.async_read_some(asio::buffer(buffer), asio::use_awaitable);
        co_await asio::async_write(server, asio::buffer(buffer.data(), size), asio::use_awaitable);
        while (true) {
            co_await sleepFor(interval);
            if (bytes == 0)
                continue;
            const std::size_t received = co_await server.async_read_some(
                    asio::buffer(buffer.data(), bytes), asio::use_awaitable);
            co_await asio::async_write(client, asio::buffer(buffer.data(), received),
                                       asio::use_awaitable);
        }
    }

    asio::io_context m_context;
    Sealer m_sealer{{std::string(64, 'a')}};
    std::uint16_t m_port = 0;
    std::size_t m_responseCount = 0;
    std::optional<Streams> m_server;
    std::optional<Streams> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerStreamTest);
