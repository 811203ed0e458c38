#include "endivedock/peers/seal.h"

#include <sodium.h>

namespace endivedock {

namespace {

constexpr std::size_t nonceBytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr std::size_t tagBytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
static_assert(nonceBytes + tagBytes == Sealer::overheadBytes);
static_assert(crypto_aead_xchacha20poly1305_ietf_KEYBYTES == Sealer::keyBytes);

const unsigned char *bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

unsigned char *bytes(std::string &text)
{
    return reinterpret_cast<unsigned char *>(text.data());
}

} // namespace

Sealer::Sealer(const std::vector<std::string> &hexKeys)
{
    if (sodium_init() < 0)
        throw KeyError("libsodium cannot be initialized");
    setKeys(hexKeys);
}

void Sealer::setKeys(const std::vector<std::string> &hexKeys)
{
    std::vector<Key> keys;
    for (const auto &hex : hexKeys) {
        Key key{};
        std::size_t length = 0;
        const int outcome = sodium_hex2bin(key.data(), key.size(), hex.data(), hex.size(), nullptr,
                                           &length, nullptr);
        // The error does not contain the key, since the key is secret.
        if (outcome != 0 || length != key.size())
            throw KeyError("invalid peer key: expected 64 hexadecimal digits");
        keys.push_back(key);
    }
    if (keys.empty())
        throw KeyError("no peer key is configured: expected at least one");
    m_keys = std::move(keys);
}

std::string Sealer::seal(std::string_view plaintext) const
{
    std::string sealed(nonceBytes + plaintext.size() + tagBytes, '\0');
    randombytes_buf(sealed.data(), nonceBytes);
    unsigned long long length = 0;
    crypto_aead_xchacha20poly1305_ietf_encrypt(bytes(sealed) + nonceBytes, &length,
                                               bytes(plaintext), plaintext.size(), nullptr, 0,
                                               nullptr, bytes(sealed), m_keys.front().data());
    return sealed;
}

std::optional<std::string> Sealer::open(std::string_view sealed) const
{
    if (sealed.size() < overheadBytes)
        return std::nullopt;
    std::string plaintext(sealed.size() - overheadBytes, '\0');
    for (const auto &key : m_keys) {
        unsigned long long length = 0;
        const int outcome = crypto_aead_xchacha20poly1305_ietf_decrypt(
                bytes(plaintext), &length, nullptr, bytes(sealed) + nonceBytes,
                sealed.size() - nonceBytes, nullptr, 0, bytes(sealed), key.data());
        if (outcome == 0)
            return plaintext;
    }
    return std::nullopt;
}

} // namespace endivedock
