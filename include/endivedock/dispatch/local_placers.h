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
 * The placers of the services that this host places at present. Does no I/O: answers are handed to
 * a function, for this host's own requests as for those of others.
 */
class LocalPlacers
{
public:
    using Deliver = std::function<void(PlacementAnswer)>;

    /** @param random  must outlive this object */
    LocalPlacers(Random &random, Deliver deliver)
        : m_random(random)
        , m_deliver(std::move(deliver))
    {
    }

    /** Applies the newest declarations; @param wallMs Unix time now */
    void configure(std::shared_ptr<const Declarations> declarations, TimePoint now,
                   std::int64_t wallMs);
    void setTargets(const std::vector<ListedTarget> &listed, TimePoint now);

    /**
     * Starts to place a service.
     *
     * @param coldFrom  cold targets get nothing before, unless endTakeover() comes first
     */
    void start(const ServiceId &service, TimePoint coldFrom, TimePoint now, std::int64_t wallMs);
    /** Stops placing a service; what waits is told to ask elsewhere. */
    void stop(const ServiceId &service);

    bool isPlacing(const ServiceId &service) const { return m_placers.contains(service); }
    /** @return the placer, or null; valid until start(), stop() or configure() */
    Placer *placer(const ServiceId &service);
    std::vector<ServiceId> services() const;

    void request(const PlacementRequest &request, TimePoint now);
    void finish(const AttemptReport &report, TimePoint now);
    void cancel(const PlacementCancel &cancel, TimePoint now);
    void tick(TimePoint now);

private:
    void deliver(PlacementAnswers answers);
    const std::vector<ListedTarget> &listedFor(const ServiceId &service) const;

    Random &m_random;
    Deliver m_deliver;
    std::shared_ptr<const Declarations> m_declarations;
    std::map<ServiceId, std::vector<ListedTarget>> m_listed;
    std::map<ServiceId, std::unique_ptr<Placer>> m_placers;
};

} // namespace endivedock
