#include "endivedock/config/keys.h"

namespace endivedock {

namespace {

constexpr std::string_view templatesPart = "templates/";
constexpr std::string_view teamsPart = "tenants/";

std::string prefixed(std::string_view rest)
{
    return std::string(declarationPrefix) + std::string(rest);
}

std::string teamPart(std::string_view team)
{
    return std::string(teamsPart) + std::string(team) + "/";
}

} // namespace

std::string templateKey(const TemplateId &id)
{
    return prefixed(std::string(templatesPart) + id.value());
}

std::string teamParametersKey(const TeamId &team)
{
    return prefixed(teamPart(team.value()) + "parameters");
}

std::string zoneKey(const TeamId &team, const ZoneId &zone)
{
    return prefixed(teamPart(team.value()) + "zones/" + zone.value());
}

std::string rolloutKey(const ServiceId &service)
{
    const std::size_t slash = service.value().find('/');
    return prefixed(teamPart(service.value().substr(0, slash)) + "moves/" +
                    service.value().substr(slash + 1));
}

std::optional<DeclarationKey> parseDeclarationKey(std::string_view key)
{
    if (!key.starts_with(declarationPrefix))
        return std::nullopt;
    key.remove_prefix(declarationPrefix.size());
    if (key.starts_with(templatesPart))
        return DeclarationKey{DeclarationKind::Template,
                              std::string(key.substr(templatesPart.size())), ""};
    if (!key.starts_with(teamsPart))
        return std::nullopt;
    key.remove_prefix(teamsPart.size());
    const std::size_t slash = key.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const std::string team(key.substr(0, slash));
    key.remove_prefix(slash + 1);
    if (key == "parameters")
        return DeclarationKey{DeclarationKind::Parameters, team, ""};
    if (key.starts_with("zones/"))
        return DeclarationKey{DeclarationKind::Zone, team, std::string(key.substr(6))};
    if (key.starts_with("moves/"))
        return DeclarationKey{DeclarationKind::Rollout, team, std::string(key.substr(6))};
    return std::nullopt;
}

} // namespace endivedock
