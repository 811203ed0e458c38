#pragma once

#include "endivedock/core.h"

#include <optional>
#include <string>
#include <string_view>

namespace endivedock {

/** Prefix of all operator declarations in the platform's store. */
constexpr std::string_view declarationPrefix = "/endivedock/declarations/";
/** The view of the entry hosts; see the shards slice. */
constexpr std::string_view viewKey = "/endivedock/view";

std::string templateKey(const TemplateId &id);
std::string teamParametersKey(const TeamId &team);
std::string zoneKey(const TeamId &team, const ZoneId &zone);
/** @param service  "tenant/service" */
std::string rolloutKey(const ServiceId &service);

enum class DeclarationKind { Template, Parameters, Zone, Rollout };

/** What a key of the store declares. */
struct DeclarationKey
{
    DeclarationKind kind;
    /** Template name, or tenant. */
    std::string owner;
    /** Zone or service name; empty for the other kinds. */
    std::string name;
};

/** @return what @p key declares, or nothing if it is not a declaration */
std::optional<DeclarationKey> parseDeclarationKey(std::string_view key);

} // namespace endivedock
