#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/loadreports/messages.h"
#include "endivedock/rollout/codec.h"

#include <algorithm>

namespace endivedock {

// Ages are short, and there is one for each of hundreds of targets.
template <typename Archive>
void save(Archive &archive, const TargetLoad &news)
{
    const auto age = static_cast<std::uint16_t>(std::min<std::int64_t>(news.age.count(), 65'535));
    archive(news.target, news.inFlight, news.slowdown, age);
}

template <typename Archive>
void load(Archive &archive, TargetLoad &news)
{
    std::uint16_t age = 0;
    archive(news.target, news.inFlight, news.slowdown, age);
    news.age = Milliseconds(age);
}

template <typename Archive>
void serialize(Archive &archive, RolloutSample &answer)
{
    archive(answer.role, answer.route, answer.failed, answer.time);
}

template <typename Archive>
void serialize(Archive &archive, ServiceLoadReport &news)
{
    archive(news.service, news.targets, news.rolloutSamples, news.rollout);
}

template <typename Archive>
void serialize(Archive &archive, HostLoadReport &news)
{
    archive(news.services);
}

template <typename Archive>
void serialize(Archive &archive, AggregatedServiceLoad &picture)
{
    archive(picture.service, picture.targets, picture.rollout);
}

template <typename Archive>
void serialize(Archive &archive, AggregatedLoad &picture)
{
    archive(picture.services);
}

} // namespace endivedock
