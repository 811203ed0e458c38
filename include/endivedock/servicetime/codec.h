#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/servicetime/messages.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, RequestClass &requestClass)
{
    archive(requestClass.route, requestClass.profile);
}

template <typename Archive>
void serialize(Archive &archive, ServiceTimeEstimate &estimate)
{
    archive(estimate.time, estimate.samples);
}

template <typename Archive>
void serialize(Archive &archive, ProfileTime &entry)
{
    archive(entry.profile, entry.estimate);
}

template <typename Archive>
void serialize(Archive &archive, SharedServiceTimes &shared)
{
    archive(shared.mean, shared.profiles);
}

} // namespace endivedock
