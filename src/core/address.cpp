#include "endivedock/core/address.h"

#include <functional>

#include <charconv>

#include <arpa/inet.h>

namespace endivedock {

namespace {

bool isIpAddress(const std::string &text)
{
    in6_addr buffer{}; // Large enough for an address of either family.
    return inet_pton(AF_INET, text.c_str(), &buffer) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

} // namespace

Address parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    const AddressError error("'" + std::string(text) + "' is not an IP address with a port");
    if (colon == std::string_view::npos)
        throw error;
    std::string_view ip = text.substr(0, colon);
    if (ip.starts_with('[') && ip.ends_with(']'))
        ip = ip.substr(1, ip.size() - 2);
    Address address{std::string(ip), 0};
    const std::string_view port = text.substr(colon + 1);
    const auto [end, code] = std::from_chars(port.begin(), port.end(), address.port);
    if (code != std::errc{} || end != port.end() || !isIpAddress(address.ip))
        throw error;
    return address;
}

std::string formatAddress(const Address &address)
{
    const bool isIpv6 = address.ip.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

AddressHash hashAddress(const Address &address)
{
    const std::size_t hash = std::hash<std::string>{}(address.ip) * 31 + address.port;
    return AddressHash(static_cast<std::uint32_t>(hash ^ (hash >> 32)));
}

} // namespace endivedock
