#pragma once

#include "endivedock/config/messages.h"
#include "endivedock/core.h"
#include "endivedock/json.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivedock {

/** A declaration that contradicts another one, such as a service with an unknown template. */
class ConfigurationError : public Error
{
public:
    using Error::Error;
};

/** How requests with one method and path prefix are treated. */
struct RouteRule
{
    /** Empty for any method. */
    std::string method;
    std::string pathPrefix;
    bool idempotent = true;
    /** The route refuses requests without an Idempotency-Key. */
    bool requiresIdempotencyKey = false;
    /** Higher is shed later. */
    int priority = 1;
};

/** What a target of one kind of service bears, and how its requests are handled. */
struct ServiceTemplate
{
    TemplateId id;
    Slots slots{4};
    /** Requests that a target holds beyond its slots without shedding. */
    Slots targetQueueLimit{1};
    /** Connections that one target accepts from all hosts together. */
    Connections maxConnections{200};
    /** Requests at the same time that a target in cold start bears, over all hosts. */
    Slots coldConcurrencyLimit{1};
    /** Answers in a row, within the usual time, after which a cold target is warm. */
    int warmAfterAnswers = 20;
    Milliseconds deadline{5000};
    /** Requests of the service that wait for a target at the same time. */
    int queueLimit = 200;
    /** Retries as a part of first attempts. */
    Share retryBudgetRatio{0.1};
    int maxAttempts = 3;
    /** Probes of each target, over all hosts. */
    PerSecond probeRate{0.5};
    std::string probePath = "/health";
    Bytes maxBodySize{256ull << 20};
    std::vector<RouteRule> routes;
};

/** One service of a tenant. */
struct ServiceParameters
{
    ServiceId id;
    TemplateId templateId;
    std::optional<int> queueLimit;
    std::optional<Milliseconds> deadline;
    /** Time that a version move may take. */
    Milliseconds rolloutDeadline{600'000};
    /** Targets of other versions get no requests but by a move; absent for any version. */
    std::optional<VersionId> version;
};

/** What a tenant's operators set. */
struct TeamParameters
{
    TeamId team;
    std::vector<ZoneId> zones;
    std::vector<ServiceParameters> services;
};

enum class RolloutState { Running, Done, RolledBack };

/** A move of one service from one version to another. */
struct Rollout
{
    ServiceId service;
    /** Random number that tells this move from earlier ones of the service. */
    std::uint64_t number = 0;
    VersionId from;
    VersionId to;
    /** Wall-clock time of the start, in milliseconds since 1970. */
    std::int64_t startedAt = 0;
    Milliseconds deadline{600'000};
    RolloutState state = RolloutState::Running;
    /** Why it was taken back; empty otherwise. */
    std::string cause;
};

/** One service with everything that applies to it. */
struct Service
{
    ServiceId id;
    TeamId team;
    ServiceTemplate settings;
    Milliseconds rolloutDeadline{600'000};
    std::set<ZoneId> evacuatedZones;
    std::optional<VersionId> version;
    std::optional<Rollout> rollout;

    /** @return the position of the rule with the longest matching prefix, or nothing */
    std::optional<std::size_t> ruleIndexFor(std::string_view method, std::string_view path) const;
    /** @return that rule, or the default rule */
    RouteRule ruleFor(std::string_view method, std::string_view path) const;
};

/** All declarations of one revision, checked against each other. */
struct Declarations
{
    Revision revision;
    std::map<TemplateId, ServiceTemplate> templates;
    std::map<TeamId, TeamParameters> teams;
    std::map<ServiceId, Service> services;

    /** @return the service, or null; valid as long as this object */
    const Service *find(const ServiceId &id) const;
};

/** @throws JsonError if @p node does not hold a template */
ServiceTemplate parseTemplate(const JsonNode &node);
/** @throws JsonError if @p node does not hold a tenant's parameters */
TeamParameters parseTeamParameters(const JsonNode &node);
/** @return true if @p node takes the zone out; @throws JsonError if it is not a zone's state */
bool parseZoneEvacuated(const JsonNode &node);
/** @throws JsonError if @p node does not hold a move */
Rollout parseRollout(const JsonNode &node);
/** @return the JSON text of @p move, as parseRollout reads it */
std::string formatRollout(const Rollout &move);
/** @return the JSON text of a zone's state, as parseZoneEvacuated reads it */
std::string formatZoneState(bool out);

/**
 * Reads all declarations of one copy.
 *
 * @throws JsonError           if one is malformed
 * @throws ConfigurationError  if they contradict each other
 */
Declarations parseDeclarations(const ConfigurationSnapshot &copy);

} // namespace endivedock
