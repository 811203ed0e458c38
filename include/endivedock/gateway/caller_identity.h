#pragma once

#include "endivedock/gateway/http_message.h"
#include "endivedock/teams.h"

#include <string>

namespace endivedock {

/** The team that a request's key names. */
struct CallerIdentity
{
    /** Null if the request names no team; valid as long as the directory. */
    const Team *team = nullptr;
    /** Why there is no team, for the log: contains no part of a key. */
    std::string failure;
};

/** Finds the team whose key a request carries. */
CallerIdentity identifyCaller(const HeaderFields &fields, const TeamDirectory &teams);

} // namespace endivedock
