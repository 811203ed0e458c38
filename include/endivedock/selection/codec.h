#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/selection/draining_targets.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, TargetProcess &process)
{
    archive(process.id, process.address, process.startedAt);
}

template <typename Archive>
void serialize(Archive &archive, DrainingProcess &draining)
{
    archive(draining.process, draining.age);
}

template <typename Archive>
void serialize(Archive &archive, DrainingNotice &notice)
{
    archive(notice.service, notice.targets);
}

} // namespace endivedock
