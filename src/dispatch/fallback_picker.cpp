#include "endivedock/dispatch/fallback_picker.h"

#include <algorithm>

namespace endivedock {

namespace {

/** Time for which a target counts as warm after a placement or response showed that it is. */
constexpr Seconds warmRetention{10};
/** Limit of requests in flight from this host to one target. */
constexpr Slots maxInFlightPerTarget{1};

/** @return the version known to be good; absent if any version may be used */
std::optional<VersionId> safeVersion(const Service &service)
{
    if (!service.rollout)
        return service.version;
    return service.rollout->state == RolloutState::Done ? service.rollout->to
                                                        : service.rollout->from;
}

} // namespace

void FallbackPicker::recordPlacement(const TargetId &target, bool warm, TimePoint now)
{
    if (warm)
        m_knownTargets[target].warmAt = now;
    else
        markNotWarm(target);
}

void FallbackPicker::markNotWarm(const TargetId &target)
{
    const auto found = m_knownTargets.find(target);
    if (found != m_knownTargets.end())
        found->second.warmAt = TimePoint{};
}

std::optional<TargetId> FallbackPicker::pick(const Service &service,
                                             std::span<const ListedTarget> listed,
                                             std::span<const TargetId> excludedTargets,
                                             TimePoint now, Random &random)
{
    const std::optional<VersionId> version = safeVersion(service);
    std::vector<TargetView> views;
    std::vector<TargetId> ids;
    for (const auto &target : listed) {
        const bool isEligible = target.service == service.id && target.state == ListedState::Live &&
                                !service.evacuatedZones.contains(target.zone);
        if (!isEligible || std::find(excludedTargets.begin(), excludedTargets.end(), target.id) !=
                                   excludedTargets.end())
            continue;
        if (version && target.version != *version)
            continue;
        const auto known = m_knownTargets.find(target.id);
        if (known == m_knownTargets.end() || now - known->second.warmAt > warmRetention)
            continue;
        views.push_back({known->second.inFlight, maxInFlightPerTarget, service.settings.slots,
                         Microseconds(0), std::nullopt, Microseconds(0)});
        ids.push_back(target.id);
    }
    const auto chosen = m_policy.pick(views, random);
    return chosen ? std::optional(ids[*chosen]) : std::nullopt;
}

void FallbackPicker::recordResponse(const TargetId &target, std::optional<Incarnation> incarnation,
                                    TimePoint now)
{
    KnownTarget &known = m_knownTargets[target];
    const bool isSameIncarnation =
            !incarnation || !known.incarnation || *incarnation == *known.incarnation;
    if (incarnation)
        known.incarnation = incarnation;
    if (!isSameIncarnation)
        known.warmAt = TimePoint{};
    else if (now - known.warmAt <= warmRetention)
        known.warmAt = now;
}

void FallbackPicker::started(const TargetId &target)
{
    m_knownTargets[target].inFlight += Slots(1);
}

void FallbackPicker::finished(const TargetId &target)
{
    m_knownTargets[target].inFlight -= Slots(1);
}

} // namespace endivedock
