#include "endivedock/config/declarations.h"

#include "endivedock/config/keys.h"

#include <algorithm>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace endivedock {

namespace {

constexpr IntegerRange slotsRange{1, 1024};
constexpr IntegerRange targetQueueRange{0, 64};
constexpr IntegerRange maxConnectionsRange{1, 100'000};
constexpr IntegerRange responsesUntilWarmRange{1, 100'000};
constexpr IntegerRange deadlineMsRange{1, 3'600'000};
constexpr IntegerRange rolloutSecondsRange{1, 7 * 86'400};
constexpr IntegerRange queueLimitRange{0, 1'000'000};
constexpr IntegerRange maxAttemptsRange{1, 10};
constexpr IntegerRange priorityRange{0, 9};
constexpr IntegerRange bodyBytesRange{0, std::int64_t{1} << 40};
constexpr IntegerRange unixTimeMsRange{0, std::int64_t{1} << 50};
constexpr IntegerRange rolloutNumberRange{1, std::int64_t{1} << 53};
constexpr FractionRange retryBudgetRatioRange{0.0, 1.0};
constexpr FractionRange hedgingShareRange{0.0, 1.0};
constexpr FractionRange probeRateRange{0.0, 1000.0};

/** Names become parts of store keys and URLs, so only some characters are allowed. */
std::string parseName(const JsonNode &node, std::string_view field)
{
    const std::string name = node.string(field);
    const auto isAllowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '.'; };
    if (!std::all_of(name.begin(), name.end(), isAllowed))
        node.at(field).fail("a name of letters, digits, '-' and '.' only");
    return name;
}

RouteRule parseRoute(const JsonNode &node)
{
    node.expectOnlyFields({"method", "path", "idempotent", "keyRequired", "priority"});
    RouteRule rule;
    rule.method = node.stringOr("method", "");
    rule.pathPrefix = node.string("path");
    if (rule.pathPrefix.front() != '/')
        node.at("path").fail("a path that starts with '/'");
    rule.isIdempotent = node.booleanOr("idempotent", true);
    rule.requiresIdempotencyKey = node.booleanOr("keyRequired", false);
    rule.priority = static_cast<int>(node.integerOr("priority", priorityRange, 1));
    return rule;
}

ServiceParameters parseService(const JsonNode &node, const TeamId &team)
{
    node.expectOnlyFields({"service", "template", "queueLimit", "deadlineMs",
                           "rolloutDeadlineSeconds", "version"});
    ServiceParameters service;
    service.id = ServiceId(team.value() + "/" + parseName(node, "service"));
    service.templateId = TemplateId(parseName(node, "template"));
    if (node.has("queueLimit"))
        service.queueLimit = static_cast<int>(node.integer("queueLimit", queueLimitRange));
    if (node.has("deadlineMs"))
        service.deadline = Milliseconds(node.integer("deadlineMs", deadlineMsRange));
    if (node.has("version"))
        service.version = VersionId(parseName(node, "version"));
    service.rolloutDeadline =
            Seconds(node.integerOr("rolloutDeadlineSeconds", rolloutSecondsRange, 600));
    return service;
}

std::string_view stateName(RolloutState state)
{
    switch (state) {
    case RolloutState::Running:
        return "running";
    case RolloutState::Done:
        return "done";
    case RolloutState::RolledBack:
        return "taken-back";
    }
    return "running";
}

RolloutState parseRolloutState(const JsonNode &node)
{
    const std::string name = node.stringOr("state", "running");
    for (const auto state : {RolloutState::Running, RolloutState::Done, RolloutState::RolledBack}) {
        if (name == stateName(state))
            return state;
    }
    node.at("state").fail("running, done or taken-back");
}

Service resolveService(const TeamParameters &team, const ServiceParameters &parameters,
                       const Declarations &declarations)
{
    const auto found = declarations.templates.find(parameters.templateId);
    if (found == declarations.templates.end())
        throw ConfigurationError("service " + parameters.id.value() + " uses the template " +
                                 parameters.templateId.value() + ", which is not declared");
    Service service;
    service.id = parameters.id;
    service.team = team.team;
    service.settings = found->second;
    service.settings.queueLimit = parameters.queueLimit.value_or(service.settings.queueLimit);
    service.settings.deadline = parameters.deadline.value_or(service.settings.deadline);
    service.rolloutDeadline = parameters.rolloutDeadline;
    service.version = parameters.version;
    return service;
}

void resolveServices(Declarations &declarations)
{
    for (const auto &[teamId, team] : declarations.teams) {
        for (const auto &parameters : team.services) {
            Service service = resolveService(team, parameters, declarations);
            if (!declarations.services.emplace(service.id, std::move(service)).second)
                throw ConfigurationError("service " + parameters.id.value() +
                                         " is declared more than once");
        }
    }
}

void applyZoneState(Declarations &declarations, const DeclarationKey &key, bool isEvacuated)
{
    const auto team = declarations.teams.find(TeamId(key.owner));
    if (!isEvacuated || team == declarations.teams.end())
        return;
    for (const auto &service : team->second.services)
        declarations.services.at(service.id).evacuatedZones.insert(ZoneId(key.name));
}

void applyRollout(Declarations &declarations, Rollout rollout)
{
    const auto service = declarations.services.find(rollout.service);
    if (service != declarations.services.end())
        service->second.rollout = std::move(rollout);
}

TeamDirectory makeCallerDirectory(const std::vector<TeamKeys> &callers)
{
    try {
        return TeamDirectory(callers, KeyForm::Digest);
    } catch (const TeamKeyError &error) {
        throw ConfigurationError(error.what());
    }
}

} // namespace

std::optional<std::size_t> Service::ruleIndexFor(std::string_view method,
                                                 std::string_view path) const
{
    std::optional<std::size_t> best;
    std::size_t longest = 0;
    for (std::size_t i = 0; i < settings.routes.size(); ++i) {
        const RouteRule &rule = settings.routes[i];
        if (!rule.method.empty() && rule.method != method)
            continue;
        if (!path.starts_with(rule.pathPrefix) || rule.pathPrefix.size() <= longest)
            continue;
        best = i;
        longest = rule.pathPrefix.size();
    }
    return best;
}

RouteRule Service::ruleFor(std::string_view method, std::string_view path) const
{
    const auto index = ruleIndexFor(method, path);
    return index ? settings.routes[*index] : RouteRule{};
}

const Service *Declarations::find(const ServiceId &id) const
{
    const auto found = services.find(id);
    return found == services.end() ? nullptr : &found->second;
}

ServiceTemplate parseTemplate(const JsonNode &node)
{
    node.expectOnlyFields({"template", "slots", "targetQueue", "connections", "coldAllowance",
                           "warmAfterAnswers", "deadlineMs", "queueLimit", "retryShare",
                           "hedgingShare", "maxAttempts", "probesPerSecond", "probePath",
                           "maxBodyBytes", "routes"});
    ServiceTemplate result;
    result.id = TemplateId(parseName(node, "template"));
    result.slots = Slots(static_cast<int>(node.integer("slots", slotsRange)));
    result.targetQueueLimit =
            Slots(static_cast<int>(node.integerOr("targetQueue", targetQueueRange, 1)));
    result.maxConnections =
            Connections(static_cast<int>(node.integerOr("connections", maxConnectionsRange, 200)));
    result.coldConcurrencyLimit =
            Slots(static_cast<int>(node.integerOr("coldAllowance", {1, result.slots.value()}, 1)));
    result.responsesUntilWarm =
            static_cast<int>(node.integerOr("warmAfterAnswers", responsesUntilWarmRange, 20));
    result.deadline = Milliseconds(node.integerOr("deadlineMs", deadlineMsRange, 5000));
    result.queueLimit = static_cast<int>(node.integerOr("queueLimit", queueLimitRange, 200));
    result.retryBudgetRatio = Share(node.fractionOr("retryShare", retryBudgetRatioRange, 0.1));
    result.hedgingShare = Share(node.fractionOr("hedgingShare", hedgingShareRange, 0));
    result.maxAttempts = static_cast<int>(node.integerOr("maxAttempts", maxAttemptsRange, 3));
    result.probeRate = PerSecond(node.fractionOr("probesPerSecond", probeRateRange, 0.5));
    result.probePath = node.stringOr("probePath", "/health");
    result.maxBodySize = Bytes(static_cast<std::uint64_t>(
            node.integerOr("maxBodyBytes", bodyBytesRange, std::int64_t{256} << 20)));
    for (const auto &route : node.listOrEmpty("routes"))
        result.routes.push_back(parseRoute(route));
    return result;
}

TeamParameters parseTeamParameters(const JsonNode &node)
{
    node.expectOnlyFields({"tenant", "zones", "services"});
    TeamParameters result;
    result.team = TeamId(parseName(node, "tenant"));
    for (const auto &zone : node.list("zones"))
        result.zones.emplace_back(zone.asString());
    for (const auto &service : node.list("services"))
        result.services.push_back(parseService(service, result.team));
    return result;
}

std::vector<std::string> parseCallerKeys(const JsonNode &node)
{
    node.expectOnlyFields({"digests"});
    std::vector<std::string> result;
    for (const auto &digest : node.list("digests")) {
        result.push_back(digest.asString());
        if (!isDigest(result.back()))
            digest.fail("a digest of 64 hexadecimal digits");
    }
    return result;
}

std::string formatCallerKeys(const std::vector<std::string> &digests)
{
    boost::json::array list;
    for (const auto &digest : digests)
        list.emplace_back(digest);
    return boost::json::serialize(boost::json::object{{"digests", list}});
}

bool parseZoneEvacuated(const JsonNode &node)
{
    node.expectOnlyFields({"state"});
    const std::string state = node.string("state");
    if (state != "in" && state != "out")
        node.at("state").fail("in or out");
    return state == "out";
}

Rollout parseRollout(const JsonNode &node)
{
    node.expectOnlyFields(
            {"service", "number", "from", "to", "startedAtMs", "deadlineMs", "state", "cause"});
    Rollout rollout;
    rollout.service = ServiceId(node.string("service"));
    if (rollout.service.value().find('/') == std::string::npos)
        node.at("service").fail("a service of the form tenant/service");
    rollout.number = static_cast<std::uint64_t>(node.integer("number", rolloutNumberRange));
    rollout.from = VersionId(parseName(node, "from"));
    rollout.to = VersionId(parseName(node, "to"));
    if (rollout.from == rollout.to)
        node.at("to").fail("a version other than the one in the field from");
    rollout.startedAt = node.integer("startedAtMs", unixTimeMsRange);
    rollout.deadline = Milliseconds(node.integer("deadlineMs", {1, 7 * 86'400'000}));
    rollout.state = parseRolloutState(node);
    rollout.cause = node.stringOr("cause", "");
    return rollout;
}

std::string formatRollout(const Rollout &rollout)
{
    boost::json::object object;
    object["service"] = rollout.service.value();
    object["number"] = rollout.number;
    object["from"] = rollout.from.value();
    object["to"] = rollout.to.value();
    object["startedAtMs"] = rollout.startedAt;
    object["deadlineMs"] = rollout.deadline.count();
    object["state"] = stateName(rollout.state);
    if (!rollout.cause.empty())
        object["cause"] = rollout.cause;
    return boost::json::serialize(object);
}

std::string formatZoneState(bool isEvacuated)
{
    boost::json::object object;
    object["state"] = isEvacuated ? "out" : "in";
    return boost::json::serialize(object);
}

Declarations parseDeclarations(const ConfigurationSnapshot &snapshot)
{
    Declarations result;
    result.revision = snapshot.revision;
    std::vector<std::pair<DeclarationKey, bool>> zones;
    std::vector<Rollout> rollouts;
    std::vector<TeamKeys> callers;
    for (const auto &entry : snapshot.entries) {
        const auto key = parseDeclarationKey(entry.key);
        if (!key)
            throw ConfigurationError("the key " + entry.key + " is not the key of a declaration");
        const boost::json::value value = parseJson(entry.value, entry.key);
        const JsonNode node(value, entry.key);
        switch (key->kind) {
        case DeclarationKind::Template: {
            ServiceTemplate parsed = parseTemplate(node);
            result.templates[parsed.id] = std::move(parsed);
            break;
        }
        case DeclarationKind::Parameters: {
            TeamParameters parsed = parseTeamParameters(node);
            result.teams[parsed.team] = std::move(parsed);
            break;
        }
        case DeclarationKind::CallerKeys:
            callers.push_back({{TeamId(key->owner), std::nullopt}, parseCallerKeys(node)});
            break;
        case DeclarationKind::Zone:
            zones.emplace_back(*key, parseZoneEvacuated(node));
            break;
        case DeclarationKind::Rollout:
            rollouts.push_back(parseRollout(node));
            break;
        }
    }
    resolveServices(result);
    result.callers = makeCallerDirectory(callers);
    for (const auto &[key, isEvacuated] : zones)
        applyZoneState(result, key, isEvacuated);
    for (auto &rollout : rollouts)
        applyRollout(result, std::move(rollout));
    return result;
}

} // namespace endivedock
