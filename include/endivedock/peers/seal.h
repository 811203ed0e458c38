#pragma once

#include "endivedock/core.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivedock {

/** A key that is unusable. */
class KeyError : public Error
{
public:
    using Error::Error;
};

/**
 * Seals and opens messages with XChaCha20-Poly1305 (libsodium). Several keys may open, one seals,
 * so that keys are changed host by host: add the new one everywhere, put it first, drop the old
 * one.
 */
class Sealer
{
public:
    /** @param hexKeys  64 hexadecimal digits each, at least one; the first one seals */
    explicit Sealer(const std::vector<std::string> &hexKeys);

    /** Replaces the keys; @throws KeyError and keeps the old ones if one is unusable */
    void setKeys(const std::vector<std::string> &hexKeys);

    std::string seal(std::string_view plain) const;
    /** @return the plain text, or nothing if no key opens it */
    std::optional<std::string> open(std::string_view sealed) const;

    static constexpr std::size_t keyBytes = 32;
    /** Bytes by which a sealed message is longer. */
    static constexpr std::size_t overheadBytes = 24 + 16;

private:
    using Key = std::array<unsigned char, keyBytes>;

    std::vector<Key> m_keys;
};

} // namespace endivedock
