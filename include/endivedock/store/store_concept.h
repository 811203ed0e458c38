#pragma once

#include "endivedock/core.h"
#include "endivedock/net.h"
#include "endivedock/store/store_era.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endivedock {

/** The store is unreachable, or its response was lost; a write may have taken effect. */
class StoreUnavailable : public Error
{
public:
    using Error::Error;
};

/** The store sent a response that violates its protocol, or rejected the call. */
class StoreProtocolError : public Error
{
public:
    using Error::Error;
};

using LeaseId = StrongId<struct LeaseTag, std::int64_t>;

/** A key with its value and the revision of its last change. */
struct StoreEntry
{
    std::string key;
    std::string value;
    Revision modRevision;
};

/** All keys with one prefix at one revision of the store. */
struct StoreSnapshot
{
    Revision revision;
    std::vector<StoreEntry> entries;
};

/** One change of a key; without a value if the key was removed. */
struct StoreChange
{
    std::string key;
    std::optional<std::string> value;
    Revision modRevision;
};

/** All changes after the watched revision, up to and including @ref revision. */
struct StoreChanges
{
    Revision revision;
    std::vector<StoreChange> changes;
};

/** The store has compacted the requested revisions; all keys must be listed again. */
class RevisionCompacted : public Error
{
public:
    using Error::Error;
};

/** A write of one key that takes effect only if the key is unchanged. */
struct ConditionalPut
{
    std::string key;
    /** Expected revision of the key's last change; 0 if the key must not exist. */
    Revision modRevision;
    std::string value;
};

/** Result of a compare-and-swap. */
struct CompareAndSwapResult
{
    bool wasSwapped = false;
    /** Revision of the store after the call. */
    Revision revision;
    /** The current entry if the swap failed; absent if the key does not exist. */
    std::optional<StoreEntry> current;
};

/**
 * The platform's key-value store. Every call throws StoreUnavailable if no response arrived. A
 * write may then have taken effect; reading the key back tells whether it did.
 *
 *  - get(key)                      the entry, if the key exists
 *  - list(prefix)                  a consistent snapshot
 *  - compareAndSwap(conditionalPuts, lease)
 *                                  writes all keys, or none if any of them has changed; the
 *                                  keys are attached to the lease, or to none for noLease
 *  - grantLease(time)              a new lease that expires after the time
 *  - renewLease(lease)             false if the lease has expired
 *  - revokeLease(lease)            ends the lease
 *  - awaitChange(prefix, after, timeout)
 *                                  true when a key under prefix has changed after the revision
 *                                  @p after, false if the time passes
 */
template <typename S>
concept Store = requires(S store, std::string key, std::vector<ConditionalPut> conditionalPuts,
                         Revision revision, LeaseId lease, Milliseconds time) {
    {
        store.get(key)
    } -> std::same_as<Task<std::optional<StoreEntry>>>;
    {
        store.list(key)
    } -> std::same_as<Task<StoreSnapshot>>;
    {
        store.compareAndSwap(conditionalPuts, lease)
    } -> std::same_as<Task<CompareAndSwapResult>>;
    {
        store.grantLease(time)
    } -> std::same_as<Task<LeaseId>>;
    {
        store.renewLease(lease)
    } -> std::same_as<Task<bool>>;
    {
        store.revokeLease(lease)
    } -> std::same_as<Task<>>;
    {
        store.awaitChange(key, revision, time)
    } -> std::same_as<Task<bool>>;
};

/**
 * A store that reports changes themselves, not only that keys have changed.
 *
 *  - watch(prefix, after, timeout)  the changes after the revision @p after, as soon as there
 *                                   is one; none if the time passes; throws RevisionCompacted
 */
template <typename S>
concept WatchableStore =
        Store<S> && requires(S store, std::string prefix, Revision after, Milliseconds time) {
            {
                store.watch(prefix, after, time)
            } -> std::same_as<Task<StoreChanges>>;
        };

/** The absence of a lease. */
inline const LeaseId noLease{0};

/**
 * Calls compareAndSwap(). If its response is lost, reads the first key back to find out whether the
 * write took effect; never writes twice.
 *
 * @param conditionalPuts  the writes; at least one
 * @return the result of the compare-and-swap; after a lost response, its revision is that of the
 *         first key, or 0 if the key does not exist
 * @throws StoreUnavailable if reading back fails as well
 */
template <Store S>
Task<CompareAndSwapResult> compareAndSwapWithReadBack(S &store,
                                                      std::vector<ConditionalPut> conditionalPuts)
{
    bool isResponseLost = false;
    try {
        co_return co_await store.compareAndSwap(conditionalPuts, noLease);
    } catch (const StoreUnavailable &) {
        isResponseLost = true; // A handler cannot contain co_await, so the read-back follows it.
    }
    requireInvariant(isResponseLost, "the first key is read back only after a lost response");
    // The write is atomic, so the first key shows whether all keys were written.
    const ConditionalPut &first = conditionalPuts.front();
    std::optional<StoreEntry> current = co_await store.get(first.key);
    CompareAndSwapResult result;
    result.wasSwapped =
            current && current->value == first.value && current->modRevision > first.modRevision;
    result.revision = current ? current->modRevision : Revision(0);
    result.current = std::move(current);
    co_return result;
}

} // namespace endivedock
