#pragma once

#include "endivedock/edge.h"

#include <optional>
#include <string>

namespace endivedock::testing {

/**
 * Parses entries of a test format: the value of "target:ID" is a service, followed by "#N" with the
 * number of the entry, if any, and by " draining" if the target is draining; the value of "config"
 * is a version, that of "status:SERVICE" a version, followed by " done" if the rollout to it has
 * ended, that of "order:SERVICE" a version; "zone:ID" is an evacuated zone and "host:NAME" a host.
 * The value "bad" is malformed.
 */
inline RegistryRecord parseEntry(const StoreEntry &entry)
{
    if (entry.value == "bad")
        throw RegistryError("the value is bad");
    if (entry.key == "config") {
        const ConfigurationVersion version(std::stoul(entry.value));
        return ConfigurationRecord{std::make_shared<RoutingTable>(
                version, std::vector<Route>{}, std::vector<ServiceRules>{}, RequestLimits{})};
    }
    if (entry.key.starts_with("target:")) {
        RegisteredTarget target;
        target.id = TargetId(entry.key.substr(7));
        target.service = ServiceId(entry.value.substr(0, entry.value.find(' ')));
        target.isDraining = entry.value.ends_with(" draining");
        if (const auto number = entry.value.find('#'); number != std::string::npos) {
            target.service = ServiceId(entry.value.substr(0, number));
            target.sequence = std::stol(entry.value.substr(number + 1));
        }
        target.revision = entry.modRevision;
        return target;
    }
    if (entry.key.starts_with("status:"))
        return RolloutStatus{ServiceId(entry.key.substr(7)),
                             VersionId(entry.value.substr(0, entry.value.find(' '))),
                             entry.value.ends_with(" done") ? RolloutState::Done
                                                            : RolloutState::Running,
                             entry.modRevision};
    if (entry.key.starts_with("order:"))
        return RolloutOrder{ServiceId(entry.key.substr(6)), VersionId(entry.value),
                            Milliseconds(9000), entry.modRevision};
    if (entry.key.starts_with("zone:"))
        return ZoneEvacuationRecord{ZoneId(entry.key.substr(5))};
    if (entry.key.starts_with("host:"))
        return RegisteredHost{hostIdOf(entry.key.substr(5)), {"10.0.0.1", 80}, 1.0};
    return UnknownRecord{};
}

inline StoreChanges change(std::int64_t revision, const std::string &key,
                           const std::optional<std::string> &value)
{
    return {Revision(revision), {{key, value, Revision(revision)}}};
}

} // namespace endivedock::testing
