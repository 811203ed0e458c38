#include "endivedock/gateway/target_connection.h"

#include "endivedock/net/response_reader.h"

#include "http_fields.h"

#include <algorithm>
#include <charconv>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace endivedock {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

using Request = http::request<http::buffer_body>;
using RequestSerializer = http::request_serializer<http::buffer_body>;

/** @return the value of "timeout=N", N in seconds, in a Keep-Alive field (RFC 2068) */
std::optional<Milliseconds> parseKeepAlive(beast::string_view value)
{
    constexpr std::string_view label = "timeout=";
    const std::size_t position = value.find(label);
    if (position == beast::string_view::npos)
        return std::nullopt;
    int seconds = 0;
    const char *begin = value.data() + position + label.size();
    const auto [end, code] = std::from_chars(begin, value.data() + value.size(), seconds);
    if (code != std::errc{} || seconds < 0)
        return std::nullopt;
    return Seconds(seconds);
}

TargetError targetError(const boost::system::error_code &error)
{
    return {error.message(), error == beast::error::timeout};
}

} // namespace

class TargetConnection::Impl : public std::enable_shared_from_this<TargetConnection::Impl>
{
public:
    explicit Impl(const asio::any_io_executor &executor)
        : m_stream(executor)
        , m_reader(m_stream)
    {
    }

    Task<> connect(Address target, TimePoint deadline)
    {
        boost::system::error_code error;
        m_stream.expires_at(deadline);
        co_await m_stream.async_connect(tcpEndpoint(target),
                                        asio::redirect_error(asio::use_awaitable, error));
        if (error)
            throw TargetConnectError(formatAddress(target) + ": " + error.message());
        // The error can be ignored: if the target has reset the connection, the first write fails.
        boost::system::error_code ignored;
        m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }

    void setDeadline(TimePoint deadline) { m_reader.setDeadline(deadline); }

