#include "endivedock/net/response_rules.h"

#include <boost/asio/error.hpp>

namespace endivedock {

bool isCutOff(const boost::system::error_code &writeError)
{
    namespace error = boost::asio::error;
    // The last two are reported after this side has closed the connection.
    return writeError && writeError != error::broken_pipe &&
           writeError != error::operation_aborted && writeError != error::bad_descriptor;
}

} // namespace endivedock
