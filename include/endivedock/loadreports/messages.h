#pragma once

#include "endivedock/balancing.h"
#include "endivedock/core.h"
#include "endivedock/rollout.h"

#include <optional>
#include <vector>

namespace endivedock {

/** Load of one service as one host observed it. */
struct ServiceLoadReport
{
    ServiceId service;
    std::vector<TargetLoad> targets;
    /** Responses during a running rollout, since the last report. */
    std::vector<RolloutSample> rolloutSamples;
    /** Progress of the running rollout, as far as the host knows it. */
    std::optional<RolloutProgress> rollout;
};

/** Load report of one host, sent to each placing host several times a second. */
struct HostLoadReport
{
    std::vector<ServiceLoadReport> services;
};

/** Load of one service, summed over all other hosts. */
struct AggregatedServiceLoad
{
    ServiceId service;
    std::vector<TargetLoad> targets;
    std::optional<RolloutProgress> rollout;
};

/** The placing host's reply to HostLoadReport. */
struct AggregatedLoad
{
    std::vector<AggregatedServiceLoad> services;
};

} // namespace endivedock
