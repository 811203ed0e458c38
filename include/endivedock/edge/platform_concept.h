#pragma once

#include "endivedock/edge/registry.h"
#include "endivedock/freshness.h"
#include "endivedock/gateway.h"
#include "endivedock/store/store_concept.h"
#include "endivedock/usage.h"

#include <concepts>

namespace endivedock {

/** State of the edge host that the platform's front end uses. */
struct FrontEndContext
{
    const Registry &registry;
    WeightedRoundRobin &roundRobin;
    const ConfigurationFreshness &freshness;
    BootTimeSource bootTime = &BootClock::now;
};

/**
 * Client of the receiver of usage reports.
 *
 *  - report(holder, report, timeout)  sends one report; holder is the name of the host
 */
template <typename R>
concept UsageReceiver =
        requires(R receiver, std::string holder, UsageReport report, Milliseconds timeout) {
            {
                receiver.report(holder, report, timeout)
            } -> std::same_as<Task<UsageAnswer>>;
        };

/**
 * Adapter to the platform that the edge host runs on: the key-value store, the interface towards
 * callers and targets, and the formats of store entries and probe responses. The adapter only
 * translates and makes no decision.
 */
template <typename P>
concept EdgePlatform =
        WatchableStore<typename P::Store> && FrontEnd<typename P::Front> &&
        UsageReceiver<typename P::Usage> &&
        requires(typename P::Store store, const StoreEntry &entry, const FrontEndContext &context,
                 const ServiceId &service, const VersionId &version, RolloutState state,
                 const RegisteredHost &host, const std::string &name, const ResponseHead &response,
                 const CrashRecords &records, Milliseconds time) {
            /** @return the store key of the configuration */
            {
                P::configurationKey()
            } -> std::convertible_to<std::string_view>;
            /** Same as get(), with a timeout of the call. */
            {
                store.getWithin(name, time)
            } -> std::same_as<Task<std::optional<StoreEntry>>>;
            {
                P::parseRecord(entry)
            } -> std::same_as<RegistryRecord>;
            {
                P::makeFrontEnd(context)
            } -> std::same_as<typename P::Front>;
            /** @return the store key and value of the status of a rollout */
            {
                P::makeRolloutStatusEntry(service, version, state)
            } -> std::same_as<StoreEntry>;
            /** @return the store key and value with which a host registers */
            {
                P::makeHostEntry(name, host)
            } -> std::same_as<StoreEntry>;
            /** @return the store key and value of the crash records, at a Unix time */
            {
                P::makeCrashRecordsEntry(records, time)
            } -> std::same_as<StoreEntry>;
            {
                P::parseProbeResponse(response)
            } -> std::same_as<ProbeResult>;
            /** @return the path of the platform's readiness check */
            {
                P::readinessPath()
            } -> std::convertible_to<std::string_view>;
        };

} // namespace endivedock
