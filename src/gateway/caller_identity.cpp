#include "endivedock/gateway/caller_identity.h"

namespace endivedock {

CallerIdentity identifyCaller(const HeaderFields &fields, const TeamDirectory &teams)
{
    const auto key = bearerToken(fields);
    if (!key)
        return {nullptr, findField(fields, authorizationField) ? "malformed key" : "no key"};
    if (const Team *team = teams.find(*key))
        return {team, {}};
    return {nullptr, "unknown key " + TeamDirectory::tagOf(*key)};
}

} // namespace endivedock
