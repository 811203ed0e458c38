#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/moves/version_mover.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, MoveProgress &progress)
{
    archive(progress.number, progress.phase, progress.step, progress.cause);
}

} // namespace endivedock
