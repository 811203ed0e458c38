#pragma once

#include "endivedock/balancing.h"
#include "endivedock/edge/registry.h"
#include "endivedock/gateway.h"

#include <map>
#include <memory>
#include <set>

namespace endivedock {

/**
 * The balancers of all services of this host, as a source of placements. Answers at once, so that
 * there is never a waiting request to abandon.
 */
class LocalPlacement
{
public:
    LocalPlacement(const BalancingSettings &settings, Random &random)
        : m_settings(settings)
        , m_random(random)
    {
    }

    // As PlacementSource requires.
    Task<std::variant<PlacedTarget, Refusal>> place(PlacementRequest request, TimePoint deadline);
    void abandon(const AttemptId &) {}
    void report(AttemptReport report);

    /** Takes over what the registry holds. */
    void follow(const Registry &registry, std::size_t hosts, TimePoint now);
    ServiceBalancer *find(const ServiceId &service);
    std::map<ServiceId, std::unique_ptr<ServiceBalancer>> &balancers() { return m_balancers; }
    std::string healthPath(const ServiceId &service) const;

private:
    BalancingSettings m_settings;
    Random &m_random;
    std::map<ServiceId, std::unique_ptr<ServiceBalancer>> m_balancers;
    std::map<ServiceId, std::string> m_healthPaths;
    Log m_log{"balancing"};
};

/** Guards nothing: requests here carry no keys, and each goes to one host only. */
struct NoRunKeys
{
    Task<std::optional<Refusal>> claim(RunClaim, TimePoint) { co_return std::nullopt; }
    void finish(RunClaim, RunEnd) {}
};

} // namespace endivedock
