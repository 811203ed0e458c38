#pragma once

#include "endivedock/config/declarations.h"

#include <memory>
#include <string>

namespace endivedock {

enum class ApplyOutcome { Accepted, Stale, Invalid };

/**
 * Keeps the newest valid configuration of a host. The revision never decreases, in whatever order
 * snapshots arrive and from whichever source.
 */
class NewestConfiguration
{
public:
    /**
     * Replaces the present configuration by @p snapshot if that is newer and valid.
     *
     * @return Accepted if it was replaced; Stale if @p snapshot is not newer than the present
     *         configuration or than the last rejected one; Invalid if it is not valid, with
     *         the reason in lastError()
     */
    ApplyOutcome applyIfNewer(ConfigurationSnapshot snapshot);

    /** @return the present declarations, shared and immutable, or null before the first snapshot */
    std::shared_ptr<const Declarations> declarations() const { return m_declarations; }
    /** @return the present snapshot; its revision is 0 before the first snapshot */
    const ConfigurationSnapshot &snapshot() const { return m_snapshot; }
    Revision revision() const { return m_snapshot.revision; }
    const std::string &lastError() const { return m_lastError; }

private:
    ConfigurationSnapshot m_snapshot;
    Revision m_rejectedRevision;
    std::shared_ptr<const Declarations> m_declarations;
    std::string m_lastError;
};

} // namespace endivedock
