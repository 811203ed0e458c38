#include "endivedock/gateway/request_plan.h"

#include "endivedock/gateway/caller_identity.h"

#include <algorithm>
#include <charconv>

#include <xxhash.h>

namespace endivedock {

namespace {

constexpr std::size_t maxIdempotencyKeyBytes = 255;

struct ServicePath
{
    ServiceId service;
    /** Path within the service, with the query. */
    std::string rest;
};

std::optional<ServicePath> splitPath(std::string_view path)
{
    if (!path.starts_with('/'))
        return std::nullopt;
    const std::size_t teamEnd = path.find('/', 1);
    if (teamEnd == std::string_view::npos)
        return std::nullopt;
    const std::size_t serviceEnd = std::min(path.find_first_of("/?", teamEnd + 1), path.size());
    ServicePath result{ServiceId(std::string(path.substr(1, serviceEnd - 1))),
                       std::string(path.substr(serviceEnd))};
    if (!result.rest.starts_with('/'))
        result.rest.insert(0, "/");
    return result;
}

std::optional<Milliseconds> parseCallerTimeout(const HeaderFields &fields)
{
    const auto text = findField(fields, timeoutField);
    if (!text)
        return std::nullopt;
    std::int64_t milliseconds = 0;
    const auto [end, code] =
            std::from_chars(text->data(), text->data() + text->size(), milliseconds);
    if (code != std::errc{} || end != text->data() + text->size() || milliseconds < 0)
        return std::nullopt;
    return Milliseconds(milliseconds);
}

IdempotencyKeyHash hashIdempotencyKey(const ServiceId &service, std::string_view key)
{
    const std::string text = service.value() + '\n' + std::string(key);
    return IdempotencyKeyHash(XXH3_64bits(text.data(), text.size()));
}

Refusal notRunRefusal(RefusalReason reason)
{
    return {reason, RunCertainty::NotRun};
}

/** Ranks of routes above this one count as equal if the caller's team has a rank. */
constexpr int maxRouteRank = 15;
/** Ranks of teams above this one count as equal. */
constexpr int maxTeamRank = 7;

} // namespace

int priorityOf(std::optional<int> teamRank, int routeRank)
{
    if (!teamRank)
        return -routeRank;
    return -(std::clamp(*teamRank, 0, maxTeamRank) * (maxRouteRank + 1) +
             std::clamp(routeRank, 0, maxRouteRank));
}

std::variant<RequestPlan, Refusal> planRequest(const RequestHead &head,
                                               const Declarations *declarations, TimePoint now)
{
    if (declarations == nullptr)
        return notRunRefusal(RefusalReason::NoConfiguration);
    const TeamDirectory &callers = declarations->callers;
    const CallerIdentity caller = identifyCaller(head.fields, callers);
    if (!callers.empty() && caller.team == nullptr)
        return Refusal{RefusalReason::Unauthenticated, RunCertainty::NotRun, {}, caller.failure};
    const auto path = splitPath(head.path);
    const Service *service = path ? declarations->find(path->service) : nullptr;
    if (service == nullptr)
        return notRunRefusal(RefusalReason::UnknownService);
    const auto key = findField(head.fields, idempotencyKeyField);
    if (key && (key->empty() || key->size() > maxIdempotencyKeyBytes))
        return notRunRefusal(RefusalReason::BadRequest);
    const RouteRule rule = service->ruleFor(head.method, path->rest);
    const auto route = service->ruleIndexFor(head.method, path->rest);
    if (rule.requiresIdempotencyKey && !key)
        return notRunRefusal(RefusalReason::KeyRequired);
    if (head.framing.length && *head.framing.length > service->settings.maxBodySize.value())
        return notRunRefusal(RefusalReason::BodyTooLarge);

    RequestPlan plan;
    if (caller.team != nullptr)
        plan.team = caller.team->id;
    plan.hidesCallerKey = !callers.empty();
    plan.service = service->id;
    plan.authority = service->id.value();
    plan.targetPath = path->rest;
    plan.route = route ? static_cast<std::int16_t>(*route) : std::int16_t{-1};
    plan.priority = rule.priority;
    plan.isIdempotent = rule.isIdempotent && !key;
    if (key)
        plan.idempotencyKeyHash = hashIdempotencyKey(service->id, *key);
    const Milliseconds serviceDeadline = service->settings.deadline;
    plan.deadline = now + std::min(serviceDeadline,
                                   parseCallerTimeout(head.fields).value_or(serviceDeadline));
    plan.maxAttempts = service->settings.maxAttempts;
    plan.callerRequestId = std::string(findField(head.fields, requestIdField).value_or(""));
    plan.isPartOfRetry = findField(head.fields, retryField).has_value();
    plan.maxBodySize = service->settings.maxBodySize;
    return plan;
}

Fingerprint fingerprintOf(const RequestPlan &plan, std::string_view method,
                          std::string_view bufferedBody)
{
    XXH64_hash_t hash = XXH3_64bits(plan.authority.data(), plan.authority.size());
    hash = XXH3_64bits_withSeed(method.data(), method.size(), hash);
    hash = XXH3_64bits_withSeed(plan.targetPath.data(), plan.targetPath.size(), hash);
    return Fingerprint(XXH3_64bits_withSeed(bufferedBody.data(), bufferedBody.size(), hash));
}

} // namespace endivedock
