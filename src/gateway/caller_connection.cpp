#include "endivedock/gateway/caller_connection.h"

#include "http_fields.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace endivedock {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/** Room in the read buffer beyond the longest header, for the bytes that follow the header. */
constexpr std::size_t readAheadBytes = 48 * 1024;
/** Longest time to read or write one piece of a message. */
constexpr Seconds bodyPieceTimeout{30};
constexpr std::size_t scratchBufferBytes = 16 * 1024;
constexpr unsigned httpVersion10 = 10;
/** A read buffer that has grown beyond this is given back while the connection is idle. */
constexpr std::size_t idleBufferBytes = 16 * 1024;

using RequestParser = http::request_parser<http::buffer_body>;
using Response = http::response<http::buffer_body>;
using ResponseSerializer = http::response_serializer<http::buffer_body>;

/**
 * Receives what nobody needs. All connections share it, so that those that are refused hold nothing
 * for what they send.
 */
std::span<char> discardBuffer()
{
    static std::array<char, scratchBufferBytes> buffer;
    return buffer;
}

RequestHead makeHead(RequestParser &parser)
{
    const auto &message = parser.get();
    RequestHead head;
    head.method = std::string(message.method_string());
    head.path = std::string(message.target());
    head.fields = endToEndFields(message.base());
    head.framing.chunked = parser.chunked();
    if (const auto length = parser.content_length())
        head.framing.length = *length;
    head.expectsContinue = beast::iequals(message[http::field::expect], "100-continue");
    head.minorVersion = static_cast<int>(message.version() - httpVersion10);
    head.keepAlive = message.keep_alive();
    return head;
}

/**
 * Rejects requests that another server could parse differently (RFC 9112, sections 3.2 and 6.3).
 *
 * @throws CallerRequestError for repeated or conflicting Content-Length, Transfer-Encoding and Host
 */
void rejectAmbiguousFraming(const http::request_header<> &header)
{
    const auto lengthCount = header.count(http::field::content_length);
    const auto codingCount = header.count(http::field::transfer_encoding);
    const auto hostCount = header.count(http::field::host);
    const bool hasTransferCoding = codingCount > 0;
    const bool isChunked = beast::iequals(header[http::field::transfer_encoding], "chunked");
    const bool isHttp10 = header.version() < httpVersion10 + 1;
    if (lengthCount > 1 || codingCount > 1 || (lengthCount > 0 && hasTransferCoding) ||
        (hasTransferCoding && (!isChunked || isHttp10)))
        throw CallerRequestError(RefusalReason::BadRequest);
    if (hostCount > 1 || (hostCount == 0 && !isHttp10))
        throw CallerRequestError(RefusalReason::BadRequest);
}

} // namespace

class CallerConnection::Impl
{
public:
    explicit Impl(asio::ip::tcp::socket socket)
        : m_stream(std::move(socket))
    {
        // The error can be ignored: if the caller has disconnected, the first read fails.
        boost::system::error_code ignored;
        m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }

    Task<bool> awaitFirstByte(Milliseconds idleTimeout)
    {
        if (m_buffer.size() > 0)
            co_return true;
        boost::system::error_code error;
        m_stream.expires_after(idleTimeout);
        const std::size_t count = co_await m_stream.async_read_some(
                m_buffer.prepare(4096), asio::redirect_error(asio::use_awaitable, error));
        m_buffer.commit(count);
        co_return !error;
    }

    Task<std::optional<RequestHead>> readHead(CallerLimits limits)
    {
        m_buffer.max_size(limits.header.value() + readAheadBytes);
        if (m_buffer.size() == 0 && m_buffer.capacity() > idleBufferBytes)
            releaseBuffers();
        if (!co_await awaitFirstByte(limits.idleTimeout))
            co_return std::nullopt;
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(limits.header.value()));
        m_parser->body_limit(boost::none);
        boost::system::error_code error;
        m_stream.expires_after(limits.headerTimeout);
        co_await http::async_read_header(m_stream, m_buffer, *m_parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            throw CallerRequestError(RefusalReason::HeaderTooLarge);
        // Parse errors have the category of bad_method; an early end of the data is no parse error.
        if (error.category() == http::make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message)
            throw CallerRequestError(RefusalReason::BadRequest);
        if (error == asio::error::operation_aborted)
            co_return std::nullopt;
        if (error)
            throw CallerError(error.message());
        rejectAmbiguousFraming(m_parser->get().base());
        RequestHead head = makeHead(*m_parser);
        m_isContinueExpected = head.expectsContinue;
        co_return head;
    }

