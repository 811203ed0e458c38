#pragma once

#include "endivedock/control/change.h"

#include <string>
#include <vector>

namespace endivedock {

/** Another operator has changed the same key; the message names the author and the command. */
class ConflictError : public Error
{
public:
    using Error::Error;
};

/** Author of a change, stored with each declaration. */
struct Author
{
    std::string operatorName;
    /** Command line of the change. */
    std::string command;
};

/** Reads the operators' declarations in the store and changes them by compare-and-swap. */
class OperatorStore
{
public:
    /** @param store  must outlive this object */
    OperatorStore(EtcdStore &store, Author author)
        : m_store(store)
        , m_author(std::move(author))
    {
    }

    /** @return all declarations in the store. @throws StoreUnavailable if it does not answer */
    Task<StoreSnapshot> fetchDeclarations();
    /**
     * Writes in one transaction the declarations of @p desired that differ from @p current.
     *
     * @return the revision of the change, or that of @p current if nothing differs
     * @throws ChangeError       if the declarations would not be valid after the change
     * @throws ConflictError     if another operator has changed a key since @p current was read
     * @throws StoreUnavailable  if the outcome of the write is not known
     */
    Task<Revision> apply(StoreSnapshot current, std::vector<Declaration> desired);

    /**
     * Declares a rollout of @p service.
     *
     * @param deadline  time limit of the rollout; absent for the limit that the service declares
     * @return the revision of the change
     * @throws ChangeError if @p service is not declared or has a running rollout
     * @throws ConflictError, StoreUnavailable  as apply()
     */
    Task<Revision> startRollout(ServiceId service, VersionId from, VersionId to,
                                std::optional<Milliseconds> deadline);
    /**
     * Declares the rollout of @p service rolled back.
     *
     * @return the revision of the change
     * @throws ChangeError if @p service has no rollout or the rollout is done
     * @throws ConflictError, StoreUnavailable  as apply()
     */
    Task<Revision> rollBack(ServiceId service);

    /**
     * Adds a key for the callers of a team. Only its digest is stored.
     *
     * @param key  as callers will send it
     * @return the revision of the change
     * @throws ConflictError, StoreUnavailable  as apply()
     */
    Task<Revision> addCallerKey(TeamId team, std::string key);
    /**
     * Withdraws a key of the callers of a team.
     *
     * @param digestPrefix  first characters of the key's digest, at least minDigestPrefix
     * @return the revision of the change
     * @throws ChangeError if not exactly one key of the team has a digest that begins so
     * @throws ConflictError, StoreUnavailable  as apply()
     */
    Task<Revision> withdrawCallerKey(TeamId team, std::string digestPrefix);

    static constexpr std::size_t minDigestPrefix = 8;

private:
    Task<std::string> describeConflict(StoreEntry current);

    EtcdStore &m_store;
    Author m_author;
};

} // namespace endivedock
