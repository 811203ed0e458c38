#include "http_fields.h"

#include <algorithm>
#include <array>
#include <string>

#include <boost/beast/http/rfc7230.hpp>

namespace endivedock {

namespace http = boost::beast::http;

namespace {

constexpr std::array hopByHopFields{http::field::connection,
                                    http::field::keep_alive,
                                    http::field::te,
                                    http::field::transfer_encoding,
                                    http::field::upgrade,
                                    http::field::proxy_connection,
                                    http::field::content_length,
                                    http::field::expect,
                                    http::field::trailer,
                                    http::field::proxy_authenticate,
                                    http::field::proxy_authorization};

bool isNamedByConnection(const http::fields &fields, boost::beast::string_view name)
{
    return http::token_list(fields[http::field::connection]).exists(name);
}

} // namespace

HeaderFields endToEndFields(const http::fields &fields)
{
    HeaderFields result;
    for (const auto &field : fields) {
        if (std::find(hopByHopFields.begin(), hopByHopFields.end(), field.name()) !=
            hopByHopFields.end())
            continue;
        if (isNamedByConnection(fields, field.name_string()))
            continue;
        result.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return result;
}

} // namespace endivedock
