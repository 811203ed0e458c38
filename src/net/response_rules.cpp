#include "endivedock/net/response_rules.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>

namespace endivedock {

HeadKind kindOfHead(unsigned status)
{
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned firstInterim = 100;
    constexpr unsigned firstFinal = 200;
    constexpr unsigned last = 599;
    // No request asks for another protocol, so what follows such a head is not known.
    if (status < firstInterim || status > last || status == switchingProtocols)
        return HeadKind::Invalid;
    return status < firstFinal ? HeadKind::Interim : HeadKind::Final;
}

bool containsFoldedLine(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos ||
           head.find("\r\n\t") != std::string_view::npos;
}

bool isTransferCodingSupported(std::string_view codings)
{
    return boost::beast::iequals(codings, "chunked") || boost::beast::iequals(codings, "identity");
}

bool isCutOff(const boost::system::error_code &writeError)
{
    namespace error = boost::asio::error;
    // The last two are reported after this side has closed the connection.
    return writeError && writeError != error::broken_pipe &&
           writeError != error::operation_aborted && writeError != error::bad_descriptor;
}

} // namespace endivedock