    Task<> sendContinue()
    {
        m_isContinueExpected = false;
        http::response<http::empty_body> interim(http::status::continue_, 11);
        co_await http::async_write(m_stream, interim, asio::use_awaitable);
    }

    Task<std::size_t> readBody(std::span<char> into)
    {
        std::size_t bytesRead = 0;
        try {
            if (m_isContinueExpected && !m_parser->is_done())
                co_await sendContinue();
            while (bytesRead == 0 && !m_parser->is_done()) {
                auto &body = m_parser->get().body();
                body.data = into.data();
                body.size = into.size();
                body.more = true;
                boost::system::error_code error;
                m_stream.expires_after(bodyPieceTimeout);
                co_await http::async_read_some(m_stream, m_buffer, *m_parser,
                                               asio::redirect_error(asio::use_awaitable, error));
                // The test matches that in readHead(); need_buffer only reports a full piece.
                if (error.category() == http::make_error_code(http::error::bad_method).category() &&
                    error != http::error::need_buffer && error != http::error::end_of_stream &&
                    error != http::error::partial_message)
                    throw CallerRequestError(RefusalReason::BadRequest);
                if (error && error != http::error::need_buffer)
                    throw boost::system::system_error(error);
                bytesRead = into.size() - m_parser->get().body().size;
            }
        } catch (const boost::system::system_error &error) {
            throw CallerError(error.code().message());
        }
        co_return bytesRead;
    }

    bool isBodyComplete() const { return m_parser && m_parser->is_done(); }

    Task<bool> discardInput(Milliseconds timeout)
    {
        releaseBuffers();
        const std::span<char> piece = discardBuffer();
        boost::system::error_code error;
        m_stream.expires_after(timeout);
        co_await m_stream.async_read_some(asio::buffer(piece.data(), piece.size()),
                                          asio::redirect_error(asio::use_awaitable, error));
        co_return !error || error == asio::error::operation_aborted;
    }

    bool hasInput() const
    {
        boost::system::error_code ignored; // A failed connection has no input.
        return m_buffer.size() > 0 || m_stream.socket().available(ignored) > 0;
    }

    bool hasUnsent() const
    {
        int count = 0;
        auto &socket = const_cast<beast::tcp_stream &>(m_stream).socket();
        return ioctl(socket.native_handle(), SIOCOUTQ, &count) == 0 && count > 0;
    }

    void cancelRead() { m_stream.cancel(); }

    void startResponse(const ResponseHead &head, const ResponseOptions &options)
    {
        const bool isHttp11 = options.minorVersion >= 1;
        bool keepAlive = options.keepAlive;
        m_response.emplace(static_cast<http::status>(head.status), isHttp11 ? 11 : 10);
        Response &response = *m_response;
        for (const auto &field : head.fields)
            response.insert(field.name, field.value);
        m_isContinueExpected = false;
        m_sendBy = options.sendBy;
        m_hasBody = !head.hasNoBody && !options.omitsBody;
        if (head.framing.length)
            response.content_length(*head.framing.length);
        else if (m_hasBody && isHttp11)
            response.chunked(true);
        else if (m_hasBody)
            keepAlive = false; // The end of the connection delimits the body.
        response.keep_alive(keepAlive);
        response.body().data = nullptr;
        response.body().size = 0;
        response.body().more = true;
        m_serializer.emplace(response);
    }

    Task<> sendResponse(ResponseHead head, std::span<const char> body, ResponseOptions options)
    {
        if (!head.hasNoBody)
            head.framing.length = body.size();
        startResponse(head, options);
        m_response->body().data = m_hasBody ? const_cast<char *>(body.data()) : nullptr;
        m_response->body().size = m_hasBody ? body.size() : 0;
        m_response->body().more = false;
        co_await write(!m_hasBody);
    }

