#pragma once

#include "endivedock/core.h"

namespace endivedock {

/**
 * Counts how often the store has come back from an older copy of its data; 0 for a store that does
 * not say. Revisions are given out again in each era.
 */
using StoreEra = StrongId<struct StoreEraTag, std::uint32_t>;

/** Bits of a Revision for the number that the store gave out; the bits above hold the era. */
constexpr int revisionNumberBits = 43;
constexpr std::int64_t maxRevisionNumber = (std::int64_t{1} << revisionNumberBits) - 1;
constexpr std::uint32_t maxStoreEra = (1u << (62 - revisionNumberBits)) - 1;

/**
 * Returns a revision that is ordered by the era first, so that what the store shows after its
 * return is newer than everything before.
 *
 * @param number  from 0 to maxRevisionNumber
 * @param era     at most maxStoreEra
 */
inline Revision makeRevision(StoreEra era, std::int64_t number)
{
    return Revision((static_cast<std::int64_t>(era.value()) << revisionNumberBits) | number);
}

inline StoreEra eraOf(Revision revision)
{
    return StoreEra(static_cast<std::uint32_t>(revision.value() >> revisionNumberBits));
}

/** @return the number that the store knows the revision by */
inline std::int64_t numberOf(Revision revision)
{
    return revision.value() & maxRevisionNumber;
}

} // namespace endivedock
