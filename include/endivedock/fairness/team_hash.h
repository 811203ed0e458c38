#pragma once

#include "endivedock/core.h"

namespace endivedock {

/** Hash of a team's name, in messages between hosts; 0 for requests without a team. */
using TeamHash = StrongId<struct TeamHashTag, std::uint32_t>;

/** @return the hash of a team's name; 0 if the name is empty */
TeamHash hashTeam(const TeamId &team);

} // namespace endivedock
