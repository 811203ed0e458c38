#pragma once

#include "endivedock/core.h"

#include <set>
#include <utility>

namespace endivedock {

/** When a request is refused for having crashed targets. */
struct QuarantineSettings
{
    /** Crashes of different targets or lives that convict. */
    std::size_t crashesToQuarantine = 2;
    /** A conviction and a suspicion are forgotten after this time. */
    Seconds memory{600};
    /** Fingerprints remembered at most. */
    std::size_t capacity = 10'000;
    /** Reports of lost connections of one target within this time are one crash. */
    Milliseconds oneCrash{1000};
};

/**
 * Finds requests that crash each target that runs them, by the fingerprint of their content. A
 * healthy request that was on a crashed target is cleared by its later success, and a suspect is
 * never placed where another suspect runs, so that one does not carry the blame of the other.
 */
class CrashSuspects
{
public:
    explicit CrashSuspects(QuarantineSettings settings = {})
        : m_settings(settings)
        , m_records(settings.capacity)
    {
    }

    /** Takes note that @p target crashed while the request ran on it. */
    void recordCrash(const Fingerprint &request, const TargetId &target, TimePoint now);
    /** Takes note that the request was answered. */
    void recordResponse(const Fingerprint &request, TimePoint now);

    /** @return whether the request has been on a crashed target and not been cleared */
    bool isSuspect(const Fingerprint &request, TimePoint now);
    /** @return whether the request must be refused */
    bool isQuarantined(const Fingerprint &request, TimePoint now);

private:
    struct Crash
    {
        std::uint64_t number = 0;
        TimePoint at{};
    };
    struct Record
    {
        std::set<std::uint64_t> crashes;
        std::uint64_t answers = 0;
        TimePoint lastCrash{};
    };

    std::uint64_t crashNumber(const TargetId &target, TimePoint now);
    Record *fresh(const Fingerprint &request, TimePoint now);

    QuarantineSettings m_settings;
    BoundedMap<Fingerprint, Record> m_records;
    std::unordered_map<TargetId, Crash> m_lastCrash;
    std::uint64_t m_nextCrash = 1;
};

} // namespace endivedock
