#include "endivedock/fairness/team_hash.h"

#include <xxhash.h>

namespace endivedock {

TeamHash hashTeam(const TeamId &team)
{
    const std::string &name = team.value();
    if (name.empty())
        return TeamHash(0);
    return TeamHash(static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size())) | 1u);
}

} // namespace endivedock
