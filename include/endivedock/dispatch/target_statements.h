#pragma once

#include "endivedock/core.h"
#include "endivedock/selection.h"

#include <optional>
#include <set>

namespace endivedock {

/**
 * What targets have stated to this host in their responses, by the process that stated it. A
 * process is one incarnation of a target at one address. Not thread-safe.
 */
class TargetStatements
{
public:
    /** The process that sent a response. Without an incarnation, it is the newest one known. */
    struct Source
    {
        TargetId target;
        Address address;
        std::optional<Incarnation> incarnation;
    };

    /**
     * Records the incarnation of the target, of which all smaller ones have ended. The functions
     * below do the same.
     */
    void recordIncarnation(const Source &source);
    /**
     * Records that the process has stated that it is draining.
     *
     * @return whether this was not known
     */
    bool recordDraining(const Source &source, TimePoint now);
    /**
     * @return what the target's newest known process has stated; nothing if it has not stated that
     *         it is draining
     */
    std::optional<DrainingProcess> findDraining(const TargetId &target, const Address &address,
                                                TimePoint now) const;

    /** Starts a pause of a process, or extends it; one of an earlier process has no effect. */
    void startPause(const Source &source, Milliseconds time, TimePoint now);
    /** Records a response that does not extend the pause; see TargetPause::recordResponse(). */
    void recordResponse(const Source &source, TimePoint sentAt, Slots slots);
    /** Forgets the pause of the target, unless it still lasts. */
    void forgetEndedPause(const TargetId &target, TimePoint now);
    /** @return the active pause of the target's newest known process, or null */
    const TargetPause *findPause(const TargetId &target, const Address &address) const;
    /** @return the targets whose newest known process has an active pause */
    const std::set<TargetId> &pausedTargets() const { return m_pausedTargets; }

    /** Largest number of targets whose incarnation is known. */
    static constexpr std::size_t maxTargets = 16'384;

private:
    struct Newest
    {
        TargetProcess process;
        TargetPause pause;
    };

    TargetProcess processOf(const Source &source) const;
    /** @return the target's newest known process, or null if it is not at @p address */
    const Newest *find(const TargetId &target, const Address &address) const;

    BoundedMap<TargetId, Newest> m_newest{maxTargets};
    std::set<TargetId> m_pausedTargets;
    DrainingTargets m_draining;
};

} // namespace endivedock
