#pragma once

#include "endivedock/config.h"
#include "endivedock/directory/listing.h"
#include "endivedock/dispatch/target_statements.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace endivedock {

/**
 * The listed targets, and which of them this host must not use because of what they have stated to
 * it. Not thread-safe.
 */
class TargetAvailability
{
public:
    /** Replaces the list of targets. Ended pauses of targets that are not listed are forgotten. */
    void setTargets(std::vector<ListedTarget> listed, TimePoint now);
    const std::vector<ListedTarget> &listed() const { return m_listed; }
    /** @return the target, or null if it is not listed */
    const ListedTarget *find(const TargetId &id) const;

    /** Records that an attempt of this host at the target begins. */
    void recordStart(const TargetId &id);
    /** Records that an attempt of this host at the target has ended. */
    void recordEnd(const TargetId &id);

    TargetStatements &statements() { return m_statements; }
    const TargetStatements &statements() const { return m_statements; }

    /** @return what the target has stated to this host, if it is draining */
    std::optional<DrainingProcess> findDraining(const ListedTarget &target, TimePoint now) const;
    /** @return whether the target wants no requests from this host now */
    bool isPaused(const TargetId &id, TimePoint now) const;
    /** @return whether this host must not send a further request to the target; see TargetPause */
    bool isClosed(const ListedTarget &target, TimePoint now) const;
    std::vector<TargetId> closedTargets(const ServiceId &service, TimePoint now) const;
    /**
     * @return when the first of the usable targets of the service opens to this host, if all of
     *         them are closed; nothing if there are none
     */
    std::optional<TimePoint> allClosedUntil(const Service &service, TimePoint now) const;

private:
    std::vector<ListedTarget> m_listed;
    std::unordered_map<TargetId, std::size_t> m_index;
    std::unordered_map<ServiceId, std::vector<std::size_t>> m_indexesByService;
    /** Attempts of this host in flight; targets without any have no entry. */
    std::unordered_map<TargetId, Slots> m_inFlight;
    TargetStatements m_statements;
};

} // namespace endivedock
