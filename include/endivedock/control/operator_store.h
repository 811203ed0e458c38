#pragma once

#include "endivedock/control/change.h"

#include <string>
#include <vector>

namespace endivedock {

/** Another operator changed the same thing meanwhile; the message tells who, and what. */
class ConflictError : public Error
{
public:
    using Error::Error;
};

/** Who changes what, kept beside each declaration. */
struct Author
{
    std::string operatorName;
    std::string command;
};

/** The operators' side of the store: reads, and changes by compare-and-swap. */
class OperatorStore
{
public:
    /** @param store  outlives this object */
    OperatorStore(EtcdStore &store, Author author)
        : m_store(store)
        , m_author(std::move(author))
    {
    }

    Task<StoreSnapshot> declarations();
    /**
     * Writes all of @p wanted that differ from @p present, or nothing.
     *
     * @return the revision from which on the change holds; @p present's where nothing differs
     * @throws ChangeError       if the result would not be valid
     * @throws ConflictError     if another operator was faster
     * @throws StoreUnavailable  if it cannot be told whether the write took effect
     */
    Task<Revision> apply(StoreSnapshot present, std::vector<Declaration> wanted);

    /** @throws ChangeError if @p service has no such move, or one is running already */
    Task<Revision> startRollout(ServiceId service, VersionId from, VersionId to,
                                std::optional<Milliseconds> deadline);
    Task<Revision> rollBack(ServiceId service);

private:
    Task<std::string> describeConflict(StoreEntry present);

    EtcdStore &m_store;
    Author m_author;
};

} // namespace endivedock
