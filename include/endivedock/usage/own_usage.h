#pragma once

#include "endivedock/usage/messages.h"

#include <map>
#include <vector>

namespace endivedock {

/** Counts the requests that this host sent to targets, and says which counts are to be sent now. */
class OwnUsage
{
public:
    OwnUsage(HostId self, Incarnation incarnation, const UsageSettings &settings)
        : m_self(self)
        , m_incarnation(incarnation)
        , m_settings(settings)
    {
    }

    /** Counts a request of @p team whose run began at a Unix time. */
    void record(const TeamId &team, Milliseconds timeOfDay);
    /**
     * @return the counts that changed, each in several successive calls; besides, all counts of a
     * window several times after its end. No receipts are needed: any message may be lost.
     */
    std::vector<UsageCounts> takeDue(Milliseconds timeOfDay);
    /** @return requests that were not counted, since there were too many teams */
    std::uint64_t uncounted() const { return m_uncounted; }

    /** Teams that are counted in one window. */
    static constexpr std::size_t maxTeams = 4096;
    /** Calls of takeDue() that return a changed count. */
    static constexpr int sendsOfChange = 2;

private:
    struct Count
    {
        std::uint32_t value = 0;
        int remainingSends = 0;
    };
    struct Window
    {
        std::map<TeamId, Count> teams;
        /** How often all counts were sent after the window's end. */
        std::size_t fullSends = 0;
    };

    HostId m_self;
    Incarnation m_incarnation;
    UsageSettings m_settings;
    std::map<UsageWindow, Window> m_windows;
    std::uint64_t m_uncounted = 0;
};

} // namespace endivedock
