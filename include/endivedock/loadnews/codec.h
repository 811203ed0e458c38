#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/loadnews/messages.h"
#include "endivedock/moves/codec.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, TargetNews &news)
{
    archive(news.target, news.inFlight, news.slowdown, news.age);
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
