#pragma once

#include "endivedock/core.h"
#include "endivedock/net.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endivedock {

/** The store could not be reached, or its answer was lost: a write may have taken effect. */
class StoreUnavailable : public Error
{
public:
    using Error::Error;
};

/** The store answered with something that is not its protocol, or refused the call. */
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

/** All keys of one prefix as of one revision. */
struct StoreSnapshot
{
    Revision revision;
    std::vector<StoreEntry> entries;
};

/** One change of a key; without a value it was removed. */
struct StoreChange
{
    std::string key;
    std::optional<std::string> value;
    Revision modRevision;
};

/** The changes after one revision, up to and including another. */
struct StoreChanges
{
    Revision revision;
    std::vector<StoreChange> changes;
};

/** The store no longer holds the changes that were asked for; all keys must be listed again. */
class RevisionCompacted : public Error
{
public:
    using Error::Error;
};

/** One key of a compare-and-swap. */
struct ConditionalPut
{
    std::string key;
    /** The key's last change that the writer knows; 0 if it must not exist. */
    Revision modRevision;
    std::string value;
};

/** What a compare-and-swap found. */
struct CompareAndSwapResult
{
    bool swapped = false;
    /** Revision of the store after the call. */
    Revision revision;
    /** The present entry where the swap lost; absent if the key does not exist. */
    std::optional<StoreEntry> present;
};

/**
 * What the product needs of the platform's service. Every call throws StoreUnavailable when no
 * answer came; a write may then have taken effect and is settled by reading back.
 *
 *  - get(key)                      the entry, if it exists
 *  - list(prefix)                  a consistent snapshot
 *  - compareAndSwap(swaps, lease)  writes all or none; none if any key has changed meanwhile
 *  - grantLease / renewLease / revoke
 *  - awaitChange(prefix, after, timeout)
 *                                  true when a key under prefix changed after revision @p after
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
 * A store that tells what changed, not only that something did.
 *
 *  - watch(prefix, after, timeout)  the changes after revision @p after, as soon as there is one;
 *                                   none if the time passes; throws RevisionCompacted
 */
template <typename S>
concept WatchableStore =
        Store<S> && requires(S store, std::string prefix, Revision after, Milliseconds time) {
            {
                store.watch(prefix, after, time)
            } -> std::same_as<Task<StoreChanges>>;
        };

/** Stands for "no lease". */
inline const LeaseId noLease{0};

/**
 * Writes, and where the answer is lost finds out by reading back whether the write took effect;
 * never writes twice.
 *
 * @return as compareAndSwap
 * @throws StoreUnavailable if reading back fails as well
 */
template <Store S>
Task<CompareAndSwapResult> compareAndSwapWithReadBack(S &store,
                                                      std::vector<ConditionalPut> conditionalPuts)
{
    bool lost = false;
    try {
        co_return co_await store.compareAndSwap(conditionalPuts, noLease);
    } catch (const StoreUnavailable &) {
        lost = true;
    }
    requireInvariant(lost, "only a lost answer is settled by reading back");
    // The write is atomic, so one key tells of all.
    const ConditionalPut &first = conditionalPuts.front();
    std::optional<StoreEntry> present = co_await store.get(first.key);
    CompareAndSwapResult result;
    result.swapped =
            present && present->value == first.value && present->modRevision > first.modRevision;
    result.revision = present ? present->modRevision : Revision(0);
    result.present = std::move(present);
    co_return result;
}

} // namespace endivedock
