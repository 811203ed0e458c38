#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/loadnews/messages.h"
#include "endivedock/moves/codec.h"

#include <algorithm>

namespace endivedock {

// Ages are short, and there is one for each of hundreds of targets.
template <typename Archive>
void save(Archive &archive, const TargetNews &news)
{
    const auto age = static_cast<std::uint16_t>(std::min<std::int64_t>(news.age.count(), 65'535));
    archive(news.target, news.inFlight, news.slowdown, age);
}

template <typename Archive>
void load(Archive &archive, TargetNews &news)
{
    std::uint16_t age = 0;
    archive(news.target, news.inFlight, news.slowdown, age);
    news.age = Milliseconds(age);
}

template <typename Archive>
void serialize(Archive &archive, MoveAnswer &answer)
{
    archive(answer.side, answer.route, answer.failed, answer.time);
}

template <typename Archive>
void serialize(Archive &archive, ServiceNews &news)
{
    archive(news.service, news.targets, news.answers, news.move);
}

template <typename Archive>
void serialize(Archive &archive, HostNews &news)
{
    archive(news.services);
}

template <typename Archive>
void serialize(Archive &archive, ServicePicture &picture)
{
    archive(picture.service, picture.others, picture.move);
}

template <typename Archive>
void serialize(Archive &archive, HostPicture &picture)
{
    archive(picture.services);
}

} // namespace endivedock
