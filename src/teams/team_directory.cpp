#include "endivedock/teams/team_directory.h"

#include <sodium.h>

namespace endivedock {

namespace {

using HashKey = std::array<unsigned char, crypto_generichash_KEYBYTES>;

/** @return the key of this process's hashes */
const HashKey &hashKey()
{
    static const HashKey key = [] {
        if (sodium_init() < 0)
            throw TeamKeyError("libsodium cannot be initialised");
        HashKey result{};
        randombytes_buf(result.data(), result.size());
        return result;
    }();
    return key;
}

} // namespace

TeamDirectory::TeamDirectory(const std::vector<TeamKeys> &teams)
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
    const auto found = m_teamByKey.find(hashOf(key));
    return found == m_teamByKey.end() ? nullptr : &m_teams[found->second];
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
