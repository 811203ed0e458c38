#pragma once

#include "endivedock/core.h"

#include <algorithm>
#include <optional>

namespace endivedock {

/**
 * The time for which a target has asked this host, with a refusal, to send no requests, and the
 * return of the host's requests afterwards. The host may then have one request in flight at the
 * target, and twice as many after each response, so that requests do not all return at once.
 */
class TargetPause
{
public:
    /** Starts a pause, or extends it. A pause is never longer than maxTime. */
    void start(TimePoint now, Milliseconds time)
    {
        m_until = std::max(m_until, now + std::min(time, maxTime));
        m_limit = Slots(1);
    }
    /** @param inFlight  requests of this host in flight at the target */
    bool isClosed(TimePoint now, Slots inFlight) const
    {
        return now < m_until || (m_limit && inFlight >= *m_limit);
    }
    /** @return whether isClosed() depends on the requests in flight, or the target is paused */
    bool isActive() const { return m_limit.has_value(); }
    /** @return when the pause ends; in the past if the target is not paused */
    TimePoint until() const { return m_until; }
    /**
     * Records a response that does not extend the pause.
     *
     * @param sentAt  when the request was sent; one from before the end of the pause has no effect
     * @param slots   slots of the target; a limit that reaches them ends
     */
    void recordResponse(TimePoint sentAt, Slots slots)
    {
        if (!m_limit || sentAt < m_until)
            return;
        m_limit = *m_limit + *m_limit;
        if (*m_limit >= slots)
            m_limit.reset();
    }

    static constexpr Milliseconds maxTime{60'000};

private:
    TimePoint m_until{};
    /** Absent if this host's requests are not limited. */
    std::optional<Slots> m_limit;
};

} // namespace endivedock
