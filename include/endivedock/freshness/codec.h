#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/freshness/messages.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, FreshnessQuestion &question)
{
    archive(question.id);
}

template <typename Archive>
void serialize(Archive &archive, FreshnessAnswer &answer)
{
    archive(answer.id, answer.configuration, answer.age);
}

} // namespace endivedock
