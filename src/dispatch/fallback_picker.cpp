#include "endivedock/dispatch/fallback_picker.h"

#include <algorithm>

namespace endivedock {

namespace {

/** A target counts as warm for this long after a placement called it so. */
constexpr Seconds warmMemory{10};
/** Requests of this host on one target while it picks on its own. */
constexpr Slots ownLimit{1};

/** @return the only version that is certain to be good; nothing where any is */
std::optional<VersionId> certainVersion(const Service &service)
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
        m_known[target].warmAt = now;
    else
        markNotWarm(target);
}

void FallbackPicker::markNotWarm(const TargetId &target)
{
    const auto found = m_known.find(target);
    if (found != m_known.end())
        found->second.warmAt = TimePoint{};
}

std::optional<TargetId> FallbackPicker::pick(const Service &service,
                                             std::span<const ListedTarget> listed,
                                             std::span<const TargetId> excludedTargets,
                                             TimePoint now, Random &random)
{
    const std::optional<VersionId> version = certainVersion(service);
    std::vector<TargetView> views;
    std::vector<TargetId> ids;
    for (const auto &target : listed) {
        const bool fits = target.service == service.id && target.state == ListedState::Live &&
                          !service.evacuatedZones.contains(target.zone);
        if (!fits || std::find(excludedTargets.begin(), excludedTargets.end(), target.id) !=
                             excludedTargets.end())
            continue;
        if (version && target.version != *version)
            continue;
        const auto known = m_known.find(target.id);
        if (known == m_known.end() || now - known->second.warmAt > warmMemory)
            continue;
        views.push_back({known->second.inFlight, ownLimit, service.settings.slots, Microseconds(0),
                         std::nullopt, Microseconds(0)});
        ids.push_back(target.id);
    }
    const auto chosen = m_policy.pick(views, random);
    return chosen ? std::optional(ids[*chosen]) : std::nullopt;
}

void FallbackPicker::recordResponse(const TargetId &target, std::optional<Incarnation> incarnation,
                                    TimePoint now)
{
    Known &known = m_known[target];
    const bool sameLife = !incarnation || !known.incarnation || *incarnation == *known.incarnation;
    if (incarnation)
        known.incarnation = incarnation;
    if (!sameLife)
        known.warmAt = TimePoint{};
    else if (now - known.warmAt <= warmMemory)
        known.warmAt = now;
}

void FallbackPicker::started(const TargetId &target)
{
    m_known[target].inFlight += Slots(1);
}

void FallbackPicker::finished(const TargetId &target)
{
    m_known[target].inFlight -= Slots(1);
}

} // namespace endivedock
