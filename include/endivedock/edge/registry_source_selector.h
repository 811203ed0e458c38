#pragma once

#include "endivedock/core.h"

#include <map>
#include <optional>
#include <span>

namespace endivedock {

/**
 * Selects the host from which this host requests registry changes: one that has announced them. A
 * host that did not respond is not asked again for a while, so that a host which has ended, or
 * which already serves many others, does not keep this host from newer configurations. If no host
 * that announced the changes is left, any other host may have received them meanwhile.
 */
class RegistrySourceSelector
{
public:
    explicit RegistrySourceSelector(Random &random)
        : m_random(random)
    {
    }

    void recordNotice(HostId host, Revision revision, TimePoint now);
    void recordFailure(HostId host, TimePoint now);
    /**
     * @param revision    revision of this host's copy
     * @param otherHosts  all hosts that may be asked
     * @return the host to ask, or nothing if no newer revision is announced or there is no host
     */
    std::optional<HostId> source(Revision revision, std::span<const HostId> otherHosts,
                                 TimePoint now);

    /** An announcement counts for this long: the announcing host repeats it earlier. */
    static constexpr Milliseconds noticeTimeout{1300};
    /** A host that did not respond is not asked again for this long. */
    static constexpr Milliseconds failureTimeout{1000};

private:
    struct Announcement
    {
        Revision revision;
        TimePoint receivedAt;
    };

    bool hasFailed(HostId host, TimePoint now) const;

    Random &m_random;
    std::map<HostId, Announcement> m_announcements;
    std::map<HostId, TimePoint> m_failures;
};

} // namespace endivedock
