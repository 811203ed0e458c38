#pragma once

#include "endivedock/core.h"
#include "endivedock/routes.h"

namespace endivedock {

/** Number of one question; drawn at random, so that a restarted host takes no earlier answer. */
using FreshnessQuestionId = StrongId<struct FreshnessQuestionTag, std::uint64_t>;

/** Asks as of which moment the receiver knows that its configuration is the newest one. */
struct FreshnessQuestion
{
    FreshnessQuestionId id;
};

/**
 * Answers a question. The age counts from the moment at which the question was sent, since that is
 * the only moment known to the host that asked which is certainly before the answer.
 */
struct FreshnessAnswer
{
    FreshnessQuestionId id;
    /** Version of the sender's configuration. */
    ConfigurationVersion configuration;
    /** Time since the moment as of which no newer configuration existed, rounded up. */
    Milliseconds age{0};
};

} // namespace endivedock
