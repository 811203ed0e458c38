#include "endivedock/net/response_reader.h"

#include "../scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/error.hpp>

using namespace endivedock;
using boost::system::error_code;
using endivedock::testing::ConnectionEnd;
using endivedock::testing::runTask;
using endivedock::testing::ScriptedServer;

namespace {

/** Ends the write of another task than that of the reader. */
Task<> reportWriteLater(ResponseReader &reader, error_code error)
{
    co_await sleepFor(Milliseconds(100));
    reader.endWrite(error);
}

/**
 * Reads a body that its close ends while a write is in progress, whose outcome becomes known after
 * the end of the stream.
 *
 * @return the body; nothing if it was cut off
 */
std::optional<std::string> readUntilClose(const error_code &writeError)
{
    asio::io_context context;
    ScriptedServer server(context,
                          {{{"HTTP/1.1 200 OK\r\n\r\nbody"}, ConnectionEnd::CloseSending}});
    std::optional<std::string> body;
    runTask(context,
            [](Address address, error_code error, std::optional<std::string> &result) -> Task<> {
                boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
                co_await stream.async_connect(tcpEndpoint(address), asio::use_awaitable);
                ResponseReader reader(stream);
                const std::string request = "GET / HTTP/1.1\r\n\r\n";
                co_await asio::async_write(stream, asio::buffer(request), asio::use_awaitable);
                reader.beginWrite();
                startTask(stream.get_executor(), "write", reportWriteLater(reader, error));
                try {
                    co_await reader.readHead(false);
                    std::array<char, 100> piece{};
                    std::string received;
                    while (const std::size_t count = co_await reader.readBody(piece))
                        received.append(piece.data(), count);
                    result = received;
                } catch (const boost::system::system_error &) {
                }
                co_await sleepFor(Milliseconds(200)); // The other task refers to the reader.
            }(server.address(), writeError, body));
    return body;
}

} // namespace

class ResponseReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResponseReaderTest);
    CPPUNIT_TEST(statusDecidesWhatFollowsAHead);
    CPPUNIT_TEST(foldedLinesAreFound);
    CPPUNIT_TEST(onlyKnownTransferCodingsAreSupported);
    CPPUNIT_TEST(resetBeforeTheCloseCutsOff);
    CPPUNIT_TEST(endOfTheStreamIsNotAcceptedWhileAWriteIsInProgress);
    CPPUNIT_TEST_SUITE_END();

public:
    void statusDecidesWhatFollowsAHead()
    {
        for (const unsigned status : {0u, 1u, 99u, 101u, 600u, 999u})
            CPPUNIT_ASSERT(kindOfHead(status) == HeadKind::Invalid);
        for (const unsigned status : {100u, 102u, 103u, 199u})
            CPPUNIT_ASSERT(kindOfHead(status) == HeadKind::Interim);
        for (const unsigned status : {200u, 204u, 304u, 404u, 500u, 599u})
            CPPUNIT_ASSERT(kindOfHead(status) == HeadKind::Final);
    }

    void foldedLinesAreFound()
    {
        CPPUNIT_ASSERT(containsFoldedLine("A: b\r\n c\r\n\r\n"));
        CPPUNIT_ASSERT(containsFoldedLine("A: b\r\n\tc: d\r\n\r\n"));
        CPPUNIT_ASSERT(!containsFoldedLine("A: b \r\nC:  \td\r\n\r\n"));
    }

    void onlyKnownTransferCodingsAreSupported()
    {
        for (const std::string_view codings : {"chunked", "Chunked", "identity"})
            CPPUNIT_ASSERT(isTransferCodingSupported(codings));
        for (const std::string_view codings : {"", "gzip", "gzip, chunked", "chunked, chunked"})
            CPPUNIT_ASSERT(!isTransferCodingSupported(codings));
    }

    void resetBeforeTheCloseCutsOff()
    {
        CPPUNIT_ASSERT(isCutOff(asio::error::connection_reset));
        CPPUNIT_ASSERT(isCutOff(asio::error::timed_out));
        CPPUNIT_ASSERT(!isCutOff(asio::error::broken_pipe));
        CPPUNIT_ASSERT(!isCutOff(asio::error::operation_aborted));
        CPPUNIT_ASSERT(!isCutOff({}));
    }

    /** The order in which two tasks learn of a reset is not defined. */
    void endOfTheStreamIsNotAcceptedWhileAWriteIsInProgress()
    {
        CPPUNIT_ASSERT(!readUntilClose(asio::error::connection_reset));
        CPPUNIT_ASSERT(readUntilClose(asio::error::broken_pipe) == "body");
        CPPUNIT_ASSERT(readUntilClose(asio::error::operation_aborted) == "body");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseReaderTest);
