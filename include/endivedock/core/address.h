#pragma once

#include "endivedock/core/errors.h"
#include "endivedock/core/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace endivedock {

/** The text is not an IP address with a port. */
class AddressError : public Error
{
public:
    using Error::Error;
};

/** An IP address and a port. Host names are not supported and never resolved. */
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

/**
 * Parses an address.
 *
 * @param text  an IPv4 address such as "127.0.0.1:80", or an IPv6 address such as "[::1]:80"
 * @throws AddressError if @p text is not an IP address with a port
 */
Address parseAddress(std::string_view text);

/**
 * Hash of an address, sent in messages because it is shorter than the address. A collision is
 * harmless: the placing host then only assumes a connection to a target to which none is open.
 */
using AddressHash = StrongId<struct AddressHashTag, std::uint32_t>;
/** @return the hash of IP address and port; depends on std::hash of the standard library */
AddressHash hashAddress(const Address &address);

/** @return @p address in the form that parseAddress() reads */
std::string formatAddress(const Address &address);

} // namespace endivedock
