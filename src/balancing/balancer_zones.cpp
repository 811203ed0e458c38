#include "endivedock/balancing/service_balancer.h"

#include <algorithm>

// The division of a service among zones.

namespace endivedock {

namespace {

/**
 * A request leaves a zone that has room only if the targets there take this many times as long as
 * those of the other zone: less is within what the reports of slowdowns vary.
 */
constexpr double slowZoneFactor = 3;

} // namespace

void ServiceBalancer::setDivision(const ZoneDivision &division)
{
    if (division == m_division)
        return;
    m_division = division;
    m_roomOfZones.clear();
    m_retryBudget.setExtraRetries(m_settings.extraRetries /
                                  static_cast<double>(division.placingZoneCount()));
    indexTargets();
}

bool ServiceBalancer::isPlacedHere(const TargetState &target) const
{
    return !m_division.isDivided() || m_division.placingZone(target.registered().zone) ==
                                              m_division.placingZone(m_settings.zone);
}

void ServiceBalancer::applyZoneRoom(const ZoneRoom &room, TimePoint now)
{
    const ZoneId own = m_division.placingZone(m_settings.zone);
    if (room.zone != own && m_division.placingZones().contains(room.zone))
        m_roomOfZones.apply(room, m_division.placingZoneCount() - 1, now);
}

ZoneRoom ServiceBalancer::zoneRoom(TimePoint now) const
{
    ZoneRoom room;
    room.service = m_service;
    room.zone = m_division.placingZone(m_settings.zone);
    double slowdowns = 0;
    int usable = 0;
    int freeSlots = 0;
    for (const TargetState *target : m_ownTargets) {
        if (!isEligible(*target, VersionRole::Old) || target->isUnavailable(now) ||
            target->isCold(now) || !looksHealthy(*target, now))
            continue;
        ++usable;
        slowdowns += expectedSlowdown(*target, now);
        const int left = usableSlots(*target) - target->inFlight(now, m_settings).value();
        freeSlots += std::max(left, 0);
    }
    if (m_waiting.empty())
        room.freeSlots = Slots(freeSlots);
    if (usable > 0)
        room.slowdown =
                static_cast<std::uint16_t>(std::clamp(slowdowns / usable * 100, 1.0, 60'000.0));
    return room;
}

std::optional<OtherZone> ServiceBalancer::spill(const PlacementRequest &request,
                                                const Decision &decision, TimePoint now)
{
    if (!m_division.isDivided() || request.isSpilled)
        return std::nullopt;
    const bool hasRoom = decision.chosen && !decision.isLastResort;
    double maxSlowdown = std::numeric_limits<double>::max();
    if (hasRoom)
        maxSlowdown = expectedSlowdown(*decision.chosen->target, now) / slowZoneFactor;
    auto zone = m_roomOfZones.takeSlot(maxSlowdown, now);
    // Only the placing hosts of the other zones know how full their targets are.
    if (!zone && decision.isLastResort)
        zone = m_roomOfZones.takePlaceInQueue(now);
    if (!zone)
        return std::nullopt;
    ++m_counters.spilled;
    return OtherZone{std::move(*zone), hasRoom};
}

} // namespace endivedock
