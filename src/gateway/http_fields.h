#pragma once

#include "endivedock/gateway/http_message.h"

#include <boost/beast/http/fields.hpp>

namespace endivedock {

/** @return the fields that concern the whole way, not one connection (RFC 9110, 7.6.1) */
HeaderFields endToEndFields(const boost::beast::http::fields &fields);

} // namespace endivedock
