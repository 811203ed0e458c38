#pragma once

#include "endivedock/core.h"

#include <array>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endivedock {

/** A team cannot be told from a key, since two teams have the same one, or a key is empty. */
class TeamKeyError : public Error
{
public:
    using Error::Error;
};

/** A team as the callers' keys name it. */
struct Team
{
    TeamId id;
    /** Rank of the team's requests by urgency, 0 is the most urgent; absent if none is set. */
    std::optional<int> rank;
};

/** A team with the keys of its callers. */
struct TeamKeys
{
    Team team;
    std::vector<std::string> keys;
};

/**
 * The teams of one configuration by their keys. Contains keyed hashes of the keys only; the hash
 * key is drawn at random for each process, so the time of a lookup tells nothing about a key.
 */
class TeamDirectory
{
public:
    TeamDirectory() = default;
    /** @throws TeamKeyError if a key is empty or belongs to two teams */
    explicit TeamDirectory(const std::vector<TeamKeys> &teams);

    /** @return whether requests need no key, because the configuration contains no teams */
    bool empty() const { return m_teams.empty(); }
    const std::vector<Team> &teams() const { return m_teams; }
    /** @return the team that has @p key, or null; valid as long as this object */
    const Team *find(std::string_view key) const;

private:
    using KeyHash = std::array<unsigned char, 16>;

    struct FirstBytes
    {
        std::size_t operator()(const KeyHash &hash) const
        {
            std::size_t result = 0;
            std::memcpy(&result, hash.data(), sizeof(result));
            return result;
        }
    };

    static KeyHash hashOf(std::string_view key);

    std::vector<Team> m_teams;
    /** Maps the hash of a key to an index into m_teams. */
    std::unordered_map<KeyHash, std::size_t, FirstBytes> m_teamByKey;
};

} // namespace endivedock
