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

/** How a configuration holds keys. */
enum class KeyForm {
    /** As callers send them. */
    Plain,
    /** By digestOf(), so that the configuration does not contain what callers send. */
    Digest,
};

/** @return the digest of a key: BLAKE2b of 32 bytes, in hexadecimal */
std::string digestOf(std::string_view key);
/** @return whether @p text has the form of a digest */
bool isDigest(std::string_view text);
/** @return a new key with 256 random bits, in hexadecimal */
std::string drawKey();

/**
 * The teams of one configuration by their keys. Contains keyed hashes of the keys only; the hash
 * key is drawn at random for each process, so the time of a lookup tells nothing about a key.
 */
class TeamDirectory
{
public:
    TeamDirectory() = default;
    /** @throws TeamKeyError if a key is empty or belongs to two teams */
    explicit TeamDirectory(const std::vector<TeamKeys> &teams, KeyForm form = KeyForm::Plain);

    /** @return whether requests need no key, because the configuration contains no teams */
    bool empty() const { return m_teams.empty(); }
    const std::vector<Team> &teams() const { return m_teams; }
    /** @return the team whose caller sent @p key, or null; valid as long as this object */
    const Team *find(std::string_view key) const;
    /**
     * @return a text by which log lines of this process show that requests had the same key: the
     * first bytes of its keyed hash, in hexadecimal
     */
    static std::string tagOf(std::string_view key);

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

    KeyForm m_form = KeyForm::Plain;
    std::vector<Team> m_teams;
    /** Maps the hash of a key to an index into m_teams. */
    std::unordered_map<KeyHash, std::size_t, FirstBytes> m_teamByKey;
};

} // namespace endivedock
