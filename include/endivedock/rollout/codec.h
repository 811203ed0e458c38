#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/rollout/rollout_controller.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, RolloutProgress &progress)
{
    archive(progress.number, progress.phase, progress.step, progress.cause);
}

} // namespace endivedock
