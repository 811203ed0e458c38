#pragma once

#include "endivedock/loadnews/messages.h"
#include "endivedock/telemetry.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace endivedock {

/**
 * Adds up what the hosts tell of each service, and decides on version moves by the answers of all
 * of them. State of a few hundred milliseconds: a host that takes over has the same after as many.
 */
class NewsRelay
{
public:
    /**
     * Takes one host's news.
     *
     * @param granted  requests that this host has placed for others than @p from
     * @return what all the others told, and @p granted
     */
    ServicePicture exchange(HostId from, const ServiceNews &news,
                            std::span<const TargetNews> granted, TimePoint now);

    /** @param order  the running order, or nothing; @param startedAt when it was first seen */
    void setOrder(const ServiceId &service, const std::optional<MoveOrder> &order,
                  TimePoint startedAt);
    /** Lets time pass for the moves. */
    void tick(TimePoint now);
    /** @return how far the running move is, by what this host was told */
    std::optional<MoveProgress> progress(const ServiceId &service) const;

    /** What a host told is used for this long. */
    static constexpr Milliseconds newsAge{600};

private:
    struct Told
    {
        std::vector<TargetNews> targets;
        TimePoint at{};
    };
    struct ServiceState
    {
        std::map<HostId, Told> hosts;
        std::optional<VersionMover> mover;
        /** Whether any host has asked here during the move, so that its evidence comes here. */
        bool judging = false;
    };

    void takeAnswer(const ServiceId &service, VersionMover &mover, const MoveAnswer &answer,
                    TimePoint now);

    std::map<ServiceId, ServiceState> m_services;
    Log m_log{"moves"};
};

} // namespace endivedock
