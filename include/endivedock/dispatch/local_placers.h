#pragma once

#include "endivedock/config.h"
#include "endivedock/directory/listing.h"
#include "endivedock/placement.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace endivedock {

/**
 * The placers of the services of which this host is the placing host. Does no I/O: all answers, to
 * requests of this host and of other hosts, are passed to a function. Not thread-safe.
 */
class LocalPlacers
{
public:
    using AnswerHandler = std::function<void(PlacementAnswer)>;

    /**
     * @param random    must outlive this object
     * @param onAnswer  called with each answer of the placers
     */
    LocalPlacers(Random &random, AnswerHandler onAnswer)
        : m_random(random)
        , m_onAnswer(std::move(onAnswer))
    {
    }

    /**
     * Applies the newest declarations, and stops services that are no longer declared.
     *
     * @param wallMs  current Unix time in milliseconds
     */
    void configure(std::shared_ptr<const Declarations> declarations, TimePoint now,
                   std::int64_t wallMs);
    void setTargets(const std::vector<ListedTarget> &listed, TimePoint now);

    /**
     * Starts placing a service. Does nothing if the service is not declared or is already placed.
     *
     * @param coldAllowedFrom  cold targets get no requests before this time, unless the placer's
     *                         endTakeover() is called earlier
     */
    void start(const ServiceId &service, TimePoint coldAllowedFrom, TimePoint now,
               std::int64_t wallMs);
    /** Stops placing a service and answers its queued requests with NotPlacingHost. */
    void stop(const ServiceId &service);

    bool isPlacing(const ServiceId &service) const { return m_placers.contains(service); }
    /** @return the placer, or null; valid until the next start(), stop() or configure() */
    Placer *placer(const ServiceId &service);
    std::vector<ServiceId> services() const;

    /** Passes a request to the service's placer; answers NotPlacingHost if there is none. */
    void request(const PlacementRequest &request, TimePoint now);
    void finish(const AttemptReport &report, TimePoint now);
    void cancel(const PlacementCancel &cancel, TimePoint now);
    void tick(TimePoint now);

private:
    void deliver(PlacementAnswers answers);
    const std::vector<ListedTarget> &listedFor(const ServiceId &service) const;

    Random &m_random;
    AnswerHandler m_onAnswer;
    std::shared_ptr<const Declarations> m_declarations;
    std::map<ServiceId, std::vector<ListedTarget>> m_listed;
    std::map<ServiceId, std::unique_ptr<Placer>> m_placers;
};

} // namespace endivedock
