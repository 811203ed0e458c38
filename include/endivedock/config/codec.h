#pragma once

#include "endivedock/config/messages.h"
#include "endivedock/core/codec.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, ConfigurationEntry &entry)
{
    archive(entry.key, entry.value);
}

template <typename Archive>
void serialize(Archive &archive, ConfigurationSnapshot &snapshot)
{
    archive(snapshot.revision, snapshot.entries);
}

template <typename Archive>
void serialize(Archive &archive, ConfigurationRequest &request)
{
    archive(request.knownRevision);
}

} // namespace endivedock