    Task<> sendHead(ResponseHead head, ResponseOptions options)
    {
        startResponse(head, options);
        co_await write(true);
    }

    Task<> sendBody(std::span<const char> piece)
    {
        m_response->body().data = const_cast<char *>(piece.data());
        m_response->body().size = piece.size();
        m_response->body().more = true;
        co_await write(false);
    }

    Task<> endResponse()
    {
        if (!m_hasBody)
            co_return;
        m_response->body().data = nullptr;
        m_response->body().size = 0;
        m_response->body().more = false;
        co_await write(false);
    }

    Task<> write(bool headerOnly)
    {
        boost::system::error_code error;
        m_stream.expires_at(std::min<TimePoint>(SteadyClock().now() + bodyPieceTimeout, m_sendBy));
        if (headerOnly)
            co_await http::async_write_header(m_stream, *m_serializer,
                                              asio::redirect_error(asio::use_awaitable, error));
        else
            co_await http::async_write(m_stream, *m_serializer,
                                       asio::redirect_error(asio::use_awaitable, error));
        // need_buffer reports that the present piece has been written.
        if (error && error != http::error::need_buffer)
            throw CallerError(error.message());
    }

    std::span<char> scratchBuffer()
    {
        // Kept for the connection: a new allocation for each request would cost page faults.
        if (m_scratchBuffer.empty())
            m_scratchBuffer.resize(scratchBufferBytes);
        return m_scratchBuffer;
    }

    /** Gives back the memory for input, of which nothing is needed any more. */
    void releaseBuffers()
    {
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        std::vector<char>().swap(m_scratchBuffer);
    }

    void shutdownSend()
    {
        boost::system::error_code ignored; // The caller may have closed the connection first.
        m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    void abort()
    {
        boost::system::error_code ignored;
        // Resets the connection: after an orderly close, a response that is delimited by the end of
        // the connection would look complete.
        m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        m_stream.close();
    }

    void close() { m_stream.close(); }

private:
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    std::optional<Response> m_response;
    std::optional<ResponseSerializer> m_serializer;
    std::vector<char> m_scratchBuffer;
    bool m_isContinueExpected = false;
    bool m_hasBody = true;
    TimePoint m_sendBy = TimePoint::max();
};

CallerConnection::CallerConnection(asio::ip::tcp::socket socket)
    : m_impl(std::make_shared<Impl>(std::move(socket)))
{
}

CallerConnection::~CallerConnection() = default;

Task<std::optional<RequestHead>> CallerConnection::readHead(const CallerLimits &limits)
{
    return m_impl->readHead(limits);
}

Task<std::size_t> CallerConnection::readBody(std::span<char> into)
{
    return m_impl->readBody(into);
}

Task<std::size_t> CallerConnection::discardBody()
{
    return m_impl->readBody(discardBuffer());
}

bool CallerConnection::hasUnsent() const
{
    return m_impl->hasUnsent();
}

bool CallerConnection::isBodyComplete() const
{
    return m_impl->isBodyComplete();
}

Task<bool> CallerConnection::discardInput(Milliseconds timeout)
{
    return m_impl->discardInput(timeout);
}

bool CallerConnection::hasInput() const
{
    return m_impl->hasInput();
}

void CallerConnection::cancelRead()
{
    m_impl->cancelRead();
}

std::span<char> CallerConnection::scratchBuffer()
{
    return m_impl->scratchBuffer();
}

Task<> CallerConnection::sendResponse(const ResponseHead &head, std::span<const char> body,
                                      const ResponseOptions &options)
{
    return m_impl->sendResponse(head, body, options);
}

Task<> CallerConnection::sendHead(const ResponseHead &head, const ResponseOptions &options)
{
    return m_impl->sendHead(head, options);
}

Task<> CallerConnection::sendBody(std::span<const char> piece)
{
    return m_impl->sendBody(piece);
}

Task<> CallerConnection::endResponse()
{
    return m_impl->endResponse();
}

void CallerConnection::shutdownSend()
{
    m_impl->shutdownSend();
}

void CallerConnection::abort()
{
    m_impl->abort();
}

void CallerConnection::close()
{
    m_impl->close();
}

} // namespace endivedock
