#pragma once

#include "endivedock/core/errors.h"
#include "endivedock/core/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace endivedock {

/** Text that is not an IP number with a port. */
class AddressError : public Error
{
public:
    using Error::Error;
};

/** An IP number and a port; names are never resolved. */
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

/**
 * @param text  "127.0.0.1:80" or "[::1]:80"
 * @throws AddressError if @p text is neither
 */
Address parseAddress(std::string_view text);

/** Hash of an address, short enough for messages; equal hashes only cost a wrong guess. */
using AddressHash = StrongId<struct AddressHashTag, std::uint32_t>;
AddressHash hashAddress(const Address &address);

/** @return the form that parseAddress reads */
std::string formatAddress(const Address &address);

} // namespace endivedock
