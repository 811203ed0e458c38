#pragma once

#include "endivedock/core.h"

#include <set>
#include <utility>

namespace endivedock {

/** When a request is refused because it crashed targets. */
struct QuarantineSettings
{
    /**
     * Number of crashes, of different targets or of different incarnations of one target, after
     * which a request is quarantined.
     */
    std::size_t crashesToQuarantine = 2;
    /** A quarantine or suspicion expires if no further crash was recorded for this time. */
    Seconds retention{600};
    /** Maximum number of fingerprints that are kept. */
    std::size_t capacity = 10'000;
    /** Crash reports for one target that follow each other within this time count as one crash. */
    Milliseconds crashMergeWindow{1000};
};

/** A change in what is known of requests that may crash targets, for the log. */
struct CrashEvent
{
    enum class Kind {
        /** The connection to the target was lost while the request ran on it. */
        AttemptLost,
        /** The target has ended, and the request counts as a possible cause. */
        CrashCounted,
        /** The target has ended, but the request was answered recently and is not the cause. */
        CrashIgnored
    };

    Kind kind = Kind::AttemptLost;
    Fingerprint request;
    TargetId target;
    /** Crashes that count for the request. */
    std::size_t crashes = 0;
};

/**
 * Detects requests that crash each target that runs them, by the fingerprint of their content. A
 * harmless request that happened to run on a crashed target is no longer suspect once it has been
 * answered. Callers should keep suspects on different targets (see isSuspect()), so that a crash is
 * attributed to one request only. Not thread-safe.
 */
class CrashSuspects
{
public:
    explicit CrashSuspects(QuarantineSettings settings = {})
        : m_settings(settings)
        , m_records(settings.capacity)
    {
    }

    /** Records that @p target crashed while the request ran on it. */
    void recordCrash(const Fingerprint &request, const TargetId &target, TimePoint now);
    /** Records that the request was answered. */
    void recordResponse(const Fingerprint &request, TimePoint now);

    /** @return whether the request ran on a crashed target and has not been answered since */
    bool isSuspect(const Fingerprint &request, TimePoint now);
    /**
     * @return whether the request must be refused: it has at least crashesToQuarantine crashes, and
     *         more crashes than responses
     */
    bool isQuarantined(const Fingerprint &request, TimePoint now);
    /** @return the crashes that count for the request */
    std::size_t crashCount(const Fingerprint &request, TimePoint now);

private:
    /** The last crash of a target. */
    struct Crash
    {
        std::uint64_t id = 0;
        TimePoint at{};
    };
    /** Crashes and responses of requests with one fingerprint. */
    struct Record
    {
        std::set<std::uint64_t> crashes;
        std::uint64_t responses = 0;
        TimePoint lastCrashAt{};
    };

    /** @return the id of the target's last crash if it is within crashMergeWindow, else a new id */
    std::uint64_t crashIdFor(const TargetId &target, TimePoint now);
    /** @return the record if it has a crash within the retention time, or null */
    Record *findUnexpired(const Fingerprint &request, TimePoint now);

    QuarantineSettings m_settings;
    BoundedMap<Fingerprint, Record> m_records;
    std::unordered_map<TargetId, Crash> m_lastCrashes;
    std::uint64_t m_nextCrashId = 1;
};

} // namespace endivedock
