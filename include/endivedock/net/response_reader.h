#pragma once

#include "endivedock/net/one_shot_channel.h"
#include "endivedock/net/response_rules.h"
#include "endivedock/net/task.h"

#include <optional>
#include <span>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace endivedock {

/**
 * Reads the responses on an HTTP/1.1 connection and decides which heads are valid and which bodies
 * are complete. All clients read through this class, so that none accepts a response that another
 * one rejects.
 *
 * One task reads while another one may write. A client that reads on after a failed write encloses
 * its writes in beginWrite() and endWrite(), because the write may have taken the only evidence
 * that the connection was lost.
 */
class ResponseReader
{
public:
    /** @param stream  must outlive this object */
    explicit ResponseReader(boost::beast::tcp_stream &stream);

    /** Makes reads that are not complete by @p deadline fail with a timeout. */
    void setDeadline(TimePoint deadline);

    void beginWrite() { m_isWriting = true; }
    /** @param error  how the write ended */
    void endWrite(const boost::system::error_code &error);

    /**
     * Reads the head of the next final response; interim responses are skipped.
     *
     * @param isHeadRequest  whether the request was a HEAD request, whose response has no body
     * @throws boost::system::system_error if the connection failed or timed out, or the head is
     *         malformed or invalid
     */
    Task<> readHead(bool isHeadRequest);
    /**
     * Reads the next piece of the body.
     *
     * @return number of bytes read; 0 at the end of a complete body
     * @throws boost::system::system_error if the connection failed or timed out, or the body is
     *         malformed or was cut off
     */
    Task<std::size_t> readBody(std::span<char> into);
    /**
     * Reads the whole body.
     *
     * @throws boost::system::system_error as readBody(), or if the body exceeds @p maxBytes
     */
    Task<std::string> readWholeBody(std::size_t maxBytes);

    /** @return the head that readHead() has read */
    const boost::beast::http::response_header<> &head() const { return m_parser->get().base(); }
    bool isChunked() const { return m_parser->chunked(); }
    /** @return the length of the body as stated in the head; absent if the head states none */
    std::optional<std::uint64_t> contentLength() const;
    /** @return whether the response has been read to its end */
    bool isComplete() const { return m_isComplete; }
    /** @return whether the response is complete and another one may be read from the connection */
    bool mayReadNext() const;
    /**
     * @return whether the connection, on which no response is due, has been closed or has received
     *         bytes, which belong to no request
     */
    bool isStale();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    Task<> parseHead();
    /** @throws boost::system::system_error if the present head is invalid */
    HeadKind checkHead() const;
    /** Decides whether the end of the stream is the end of the body. */
    Task<> confirmClose();
    void throwIfOverdue() const;

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    /** A line of the present head continues the one before it. */
    bool m_hasFoldedLine = false;
    bool m_isComplete = false;
    bool m_isWriting = false;
    /** The first error of a write. */
    boost::system::error_code m_writeError;
    OneShotChannel<bool> m_writeEnded;
    TimePoint m_deadline = TimePoint::max();
};

} // namespace endivedock
