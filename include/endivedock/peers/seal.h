#pragma once

#include "endivedock/core.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivedock {

/** A peer key is missing or malformed, or the cryptographic library failed to start. */
class KeyError : public Error
{
public:
    using Error::Error;
};

/**
 * Seals and opens messages with XChaCha20-Poly1305 (libsodium). Every key opens messages, and
 * only the first key seals messages, so that keys can be rotated host by host: add the new key on
 * all hosts, move it to the front, then remove the old key.
 */
class Sealer
{
public:
    /**
     * @param hexKeys  at least one key of 64 hexadecimal digits; the first one seals
     * @throws KeyError if a key is malformed, if there is none, or if libsodium cannot start
     */
    explicit Sealer(const std::vector<std::string> &hexKeys);

    /**
     * Replaces the keys.
     *
     * @throws KeyError if a key is malformed or there is none; the old keys then stay in use
     */
    void setKeys(const std::vector<std::string> &hexKeys);

    /** @return a random nonce, followed by the ciphertext and its authentication tag */
    std::string seal(std::string_view plaintext) const;
    /** @return the plaintext, or nothing if no key opens @p sealed */
    std::optional<std::string> open(std::string_view sealed) const;

    static constexpr std::size_t keyBytes = 32;
    /** Bytes by which a sealed message is longer: the nonce and the authentication tag. */
    static constexpr std::size_t overheadBytes = 24 + 16;

private:
    using Key = std::array<unsigned char, keyBytes>;

    std::vector<Key> m_keys;
};

} // namespace endivedock
