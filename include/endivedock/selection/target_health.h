#pragma once

#include "endivedock/core.h"

namespace endivedock {

/** When a target counts as slow or failing, and for how long it is ejected. */
struct HealthSettings
{
    /** Weight of the newest response in the smoothed values. */
    double smoothingFactor = 0.1;
    /** A slow target exceeds the median response time of its service by this factor. */
    double slowFactor = 4.0;
    /**
     * A slow target also exceeds the median by this time. Without the margin, a short stall of this
     * host would make all targets of a fast service look slow.
     */
    Milliseconds slowMargin{20};
    /** A failing target exceeds the service's share of failed responses by this margin. */
    Share failureShareMargin{0.4};
    /**
     * Minimum number of responses since the last probation before a target can be ejected as slow.
     */
    int minResponses = 5;
    /**
     * Duration of the first ejection. The duration doubles with each further ejection before the
     * end of a probation, up to maxEjectionTime.
     */
    Milliseconds baseEjectionTime{1000};
    Milliseconds maxEjectionTime{30'000};
    /**
     * Responses, neither failed nor slow, after which probation ends. During probation, a target
     * gets one request at a time.
     */
    int probationResponses = 3;
};

/** Typical values of a service's targets, to which each target is compared. */
struct ServiceBaseline
{
    /** Median of the targets' smoothed response times; zero if unknown. */
    Microseconds medianTime{0};
    /**
     * Median of the targets' smoothed shares of failed responses. A failing target would raise a
     * mean by itself and hide its failures.
     */
    Share failed{0.0};
};

/** Whether a target may receive requests: without restriction, one at a time, or not at all. */
enum class HealthState { Healthy, Probation, Ejected };

/**
 * Outlier ejection of one target, based on its responses. A target that fails fast looks idle and
 * would attract requests; a target that slows down keeps requests in flight for long. Both are
 * ejected for a time that doubles with each ejection, and then receive one request at a time
 * (probation). Not thread-safe.
 */
class TargetHealth
{
public:
    explicit TargetHealth(HealthSettings settings = {})
        : m_settings(settings)
    {
    }

    /**
     * Records a response.
     *
     * @return whether this response caused the target's ejection
     */
    bool recordResponse(TimePoint now, Microseconds time, bool failed,
                        const ServiceBaseline &baseline);

    /** Records that an attempt without a response took at least @p time, as a slow one does. */
    void recordMinimumTime(Microseconds time);

    /** @return whether the target may receive requests at @p now; see HealthState */
    HealthState state(TimePoint now) const;
    /** @return the smoothed time of successful responses; zero before the first one */
    Microseconds meanTime() const { return m_meanTime; }
    /** @return the smoothed share of failed responses */
    Share failedShare() const { return Share(m_failedShare); }

private:
    bool shouldEject(Microseconds time, bool failed, const ServiceBaseline &baseline) const;
    bool isSlow(Microseconds time, const ServiceBaseline &baseline) const;
    void eject(TimePoint now);
    void endProbation();

    HealthSettings m_settings;
    Microseconds m_meanTime{0};
    double m_failedShare = 0;
    int m_responses = 0;
    int m_ejectionsInSequence = 0;
    int m_probationResponsesLeft = 0;
    TimePoint m_ejectedUntil{};
};

} // namespace endivedock
