#include "endivedock/store/etcd_store.h"

#include <algorithm>

#include <sodium.h>

namespace endivedock {

std::string encodeBase64(std::string_view text)
{
    // The length includes the terminating null byte that sodium writes.
    std::string result(sodium_base64_ENCODED_LEN(text.size(), sodium_base64_VARIANT_ORIGINAL),
                       '\0');
    sodium_bin2base64(result.data(), result.size(),
                      reinterpret_cast<const unsigned char *>(text.data()), text.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    result.pop_back();
    return result;
}

std::string decodeBase64(std::string_view text)
{
    // Where char is signed, sodium takes some bytes above 127 for characters of its alphabet.
    constexpr unsigned char firstNonAscii = 0x80;
    const bool isAscii = std::all_of(text.begin(), text.end(),
                                     [](unsigned char byte) { return byte < firstNonAscii; });
    if (!isAscii)
        throw StoreProtocolError("store response: expected a base64 value");
    std::string result(text.size(), '\0');
    std::size_t length = 0;
    const int status = sodium_base642bin(reinterpret_cast<unsigned char *>(result.data()),
                                         result.size(), text.data(), text.size(), nullptr, &length,
                                         nullptr, sodium_base64_VARIANT_ORIGINAL);
    if (status != 0)
        throw StoreProtocolError("store response: expected a base64 value");
    result.resize(length);
    return result;
}

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last < 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

} // namespace endivedock
