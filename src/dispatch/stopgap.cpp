#include "endivedock/dispatch/stopgap.h"

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
    if (!service.move)
        return service.version;
    return service.move->state == MoveState::Done ? service.move->to : service.move->from;
}

} // namespace

void Stopgap::observed(const TargetId &target, bool warm, TimePoint now)
{
    if (warm)
        m_known[target].warmAt = now;
    else
        distrust(target);
}

void Stopgap::distrust(const TargetId &target)
{
    const auto found = m_known.find(target);
    if (found != m_known.end())
        found->second.warmAt = TimePoint{};
}

std::optional<TargetId> Stopgap::pick(const Service &service, std::span<const ListedTarget> listed,
                                      std::span<const TargetId> exclude, TimePoint now,
                                      Random &random)
{
    const std::optional<VersionId> version = certainVersion(service);
    std::vector<TargetView> views;
    std::vector<TargetId> ids;
    for (const auto &target : listed) {
        const bool fits = target.service == service.id && target.state == ListedState::Live &&
                          !service.zonesOut.contains(target.zone);
        if (!fits || std::find(exclude.begin(), exclude.end(), target.id) != exclude.end())
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

void Stopgap::answered(const TargetId &target, std::optional<Incarnation> incarnation,
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

void Stopgap::started(const TargetId &target)
{
    m_known[target].inFlight += Slots(1);
}

void Stopgap::finished(const TargetId &target)
{
    m_known[target].inFlight -= Slots(1);
}

} // namespace endivedock
