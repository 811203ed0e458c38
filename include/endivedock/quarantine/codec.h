#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/quarantine/messages.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, CrashReport &crash)
{
    archive(crash.target, crash.zone, crash.startAge, crash.age);
}

template <typename Archive>
void serialize(Archive &archive, CrashRecord &record)
{
    archive(record.request, record.crashes, record.answerAge, record.trialAge);
}

template <typename Archive>
void serialize(Archive &archive, CrashRecords &message)
{
    archive(message.records);
}

} // namespace endivedock
