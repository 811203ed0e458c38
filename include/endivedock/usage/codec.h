#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/usage/messages.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, TeamCount &count)
{
    archive(count.team, count.count);
}

template <typename Archive>
void serialize(Archive &archive, UsageCounts &message)
{
    archive(message.host, message.incarnation, message.window, message.teams);
}

} // namespace endivedock
