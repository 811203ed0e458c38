#include "endivedock/net/response_reader.h"

#include <algorithm>

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/read.hpp>

namespace endivedock {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using boost::system::system_error;

namespace {

constexpr std::uint32_t maxHeaderBytes = 64 * 1024;
/** Bounds what is held of a head, a chunk extension or a trailer. */
constexpr std::size_t maxBufferBytes = 128 * 1024;
constexpr std::size_t minReadBytes = 512;
constexpr std::size_t maxReadBytes = 64 * 1024;

} // namespace

ResponseReader::ResponseReader(beast::tcp_stream &stream)
    : m_stream(stream)
    , m_buffer(maxBufferBytes)
    , m_writeEnded(stream.get_executor())
{
}

void ResponseReader::setDeadline(TimePoint deadline)
{
    m_deadline = deadline;
    m_stream.expires_at(deadline);
}

void ResponseReader::throwIfOverdue() const
{
    // The timer of the stream only ends an operation that has to wait, which does not happen while
    // a peer sends without end.
    if (SteadyClock().now() >= m_deadline)
        throw system_error(beast::error::timeout);
}

void ResponseReader::endWrite(const error_code &error)
{
    m_isWriting = false;
    if (!m_writeError)
        m_writeError = error;
    m_writeEnded.deliver(true);
}

Task<> ResponseReader::readHead(bool isHeadRequest)
{
    m_isComplete = false;
    do {
        throwIfOverdue();
        m_hasFoldedLine = false;
        m_parser.emplace();
        m_parser->header_limit(maxHeaderBytes);
        m_parser->body_limit(boost::none);
        m_parser->skip(isHeadRequest);
        co_await parseHead();
    } while (checkHead() == HeadKind::Interim);
    m_isComplete = m_parser->is_done();
}

Task<> ResponseReader::parseHead()
{
    while (true) {
        error_code error;
        const auto received = m_buffer.cdata();
        const std::size_t parsed = m_parser->put(received, error);
        // The parser takes whole lines, and a line only together with those that continue it.
        m_hasFoldedLine |= containsFoldedLine({static_cast<const char *>(received.data()), parsed});
        m_buffer.consume(parsed);
        if (error && error != http::error::need_more)
            throw system_error(error);
        if (m_parser->is_header_done())
            co_return;
        const std::size_t room = beast::read_size(m_buffer, maxReadBytes);
        if (room == 0)
            throw system_error(http::error::buffer_overflow);
        const std::size_t count = co_await m_stream.async_read_some(
                m_buffer.prepare(room), asio::redirect_error(asio::use_awaitable, error));
        m_buffer.commit(count);
        if (error == asio::error::eof)
            error = m_parser->got_some() ? http::error::partial_message
                                         : http::error::end_of_stream;
        if (error)
            throw system_error(error);
    }
}

HeadKind ResponseReader::checkHead() const
{
    const HeadKind kind = kindOfHead(head().result_int());
    if (kind == HeadKind::Invalid)
        throw system_error(http::error::bad_status);
    if (m_hasFoldedLine)
        throw system_error(http::error::bad_field);
    const auto [begin, end] = head().equal_range(http::field::transfer_encoding);
    for (auto field = begin; field != end; ++field) {
        if (!isTransferCodingSupported(field->value()))
            throw system_error(http::error::bad_transfer_encoding);
    }
    return kind;
}

Task<std::size_t> ResponseReader::readBody(std::span<char> into)
{
    std::size_t bytesRead = 0;
    while (bytesRead == 0 && !m_isComplete) {
        throwIfOverdue();
        auto &body = m_parser->get().body();
        body.data = into.data();
        body.size = into.size();
        body.more = true;
        error_code error;
        co_await http::async_read_some(m_stream, m_buffer, *m_parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        // need_buffer reports that the present piece is full.
        if (error && error != http::error::need_buffer)
            throw system_error(error);
        bytesRead = into.size() - body.size;
        if (m_parser->is_done() && m_parser->need_eof())
            co_await confirmClose();
        m_isComplete = m_parser->is_done();
    }
    co_return bytesRead;
}

Task<std::string> ResponseReader::readWholeBody(std::size_t maxBytes)
{
    if (contentLength().value_or(0) > maxBytes)
        throw system_error(http::error::body_limit);
    std::string body;
    std::size_t filled = 0;
    while (!m_isComplete) {
        // The body grows as data arrives, so that a false length costs no memory.
        const std::uint64_t rest = contentLength() ? *contentLength() - filled : maxReadBytes;
        body.resize(filled + std::clamp<std::uint64_t>(rest, minReadBytes, maxReadBytes));
        filled += co_await readBody({body.data() + filled, body.size() - filled});
        if (filled > maxBytes)
            throw system_error(http::error::body_limit);
    }
    body.resize(filled);
    co_return body;
}

Task<> ResponseReader::confirmClose()
{
    if (m_isWriting) {
        // The response has ended, so the rest of the request is not needed. Closing the connection
        // ends the write, which reports a reset if it has met one.
        m_stream.close();
        while (m_isWriting)
            co_await m_writeEnded.wait(TimePoint::max());
    }
    if (isCutOff(m_writeError))
        throw system_error(m_writeError);
}

std::optional<std::uint64_t> ResponseReader::contentLength() const
{
    const auto length = m_parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

bool ResponseReader::mayReadNext() const
{
    // Bytes after the response belong to no request, so the connection cannot be trusted.
    return m_isComplete && m_parser->keep_alive() && m_buffer.size() == 0;
}

bool ResponseReader::isStale()
{
    error_code error;
    auto &socket = m_stream.socket();
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace endivedock
