#pragma once

#include <string_view>

#include <boost/system/error_code.hpp>

namespace endivedock {

/** What follows a response head with a certain status. */
enum class HeadKind {
    /** Another head: that of a further interim response, or of the final one. */
    Interim,
    /** The body, if there is one. */
    Final,
    /** Unknown, because the status does not exist, or announces another protocol. */
    Invalid,
};

/** @return what follows a head with the three-digit status @p status (RFC 9110, section 15) */
HeadKind kindOfHead(unsigned status);

/**
 * @param head  complete lines of a head as received
 * @return whether a line continues the one before it (obs-fold). Such a line can hide a field from
 *         one parser that another parser acts on, so a gateway may discard the response (RFC 9112,
 *         section 5.2).
 */
bool containsFoldedLine(std::string_view head);

/**
 * @param codings  value of Transfer-Encoding
 * @return whether the body is received without these codings once its framing is removed
 */
bool isTransferCodingSupported(std::string_view codings);

/**
 * A body without a length or chunks ends where the peer closes its sending side. After a reset, the
 * system reports the error to one write or read only, and the end of the stream to later reads. So
 * a write may have taken the only evidence that the body was cut off.
 *
 * @param writeError  the first error of a write on the connection
 * @return whether the connection was lost before the peer had closed its sending side. A reset
 *         after that is reported as a broken pipe, and only tells that the peer does not read on.
 */
bool isCutOff(const boost::system::error_code &writeError);

} // namespace endivedock
