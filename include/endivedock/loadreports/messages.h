#pragma once

#include "endivedock/balancing.h"
#include "endivedock/core.h"
#include "endivedock/rollout.h"

#include <optional>
#include <vector>

namespace endivedock {

/** What one host knows first hand of one service. */
struct ServiceLoadReport
{
    ServiceId service;
    std::vector<TargetLoad> targets;
    /** Answers during a running move, since the last message. */
    std::vector<RolloutSample> rolloutSamples;
    /** How far the host knows the running move to be. */
    std::optional<RolloutProgress> rollout;
};

/** Sent to the placing hosts several times a second. */
struct HostLoadReport
{
    std::vector<ServiceLoadReport> services;
};

/** What all other hosts know of one service. */
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
