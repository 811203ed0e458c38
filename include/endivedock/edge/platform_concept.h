#pragma once

#include "endivedock/edge/registry.h"
#include "endivedock/gateway.h"
#include "endivedock/store/store_concept.h"

#include <concepts>

namespace endivedock {

/** What the front end needs to know of its host. */
struct FrontEndContext
{
    const Registry &registry;
    WeightedRoundRobin &roundRobin;
};

/**
 * A platform that the edge host runs on: its store, its interface towards callers and targets, and
 * how its keys and answers are read. Translates only.
 */
template <typename P>
concept EdgePlatform =
        WatchableStore<typename P::Store> && FrontEnd<typename P::Front> &&
        requires(const StoreEntry &entry, const FrontEndContext &context, const ServiceId &service,
                 const VersionId &version, RolloutState state, const RegisteredHost &host,
                 const std::string &name, const ResponseHead &answer) {
            {
                P::parseRecord(entry)
            } -> std::same_as<RegistryRecord>;
            {
                P::makeFrontEnd(context)
            } -> std::same_as<typename P::Front>;
            /** Key and value of a verdict on a move. */
            {
                P::makeVerdictEntry(service, version, state)
            } -> std::same_as<StoreEntry>;
            /** Key and value of a host's own entry. */
            {
                P::makeHostEntry(name, host)
            } -> std::same_as<StoreEntry>;
            {
                P::parseProbeResponse(answer)
            } -> std::same_as<ProbeResult>;
            /** Path under which the platform asks for readiness. */
            {
                P::readinessPath()
            } -> std::convertible_to<std::string_view>;
        };

} // namespace endivedock
