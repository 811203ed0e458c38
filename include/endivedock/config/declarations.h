#pragma once

#include "endivedock/config/messages.h"
#include "endivedock/core.h"
#include "endivedock/json.h"
#include "endivedock/teams.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivedock {

/**
 * A declaration contradicts another one, such as a service that names an unknown template, or a key
 * is not the key of a declaration.
 */
class ConfigurationError : public Error
{
public:
    using Error::Error;
};

/** How the requests with one method and path prefix are handled. */
struct RouteRule
{
    /** HTTP method; empty for any method. */
    std::string method;
    std::string pathPrefix;
    /** A request of the route may run more than once without harm, so it may be retried. */
    bool isIdempotent = true;
    /** The route refuses requests without an Idempotency-Key. */
    bool requiresIdempotencyKey = false;
    /** Requests with a lower priority are shed first. */
    int priority = 1;
};

/** Limits of the targets of one kind of service, and the handling of the service's requests. */
struct ServiceTemplate
{
    TemplateId id;
    /** Requests that a target runs at the same time. */
    Slots slots{4};
    /** Requests that a target queues beyond its slots before it sheds. */
    Slots targetQueueLimit{1};
    /** Connections that one target accepts, summed over all hosts. */
    Connections maxConnections{200};
    /** Largest number of in-flight requests at a target in cold start, summed over all hosts. */
    Slots coldConcurrencyLimit{1};
    /** Number of consecutive responses within the usual time after which a cold target is warm. */
    int responsesUntilWarm = 20;
    Milliseconds deadline{5000};
    /** Requests of the service that wait for a target at the same time; more are refused. */
    int queueLimit = 200;
    /** Upper limit of the retries, as a fraction of the first attempts. */
    Share retryBudgetRatio{0.1};
    /** Upper limit of the hedges, as a fraction of the first attempts; zero for none. */
    Share hedgingShare{0};
    int maxAttempts = 3;
    /** Health probes per second of each target, summed over all hosts. */
    PerSecond probeRate{0.5};
    std::string probePath = "/health";
    Bytes maxBodySize{256ull << 20};
    std::vector<RouteRule> routes;
};

/** One service of a team. Absent values are taken from the template. */
struct ServiceParameters
{
    ServiceId id;
    TemplateId templateId;
    std::optional<int> queueLimit;
    std::optional<Milliseconds> deadline;
    /** Time limit of a rollout of the service. */
    Milliseconds rolloutDeadline{600'000};
    /** Only targets of this version get requests, except in a rollout; absent for any version. */
    std::optional<VersionId> version;
};

/** What the operators of one team declare. */
struct TeamParameters
{
    TeamId team;
    std::vector<ZoneId> zones;
    std::vector<ServiceParameters> services;
};

enum class RolloutState { Running, Done, RolledBack };

/** The change of one service from one version to another in steps. Operators call it a move. */
struct Rollout
{
    ServiceId service;
    /** Random number that distinguishes this rollout from earlier ones of the service. */
    std::uint64_t number = 0;
    VersionId from;
    VersionId to;
    /** Unix time of the start in milliseconds. */
    std::int64_t startedAt = 0;
    /** Time limit, counted from the start. */
    Milliseconds deadline{600'000};
    RolloutState state = RolloutState::Running;
    /** Why the rollout was rolled back; empty in any other state. */
    std::string cause;
};

/** One service with its template, parameters, evacuated zones and rollout. */
struct Service
{
    ServiceId id;
    TeamId team;
    /** The template's values; the service's parameters replace those that they set. */
    ServiceTemplate settings;
    Milliseconds rolloutDeadline{600'000};
    std::set<ZoneId> evacuatedZones;
    std::optional<VersionId> version;
    std::optional<Rollout> rollout;

    /** @return index in settings.routes of the rule with the longest matching prefix, or nothing */
    std::optional<std::size_t> ruleIndexFor(std::string_view method, std::string_view path) const;
    /** @return the rule with the longest matching prefix, or the default rule */
    RouteRule ruleFor(std::string_view method, std::string_view path) const;
};

/** All declarations of one revision, validated against each other. */
struct Declarations
{
    Revision revision;
    std::map<TemplateId, ServiceTemplate> templates;
    std::map<TeamId, TeamParameters> teams;
    std::map<ServiceId, Service> services;
    /**
     * The teams whose callers have keys. If there are any, each request needs a key; a team may
     * call services of all teams.
     */
    TeamDirectory callers;

    /** @return the service, or null; the pointer is valid as long as this object */
    const Service *find(const ServiceId &id) const;
};

/** Parses a template. @throws JsonError if @p node does not hold a valid template */
ServiceTemplate parseTemplate(const JsonNode &node);
/** Parses a team's parameters. @throws JsonError if @p node does not hold valid parameters */
TeamParameters parseTeamParameters(const JsonNode &node);
/**
 * Parses the digests of the keys of one team's callers.
 *
 * @throws JsonError if @p node does not hold a list of digests
 */
std::vector<std::string> parseCallerKeys(const JsonNode &node);
/** @return the JSON text of digests that parseCallerKeys() reads */
std::string formatCallerKeys(const std::vector<std::string> &digests);
/**
 * @return whether @p node, which holds a zone's state, says that the zone is evacuated
 * @throws JsonError if @p node does not hold a valid state
 */
bool parseZoneEvacuated(const JsonNode &node);
/** Parses a rollout. @throws JsonError if @p node does not hold a valid rollout */
Rollout parseRollout(const JsonNode &node);
/** @return the JSON text of @p rollout that parseRollout() reads */
std::string formatRollout(const Rollout &rollout);
/** @return the JSON text of a zone's state that parseZoneEvacuated() reads */
std::string formatZoneState(bool isEvacuated);

/**
 * Parses and validates all declarations of a snapshot.
 *
 * @throws JsonError           if a declaration is malformed
 * @throws ConfigurationError  if declarations contradict each other or a key is not a declaration
 */
Declarations parseDeclarations(const ConfigurationSnapshot &snapshot);

} // namespace endivedock
