#include "endivedock/teams/team_directory.h"

#include <sodium.h>

namespace endivedock {

namespace {

using HashKey = std::array<unsigned char, crypto_generichash_KEYBYTES>;

constexpr std::size_t digestBytes = 32;
constexpr std::size_t drawnKeyBytes = 32;
constexpr std::string_view hexDigits = "0123456789abcdef";

void initialiseSodium()
{
    if (sodium_init() < 0)
        throw TeamKeyError("libsodium cannot be initialised");
}

std::string toHex(const unsigned char *bytes, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += hexDigits[bytes[i] >> 4];
        result += hexDigits[bytes[i] & 15];
    }
    return result;
}

/** @return the key of this process's hashes */
const HashKey &hashKey()
{
    static const HashKey key = [] {
        initialiseSodium();
        HashKey result{};
        randombytes_buf(result.data(), result.size());
        return result;
    }();
    return key;
}

} // namespace

std::string digestOf(std::string_view key)
{
    std::array<unsigned char, digestBytes> digest{};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    return toHex(digest.data(), digest.size());
}

bool isDigest(std::string_view text)
{
    return text.size() == 2 * digestBytes &&
           text.find_first_not_of(hexDigits) == std::string_view::npos;
}

std::string drawKey()
{
    initialiseSodium();
    std::array<unsigned char, drawnKeyBytes> key{};
    randombytes_buf(key.data(), key.size());
    return toHex(key.data(), key.size());
}

TeamDirectory::TeamDirectory(const std::vector<TeamKeys> &teams, KeyForm form)
    : m_form(form)
{
    for (const auto &entry : teams) {
        for (const auto &key : entry.keys) {
            if (key.empty())
                throw TeamKeyError("a key of team " + entry.team.id.value() + " is empty");
            const auto [found, added] = m_teamByKey.emplace(hashOf(key), m_teams.size());
            if (!added && found->second != m_teams.size())
                throw TeamKeyError("teams " + m_teams[found->second].id.value() + " and " +
                                   entry.team.id.value() + " have the same key");
        }
        m_teams.push_back(entry.team);
    }
}

const Team *TeamDirectory::find(std::string_view key) const
{
    const auto found =
            m_teamByKey.find(m_form == KeyForm::Digest ? hashOf(digestOf(key)) : hashOf(key));
    return found == m_teamByKey.end() ? nullptr : &m_teams[found->second];
}

std::string TeamDirectory::tagOf(std::string_view key)
{
    constexpr std::size_t tagBytes = 4;
    return toHex(hashOf(key).data(), tagBytes);
}

TeamDirectory::KeyHash TeamDirectory::hashOf(std::string_view key)
{
    KeyHash hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size(),
                       hashKey().data(), hashKey().size());
    return hash;
}

} // namespace endivedock
