#pragma once

#include "endivedock/hedging/response_times.h"
#include "endivedock/limits.h"
#include "endivedock/servicetime.h"

#include <optional>
#include <string_view>

namespace endivedock {

/** Why a second attempt at a slow request is not made. */
enum class HedgeRefusal : std::uint8_t {
    /** The operators allow none. */
    Off,
    /** A rollout is running: its versions are compared by what they run. */
    Rollout,
    /** Copies of the request may have crashed targets. */
    Suspect,
    /** The first target has sent nothing since it got the request, so it may have crashed. */
    SilentTarget,
    /** Requests wait, or the targets are nearly full. */
    NoRoom,
    /** No other target is warm, healthy, open and free. */
    NoTarget,
    /** The second attempt would end too late as well. */
    TooLate,
    /** The operators' share of the service's requests is used. */
    ShareUsed,
    /** Retries after failures may need what is left of the retry budget. */
    RetryBudget,
};

/** @return the stable name of @p reason in logs; static lifetime */
std::string_view name(HedgeRefusal reason);

/** Time that a request has left. */
struct TimeLeft
{
    /** Until its latency objective; zero if it has none, or if the objective has passed. */
    Milliseconds objective{0};
    Milliseconds deadline{0};
};

/** What the placing host knows when a second attempt is asked for. */
struct HedgeSituation
{
    bool isRollingOut = false;
    bool isSuspect = false;
    bool isFirstTargetSilent = false;
    bool hasWaitingRequests = false;
    /** Requests in flight at the usable targets, as a share of what they may be given. */
    Share utilization{0};
    /** Expected time at the chosen target; absent if there is none. */
    std::optional<Microseconds> expectedTime;
    TimeLeft timeLeft;
};

/**
 * Decides for one service when a request that has no response yet is worth a second attempt at
 * another target, a hedge, and whether it may have one. Times are learned by route. The hedges are
 * limited to a share of the first attempts, and count as retries besides. Not thread-safe.
 */
class HedgingPolicy
{
public:
    /** @param share  hedges allowed, as a share of the first attempts; zero for none */
    explicit HedgingPolicy(Share share);

    void setShare(Share share);
    bool isOn() const { return m_share > Share(0); }
    void recordFirstAttempt(TimePoint now) { m_limit.recordFirstAttempt(now); }
    /**
     * Records how long a first attempt took.
     *
     * @param time  a lower bound if the attempt was cancelled because the hedge was faster
     */
    void recordTime(RouteKey route, Microseconds time);

    /**
     * Returns the time after the start of a first attempt at which a hedge is worth its work: when
     * the attempt is among the slowest, as many as the share allows, or earlier if a hedge would
     * else end too late.
     *
     * @return nothing if no hedge should be made
     */
    std::optional<Milliseconds> startAfter(RouteKey route, const TimeLeft &timeLeft) const;

    /**
     * Decides about one hedge, and counts it if it is allowed.
     *
     * @param retries  the retry budget of the service; the hedge is counted there, too
     * @return nothing if the hedge may be made
     */
    std::optional<HedgeRefusal> refusalOrCount(const HedgeSituation &situation,
                                               RetryBudget &retries, TimePoint now);

private:
    /** Routes whose times are kept; the oldest ones are dropped. A route takes about 900 bytes. */
    static constexpr std::size_t maxRoutes = 256;

    std::optional<HedgeRefusal> refusalFor(const HedgeSituation &situation) const;

    Share m_share;
    /** Counts first attempts and hedges over the window of the retry budget. */
    RetryBudget m_limit;
    BoundedMap<RouteKey, ResponseTimes> m_times{maxRoutes};
};

} // namespace endivedock
