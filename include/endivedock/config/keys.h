#pragma once

#include "endivedock/core.h"

#include <optional>
#include <string>
#include <string_view>

namespace endivedock {

/** Prefix of the keys of all declarations in the platform's store. */
constexpr std::string_view declarationPrefix = "/endivedock/declarations/";
/** Key of the view, the agreed list of the entry hosts, which the shards library defines. */
constexpr std::string_view viewKey = "/endivedock/view";

std::string templateKey(const TemplateId &id);
std::string teamParametersKey(const TeamId &team);
/** Key of the digests of the keys of a team's callers. */
std::string callerKeysKey(const TeamId &team);
std::string zoneKey(const TeamId &team, const ZoneId &zone);
/** @param service  id of the form "tenant/service" */
std::string rolloutKey(const ServiceId &service);

enum class DeclarationKind { Template, Parameters, CallerKeys, Zone, Rollout };

/** The parts of a declaration's key. */
struct DeclarationKey
{
    DeclarationKind kind;
    /** Name of the template, or id of the team. */
    std::string owner;
    /** Name of the zone or service; empty for the other kinds. */
    std::string name;
};

/** @return the parts of @p key, or nothing if it is not the key of a declaration */
std::optional<DeclarationKey> parseDeclarationKey(std::string_view key);

} // namespace endivedock
