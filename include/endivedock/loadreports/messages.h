#pragma once

#include "endivedock/balancing.h"
#include "endivedock/core.h"
#include "endivedock/rollout.h"
#include "endivedock/servicetime.h"

#include <optional>
#include <utility>
#include <vector>

namespace endivedock {

/** Load of one service as one host observed it. */
struct ServiceLoadReport
{
    ServiceId service;
    std::vector<TargetLoad> targets;
    /** Responses that the host received during a running rollout since its last report. */
    std::vector<RolloutSample> rolloutSamples;
    /** Progress of the running rollout, as far as the host knows it. */
    std::optional<RolloutProgress> rollout;
};

/** Load report of one host, sent to each placing host several times a second. */
struct HostLoadReport
{
    std::vector<ServiceLoadReport> services;
};

/**
 * Load of one service at all hosts except the receiver of this message, as
 * LoadAggregator::applyReport() returns it.
 */
struct AggregatedServiceLoad
{
    ServiceId service;
    /** The targets that this message describes; other messages describe the rest. */
    TargetRange range;
    /** In the order of the targets. */
    std::vector<TargetLoad> targets;
    /** Progress of the running rollout, as LoadAggregator::progress() returns it. */
    std::optional<RolloutProgress> rollout;
    /** Service times that the placing host has learned; empty if it places no requests. */
    SharedServiceTimes serviceTimes;
};

/** The placing host's reply to HostLoadReport. */
struct AggregatedLoad
{
    std::vector<AggregatedServiceLoad> services;
};

/**
 * Divides a message that is too long for a datagram. Each part can be used without the other, so
 * that either may get lost.
 *
 * @return two messages, each of about half the length; nothing if the message cannot be divided
 */
std::optional<std::pair<AggregatedLoad, AggregatedLoad>> divide(const AggregatedLoad &aggregated);
/** As for AggregatedLoad; the reports on one service cannot be divided. */
std::optional<std::pair<HostLoadReport, HostLoadReport>> divide(const HostLoadReport &report);

} // namespace endivedock
