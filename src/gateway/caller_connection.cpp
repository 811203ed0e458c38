#include "endivedock/gateway/caller_connection.h"

#include "http_fields.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace endivedock {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint32_t maxHeaderBytes = 16 * 1024;
constexpr std::size_t readBufferBytes = 64 * 1024;
constexpr Seconds idleTimeout{120};
/** A header must arrive whole within this time of its first byte. */
constexpr Seconds headerTimeout{10};
constexpr Seconds bodyPieceTimeout{30};
constexpr std::size_t scratchBytes = 16 * 1024;

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
    return head;
}

/** Two framings, or two lengths, could be read in two ways by two servers. */
void refuseAmbiguousFraming(const http::fields &fields)
{
    const auto lengths = fields.count(http::field::content_length);
    const auto codings = fields.count(http::field::transfer_encoding);
    if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0))
        throw CallerRequestError(RefusalReason::BadRequest);
}

} // namespace

class CallerConnection::Impl : public std::enable_shared_from_this<CallerConnection::Impl>
{
public:
    explicit Impl(asio::ip::tcp::socket socket)
        : m_stream(std::move(socket))
        , m_buffer(readBufferBytes)
    {
        m_stream.socket().set_option(asio::ip::tcp::no_delay(true));
    }

    Task<bool> awaitFirstByte()
    {
        if (m_buffer.size() > 0)
            co_return true;
        boost::system::error_code error;
        m_idle = true;
        m_stream.expires_after(idleTimeout);
        const std::size_t count = co_await m_stream.async_read_some(
                m_buffer.prepare(4096), asio::redirect_error(asio::use_awaitable, error));
        m_idle = false;
        m_buffer.commit(count);
        co_return !error;
    }

