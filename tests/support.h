#pragma once

#include "endivedock/config.h"
#include "endivedock/directory/listing.h"
#include "endivedock/placement.h"

#include <cstdlib>
#include <string>
#include <vector>

namespace endivedock::testing {

/**
 * @return the number in the environment variable @p name, or @p defaultValue if the variable is not
 *         set; scripts/soak.sh sets such variables for runs that are longer than those of CI
 */
inline std::uint64_t soakNumber(const char *name, std::uint64_t defaultValue)
{
    const char *text = std::getenv(name);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

/** @return a service whose targets have four slots; tests change the settings that they need */
inline Service makeService(const std::string &id = "bergvik/quotes")
{
    Service service;
    service.id = ServiceId(id);
    service.team = TeamId("bergvik");
    service.settings.slots = Slots(4);
    service.settings.targetQueueLimit = Slots(0);
    service.settings.coldConcurrencyLimit = Slots(1);
    service.settings.warmAfterAnswers = 3;
    service.settings.queueLimit = 100;
    return service;
}

inline ListedTarget makeTarget(int number, const std::string &zone = "a",
                               const std::string &version = "v1",
                               const std::string &service = "bergvik/quotes")
{
    return {TargetId("t" + std::to_string(number)),
            ServiceId(service),
            Address{"127.0.0.1", static_cast<std::uint16_t>(9000 + number)},
            ZoneId(zone),
            VersionId(version),
            ListedState::Live};
}

inline PlacementRequest makeRequest(std::uint64_t number, const ServiceId &service)
{
    PlacementRequest request;
    request.attempt = {HostId(1), RequestId(number), 1};
    request.service = service;
    request.remaining = Milliseconds(1000);
    request.fingerprint = Fingerprint(number);
    return request;
}

/** @return the first placement in @p answers, or null */
inline const Placement *granted(const PlacementAnswers &answers)
{
    for (const auto &answer : answers) {
        if (const auto *placement = std::get_if<Placement>(&answer.outcome))
            return placement;
    }
    return nullptr;
}

/** @return the first refusal in @p answers, or null */
inline const Refusal *refused(const PlacementAnswers &answers)
{
    for (const auto &answer : answers) {
        if (const auto *refusal = std::get_if<Refusal>(&answer.outcome))
            return refusal;
    }
    return nullptr;
}

inline AttemptReport makeReport(const PlacementRequest &request, const Placement &placement,
                                AttemptOutcome outcome = AttemptOutcome::Answered,
                                Microseconds time = Microseconds(10'000))
{
    AttemptReport report;
    report.attempt = request.attempt;
    report.service = request.service;
    report.grant = placement.grant;
    report.target = placement.target;
    report.outcome = outcome;
    report.time = time;
    report.incarnation = Incarnation(1);
    return report;
}

} // namespace endivedock::testing
