#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/edge/registry_messages.h"

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, RegistryEntry &entry)
{
    archive(entry.key, entry.value, entry.modRevision);
}

template <typename Archive>
void serialize(Archive &archive, RegistryNotice &notice)
{
    archive(notice.revision, notice.readsStore, notice.sinceStoreAnswer);
}

template <typename Archive>
void serialize(Archive &archive, RegistryRequest &request)
{
    archive(request.knownRevision);
}

template <typename Archive>
void serialize(Archive &archive, RegistryDelta &delta)
{
    archive(delta.from, delta.revision, delta.entries, delta.hasAllRemovals,
            delta.sinceStoreReconnect);
}

} // namespace endivedock
