#include "endivedock/gateway/caller_connection.h"

#include "http_fields.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace endivedock {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/** The buffer holds the longest header and the start of what follows it. */
constexpr std::size_t readAheadBytes = 48 * 1024;
constexpr Seconds bodyPieceTimeout{30};
constexpr std::size_t scratchBytes = 16 * 1024;
constexpr unsigned httpOne = 10;

using RequestParser = http::request_parser<http::buffer_body>;
using Response = http::response<http::buffer_body>;
using ResponseSerializer = http::response_serializer<http::buffer_body>;

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
    head.minorVersion = static_cast<int>(message.version() - httpOne);
    head.keepAlive = message.keep_alive();
    return head;
}

/** Two servers could read such a message in two ways (RFC 9112, sections 3.2 and 6.3). */
void refuseAmbiguity(const http::request_header<> &header)
{
    const auto lengths = header.count(http::field::content_length);
    const auto codings = header.count(http::field::transfer_encoding);
    const auto hosts = header.count(http::field::host);
    const bool coded = codings > 0;
    const bool onlyChunked = beast::iequals(header[http::field::transfer_encoding], "chunked");
    const bool old = header.version() < httpOne + 1;
    if (lengths > 1 || codings > 1 || (lengths > 0 && coded) || (coded && (!onlyChunked || old)))
        throw CallerRequestError(RefusalReason::BadRequest);
    if (hosts > 1 || (hosts == 0 && !old))
        throw CallerRequestError(RefusalReason::BadRequest);
}

} // namespace

class CallerConnection::Impl
{
public:
    explicit Impl(asio::ip::tcp::socket socket)
        : m_stream(std::move(socket))
    {
        boost::system::error_code
                ignored; // A caller that has gone already shows at the first read.
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
        if (error.category() == http::make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message)
            throw CallerRequestError(RefusalReason::BadRequest);
        if (error)
            throw CallerError(error.message());
        refuseAmbiguity(m_parser->get().base());
        RequestHead head = makeHead(*m_parser);
        m_continueOwed = head.expectsContinue;
        co_return head;
    }

    Task<> sendContinue()
    {
        m_continueOwed = false;
        http::response<http::empty_body> interim(http::status::continue_, 11);
        co_await http::async_write(m_stream, interim, asio::use_awaitable);
    }

    Task<std::size_t> readBody(std::span<char> into)
    {
        std::size_t produced = 0;
        try {
            if (m_continueOwed && !m_parser->is_done())
                co_await sendContinue();
            while (produced == 0 && !m_parser->is_done()) {
                auto &body = m_parser->get().body();
                body.data = into.data();
                body.size = into.size();
                body.more = true;
                boost::system::error_code error;
                m_stream.expires_after(bodyPieceTimeout);
                co_await http::async_read_some(m_stream, m_buffer, *m_parser,
                                               asio::redirect_error(asio::use_awaitable, error));
                if (error.category() == http::make_error_code(http::error::bad_method).category() &&
                    error != http::error::need_buffer && error != http::error::end_of_stream &&
                    error != http::error::partial_message)
                    throw CallerRequestError(RefusalReason::BadRequest);
                if (error && error != http::error::need_buffer)
                    throw boost::system::system_error(error);
                produced = into.size() - m_parser->get().body().size;
            }
        } catch (const boost::system::system_error &error) {
            throw CallerError(error.code().message());
        }
        co_return produced;
    }

    bool isBodyComplete() const { return m_parser && m_parser->is_done(); }

    void startAnswer(const ResponseHead &head, const ResponseOptions &options)
    {
        const bool persistent = options.minorVersion >= 1;
        bool keepAlive = options.keepAlive;
        m_response.emplace(static_cast<http::status>(head.status), persistent ? 11 : 10);
        Response &response = *m_response;
        for (const auto &field : head.fields)
            response.insert(field.name, field.value);
        m_continueOwed = false;
        m_bodyAllowed = !head.hasNoBody && !options.headOnly;
        if (head.framing.length)
            response.content_length(*head.framing.length);
        else if (m_bodyAllowed && persistent)
            response.chunked(true);
        else if (m_bodyAllowed)
            keepAlive = false;
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
        startAnswer(head, options);
        m_response->body().data = m_bodyAllowed ? const_cast<char *>(body.data()) : nullptr;
        m_response->body().size = m_bodyAllowed ? body.size() : 0;
        m_response->body().more = false;
        co_await write(!m_bodyAllowed);
    }

    Task<> sendHead(ResponseHead head, ResponseOptions options)
    {
        startAnswer(head, options);
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
        if (!m_bodyAllowed)
            co_return;
        m_response->body().data = nullptr;
        m_response->body().size = 0;
        m_response->body().more = false;
        co_await write(false);
    }

    Task<> write(bool headOnly)
    {
        boost::system::error_code error;
        m_stream.expires_after(bodyPieceTimeout);
        if (headOnly)
            co_await http::async_write_header(m_stream, *m_serializer,
                                              asio::redirect_error(asio::use_awaitable, error));
        else
            co_await http::async_write(m_stream, *m_serializer,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer)
            throw CallerError(error.message());
    }

    std::span<char> scratchBuffer()
    {
        // Most connections carry many requests; a new piece for each would cost page faults.
        if (m_scratch.empty())
            m_scratch.resize(scratchBytes);
        return m_scratch;
    }

    void shutdownSend()
    {
        boost::system::error_code ignored; // The caller may have closed first.
        m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    void abort()
    {
        boost::system::error_code ignored;
        // A reset, not an orderly end, so that an answer delimited by the end is seen as cut off.
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
    std::vector<char> m_scratch;
    bool m_continueOwed = false;
    bool m_bodyAllowed = true;
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

bool CallerConnection::isBodyComplete() const
{
    return m_impl->isBodyComplete();
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
