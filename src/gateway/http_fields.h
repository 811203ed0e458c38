#pragma once

#include "endivedock/gateway/http_message.h"

#include <boost/beast/http/fields.hpp>

namespace endivedock {

/** @return @p fields without the hop-by-hop fields (RFC 9110, section 7.6.1) */
HeaderFields endToEndFields(const boost::beast::http::fields &fields);

} // namespace endivedock