    Task<std::optional<RequestHead>> readHead()
    {
        if (m_stopping || !co_await awaitFirstByte())
            co_return std::nullopt;
        m_parser.emplace();
        m_parser->header_limit(maxHeaderBytes);
        m_parser->body_limit(boost::none);
        boost::system::error_code error;
        m_stream.expires_after(headerTimeout);
        co_await http::async_read_header(m_stream, m_buffer, *m_parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            throw CallerRequestError(RefusalReason::HeaderTooLarge);
        if (error.category() == http::make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message)
            throw CallerRequestError(RefusalReason::BadRequest);
        if (error)
            throw CallerError(error.message());
        refuseAmbiguousFraming(m_parser->get().base());
        m_keepAlive = m_parser->get().keep_alive();
        m_version = m_parser->get().version();
        m_isHead = m_parser->get().method() == http::verb::head;
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
                if (error && error != http::error::need_buffer)
                    throw boost::system::system_error(error);
                produced = into.size() - m_parser->get().body().size;
            }
        } catch (const boost::system::system_error &error) {
            throw CallerError(error.code().message());
        }
        co_return produced;
    }

    bool bodyDone() const { return m_parser && m_parser->is_done(); }

    /** @param self  keeps this object while the task waits */
    Task<> watchSocket(std::function<void()> onGone, std::shared_ptr<Impl> self)
    {
        boost::system::error_code error;
        const std::uint64_t watchNumber = m_watchNumber;
        co_await self->m_stream.socket().async_wait(
                asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        // A wait that ended just before unwatch() must not act for a later watch().
        if (error || !m_watched || watchNumber != m_watchNumber)
            co_return;
        boost::system::error_code ignored;
        // Readable with nothing to read is the end; data is a further request, sent early.
        if (m_stream.socket().available(ignored) == 0)
            onGone();
    }

    void watch(std::function<void()> onGone)
    {
        if (m_buffer.size() > 0)
            return;
        m_watched = true;
        ++m_watchNumber;
        m_stream.expires_never();
        startTask(m_stream.get_executor(), "caller-watch",
                  watchSocket(std::move(onGone), shared_from_this()));
    }

    void unwatch()
    {
        if (!m_watched)
            return;
        m_watched = false;
        m_stream.cancel();
    }

    Task<> sendHead(const AnswerHead &head)
    {
        m_response.emplace(static_cast<http::status>(head.status), m_version);
        Response &response = *m_response;
        for (const auto &field : head.fields)
            response.insert(field.name, field.value);
        m_continueOwed = false;
        m_chunkedAnswer = false;
        m_bodyAllowed = !head.bodiless && !m_isHead;
        if (head.framing.length)
            response.content_length(*head.framing.length);
        else if (m_bodyAllowed && m_version >= 11)
            m_chunkedAnswer = true;
        else if (m_bodyAllowed)
            m_keepAlive = false;
        if (m_chunkedAnswer)
            response.chunked(true);
        // What is left of a body that nobody read would be taken for the next request.
        if (!bodyDone() || m_stopping)
            m_keepAlive = false;
        response.keep_alive(m_keepAlive);
        response.body().data = nullptr;
        response.body().more = true;
        m_serializer.emplace(response);
        co_await write(true);
    }

    Task<> sendBody(std::span<const char> piece)
    {
        m_response->body().data = const_cast<char *>(piece.data());
        m_response->body().size = piece.size();
        m_response->body().more = true;
        co_await write(false);
    }

    Task<> endAnswer()
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

    std::span<char> scratch()
    {
        // Most connections carry many requests; a new piece for each would cost page faults.
        if (m_scratch.empty())
            m_scratch.resize(scratchBytes);
        return m_scratch;
    }

    bool reusable() const { return m_keepAlive && !m_stopping; }
    void closeAfterAnswer() { m_keepAlive = false; }

    void abort()
    {
        boost::system::error_code ignored;
        m_keepAlive = false;
        // A reset, not an orderly end, so that an answer delimited by the end is seen as cut off.
        m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        m_stream.close();
    }

    void stopWhenIdle()
    {
        m_stopping = true;
        if (m_idle)
            m_stream.cancel();
    }

private:
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    std::optional<Response> m_response;
    std::optional<ResponseSerializer> m_serializer;
    std::vector<char> m_scratch;
    bool m_keepAlive = true;
    bool m_isHead = false;
    bool m_continueOwed = false;
    bool m_chunkedAnswer = false;
    bool m_bodyAllowed = true;
    bool m_watched = false;
    std::uint64_t m_watchNumber = 0;
    bool m_idle = false;
    bool m_stopping = false;
    unsigned m_version = 11;
};

CallerConnection::CallerConnection(asio::ip::tcp::socket socket)
    : m_impl(std::make_shared<Impl>(std::move(socket)))
{
}

CallerConnection::~CallerConnection() = default;

Task<std::optional<RequestHead>> CallerConnection::readHead()
{
    return m_impl->readHead();
}

Task<std::size_t> CallerConnection::readBody(std::span<char> into)
{
    return m_impl->readBody(into);
}

bool CallerConnection::bodyDone() const
{
    return m_impl->bodyDone();
}

void CallerConnection::watch(std::function<void()> onGone)
{
    m_impl->watch(std::move(onGone));
}

void CallerConnection::unwatch()
{
    m_impl->unwatch();
}

std::span<char> CallerConnection::scratch()
{
    return m_impl->scratch();
}

Task<> CallerConnection::sendHead(const AnswerHead &head)
{
    return m_impl->sendHead(head);
}

Task<> CallerConnection::sendBody(std::span<const char> piece)
{
    return m_impl->sendBody(piece);
}

Task<> CallerConnection::endAnswer()
{
    return m_impl->endAnswer();
}

bool CallerConnection::reusable() const
{
    return m_impl->reusable();
}

void CallerConnection::closeAfterAnswer()
{
    m_impl->closeAfterAnswer();
}

void CallerConnection::abort()
{
    m_impl->abort();
}

void CallerConnection::stopWhenIdle()
{
    m_impl->stopWhenIdle();
}

} // namespace endivedock
