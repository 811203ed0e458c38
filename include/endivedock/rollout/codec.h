#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/rollout/rollout_controller.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, RolloutProgress &progress)
{
    archive(progress.number, enumerator(progress.phase, RolloutPhase::RolledBack), progress.step,
            enumerator(progress.cause, RollbackCause::Operator));
}

} // namespace endivedock