    Task<> sendHead(const RequestHead &head)
    {
        m_isReusable = false;
        m_isRequestSent = false;
        m_isHeadRequest = head.method == "HEAD";
        m_request.emplace();
        m_request->version(11);
        m_request->method_string(head.method);
        m_request->target(head.path);
        for (const auto &field : head.fields)
            m_request->insert(field.name, field.value);
        m_hasBody = head.framing.chunked || head.framing.length;
        if (head.framing.chunked)
            m_request->chunked(true);
        else if (head.framing.length)
            m_request->content_length(*head.framing.length);
        m_request->body().data = nullptr;
        m_request->body().more = true;
        m_serializer.emplace(*m_request);
        boost::system::error_code error;
        m_reader.beginWrite();
        co_await http::async_write_header(m_stream, *m_serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
        endWrite(error);
    }

    Task<> sendBody(std::span<const char> piece)
    {
        m_request->body().data = const_cast<char *>(piece.data());
        m_request->body().size = piece.size();
        m_request->body().more = true;
        co_await writePiece();
    }

    Task<> endRequest()
    {
        m_request->body().data = nullptr;
        m_request->body().size = 0;
        m_request->body().more = false;
        if (m_hasBody)
            co_await writePiece();
        m_isRequestSent = true;
    }

    void sendBodyInBackground(std::shared_ptr<const void> owner, std::span<const char> body)
    {
        startTask(m_stream.get_executor(), "target-body",
                  writeBody(std::move(owner), body, shared_from_this()));
    }

    /**
     * @param owner  keeps @p body alive while the task writes
     * @param self   keeps this object alive while the task writes
     */
    Task<> writeBody([[maybe_unused]] std::shared_ptr<const void> owner, std::span<const char> body,
                     std::shared_ptr<Impl> self)
    {
        try {
            co_await self->sendBody(body);
            co_await self->endRequest();
        } catch (const TargetError &) {
            // The reader was told of the failure and decides what it means for the response.
        }
    }

    Task<> writePiece()
    {
        boost::system::error_code error;
        m_reader.beginWrite();
        co_await http::async_write(m_stream, *m_serializer,
                                   asio::redirect_error(asio::use_awaitable, error));
        // need_buffer reports that the present piece has been written.
        endWrite(error == http::error::need_buffer ? boost::system::error_code() : error);
    }

    void endWrite(const boost::system::error_code &error)
    {
        m_reader.endWrite(error);
        if (error)
            throw targetError(error);
    }

    Task<ResponseHead> readHead()
    {
        m_isReuseDecided = false;
        try {
            co_await m_reader.readHead(m_isHeadRequest);
        } catch (const boost::system::system_error &error) {
            throw targetError(error.code());
        }
        co_return makeHead();
    }

    ResponseHead makeHead()
    {
        const auto &received = m_reader.head();
        ResponseHead head;
        head.status = received.result_int();
        head.fields = endToEndFields(received);
        head.framing.chunked = m_reader.isChunked();
        head.framing.length = m_reader.contentLength();
        head.hasNoBody = m_isHeadRequest || head.status == 204 || head.status == 304;
        m_keepAliveTimeout = parseKeepAlive(received[http::field::keep_alive]);
        updateReusable();
        return head;
    }

    Task<std::size_t> readBody(std::span<char> into)
    {
        std::size_t bytesRead = 0;
        try {
            bytesRead = co_await m_reader.readBody(into);
        } catch (const boost::system::system_error &error) {
            throw targetError(error.code());
        }
        updateReusable();
        co_return bytesRead;
    }

    void updateReusable()
    {
        if (!m_reader.isComplete() || m_isReuseDecided)
            return;
        m_isReuseDecided = true;
        m_isReusable = m_isRequestSent && m_reader.mayReadNext();
    }

    bool isResponseComplete() const { return m_reader.isComplete(); }
    std::optional<Milliseconds> keepAliveTimeout() const { return m_keepAliveTimeout; }
    bool isReusable() const { return m_isReusable; }

    bool isStale() { return m_reader.isStale(); }
    void close() { m_stream.close(); }

private:
    beast::tcp_stream m_stream;
    ResponseReader m_reader;
    std::optional<Request> m_request;
    std::optional<RequestSerializer> m_serializer;
    bool m_isHeadRequest = false;
    bool m_hasBody = false;
    bool m_isRequestSent = false;
    bool m_isReusable = false;
    /** m_isReusable has been set for the present response. */
    bool m_isReuseDecided = false;
    std::optional<Milliseconds> m_keepAliveTimeout;
};

TargetConnection::TargetConnection(const asio::any_io_executor &executor)
    : m_impl(std::make_shared<Impl>(executor))
{
}

TargetConnection::~TargetConnection()
{
    m_impl->close();
}

Task<> TargetConnection::connect(Address target, TimePoint deadline)
{
    return m_impl->connect(std::move(target), deadline);
}

void TargetConnection::setDeadline(TimePoint deadline)
{
    m_impl->setDeadline(deadline);
}

Task<> TargetConnection::sendHead(const RequestHead &head)
{
    return m_impl->sendHead(head);
}

Task<> TargetConnection::sendBody(std::span<const char> piece)
{
    return m_impl->sendBody(piece);
}

Task<> TargetConnection::endRequest()
{
    return m_impl->endRequest();
}

Task<ResponseHead> TargetConnection::readHead()
{
    return m_impl->readHead();
}

Task<std::size_t> TargetConnection::readBody(std::span<char> into)
{
    return m_impl->readBody(into);
}

void TargetConnection::sendBodyInBackground(std::shared_ptr<const void> owner,
                                            std::span<const char> body)
{
    m_impl->sendBodyInBackground(std::move(owner), body);
}

bool TargetConnection::isResponseComplete() const
{
    return m_impl->isResponseComplete();
}

std::optional<Milliseconds> TargetConnection::keepAliveTimeout() const
{
    return m_impl->keepAliveTimeout();
}

bool TargetConnection::isReusable() const
{
    return m_impl->isReusable();
}

bool TargetConnection::isStale()
{
    return m_impl->isStale();
}

void TargetConnection::close()
{
    m_impl->close();
}

} // namespace endivedock
