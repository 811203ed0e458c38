#pragma once

#include "endivedock/core.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace endivedock {

/** One process of a target; a target that restarts under its id is another process. */
struct TargetProcess
{
    TargetId id;
    Address address;
    /** What distinguishes processes under one id and address, such as the time of the start. */
    std::optional<std::int64_t> startedAt;

    auto operator<=>(const TargetProcess &) const = default;
};

/** A process that has stated in a response that it is draining. */
struct DrainingProcess
{
    TargetProcess process;
    /** Time since the first such response that the sender of this message knows of. */
    Milliseconds age{0};
};

/** Tells the other hosts which targets of a service have stated that they are draining. */
struct DrainingNotice
{
    ServiceId service;
    std::vector<DrainingProcess> targets;
};

/**
 * The target processes of one service that have stated in a response, to this host or to another
 * one, that they are draining. A process never leaves this state, whatever the registry contains:
 * its entry may say otherwise for a while, or be removed and return. Holds up to maxProcesses, of
 * which the oldest are forgotten first. Not thread-safe.
 */
class DrainingTargets
{
public:
    /**
     * Records a response to this host, which is announced to the other hosts.
     *
     * @return whether the process was not known to be draining
     */
    bool recordResponse(const TargetProcess &process, TimePoint now);
    /**
     * Records what another host has learned.
     *
     * @param since  when the process first stated that it is draining
     * @return whether the process was not known to be draining
     */
    bool recordNotice(const TargetProcess &process, TimePoint since);
    bool contains(const TargetProcess &process) const { return m_processes.contains(process); }
    /** @return the process and the age of its first statement; nothing if it is not draining */
    std::optional<DrainingProcess> find(const TargetProcess &process, TimePoint now) const;
    std::size_t size() const { return m_processes.size(); }

    /**
     * @return the processes to announce now, at most maxAnnounced. Each one is announced
     *         announcementCount times, since messages between hosts may be lost.
     */
    std::vector<DrainingProcess> takeAnnouncements(TimePoint now);

    static constexpr std::size_t maxProcesses = 4096;
    /** Keeps a notice within one datagram. */
    static constexpr std::size_t maxAnnounced = 64;
    static constexpr int announcementCount = 3;
    static constexpr Milliseconds announcementInterval{300};

private:
    struct State
    {
        TimePoint since;
        int remainingAnnouncements = 0;
        TimePoint nextAnnouncementAt{};
    };

    bool record(const TargetProcess &process, const State &state);

    std::map<TargetProcess, State> m_processes;
    /** The keys of m_processes, the oldest first. */
    std::deque<TargetProcess> m_order;
    /** Processes with remaining announcements. */
    std::vector<TargetProcess> m_unannounced;
};

} // namespace endivedock
