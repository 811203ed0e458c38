#include "endivedock/config/keys.h"

namespace endivedock {

namespace {

constexpr std::string_view templatesPrefix = "templates/";
constexpr std::string_view teamsPrefix = "tenants/";

std::string withDeclarationPrefix(std::string_view suffix)
{
    return std::string(declarationPrefix) + std::string(suffix);
}

std::string teamPrefix(std::string_view team)
{
    return std::string(teamsPrefix) + std::string(team) + "/";
}

} // namespace

std::string templateKey(const TemplateId &id)
{
    return withDeclarationPrefix(std::string(templatesPrefix) + id.value());
}

std::string teamParametersKey(const TeamId &team)
{
    return withDeclarationPrefix(teamPrefix(team.value()) + "parameters");
}

std::string callerKeysKey(const TeamId &team)
{
    return withDeclarationPrefix(teamPrefix(team.value()) + "keys");
}

std::string zoneKey(const TeamId &team, const ZoneId &zone)
{
    return withDeclarationPrefix(teamPrefix(team.value()) + "zones/" + zone.value());
}

std::string rolloutKey(const ServiceId &service)
{
    const std::size_t slash = service.value().find('/');
    return withDeclarationPrefix(teamPrefix(service.value().substr(0, slash)) + "moves/" +
                                 service.value().substr(slash + 1));
}

std::optional<DeclarationKey> parseDeclarationKey(std::string_view key)
{
    if (!key.starts_with(declarationPrefix))
        return std::nullopt;
    key.remove_prefix(declarationPrefix.size());
    if (key.starts_with(templatesPrefix))
        return DeclarationKey{DeclarationKind::Template,
                              std::string(key.substr(templatesPrefix.size())), ""};
    if (!key.starts_with(teamsPrefix))
        return std::nullopt;
    key.remove_prefix(teamsPrefix.size());
    const std::size_t slash = key.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const std::string team(key.substr(0, slash));
    key.remove_prefix(slash + 1);
    if (key == "parameters")
        return DeclarationKey{DeclarationKind::Parameters, team, ""};
    if (key == "keys")
        return DeclarationKey{DeclarationKind::CallerKeys, team, ""};
    if (key.starts_with("zones/"))
        return DeclarationKey{DeclarationKind::Zone, team, std::string(key.substr(6))};
    if (key.starts_with("moves/"))
        return DeclarationKey{DeclarationKind::Rollout, team, std::string(key.substr(6))};
    return std::nullopt;
}

} // namespace endivedock
