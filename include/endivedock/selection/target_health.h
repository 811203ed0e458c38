#pragma once

#include "endivedock/core.h"

namespace endivedock {

/** When a target counts as slow or failing, and for how long it is left out. */
struct HealthSettings
{
    /** Weight of the newest answer in the smoothed values. */
    double smoothingFactor = 0.1;
    /** A target this many times slower than the median of its service is left out. */
    double slowFactor = 4.0;
    /** And slower by this much: a stall of a host makes all of a fast service's targets look slow.
     */
    Milliseconds slowMargin{20};
    /** Failed part of the answers, above that of the whole service, that leaves a target out. */
    Share failureShareMargin{0.4};
    /** Answers since the last return before a target can be left out for slowness. */
    int minResponses = 5;
    Milliseconds baseEjectionTime{1000};
    Milliseconds maxEjectionTime{30'000};
    /** Good answers, one request at a time, after which a target is back. */
    int probationResponses = 3;
};

/** What is typical of a service's targets, to which one of them is compared. */
struct ServiceBaseline
{
    /** Median of the targets' smoothed times; zero if unknown. */
    Microseconds medianTime{0};
    /** Median of the targets' smoothed failed parts: one bad target must not hide behind itself. */
    Share failed{0.0};
};

/** How many requests a target may hold for the sake of its health. */
enum class HealthState { Healthy, Probation, Ejected };

/**
 * Judges one target by its answers. A target that fails fast looks idle and would attract
 * requests; one that slows down holds its requests long. Both are left out for a time that doubles
 * with each relapse, then tried with one request at a time.
 */
class TargetHealth
{
public:
    explicit TargetHealth(HealthSettings settings = {})
        : m_settings(settings)
    {
    }

    /**
     * Takes an answer into account.
     *
     * @return true if this answer got the target ejected
     */
    bool recordResponse(TimePoint now, Microseconds time, bool failed,
                        const ServiceBaseline &baseline);

    HealthState state(TimePoint now) const;
    /** Smoothed time of good answers; zero before the first. */
    Microseconds meanTime() const { return m_meanTime; }
    /** Smoothed failed part of its answers. */
    Share failedShare() const { return Share(m_failed); }

private:
    bool looksBad(Microseconds time, bool failed, const ServiceBaseline &baseline) const;
    bool isSlow(Microseconds time, const ServiceBaseline &baseline) const;
    void eject(TimePoint now);
    void restore();

    HealthSettings m_settings;
    Microseconds m_meanTime{0};
    double m_failed = 0;
    int m_answers = 0;
    int m_relapses = 0;
    int m_probationLeft = 0;
    TimePoint m_ejectedUntil{};
};

} // namespace endivedock
