#pragma once

#include "endivedock/config/declarations.h"

#include <memory>
#include <string>

namespace endivedock {

enum class ApplyOutcome { Accepted, Stale, Invalid };

/**
 * Keeps the newest valid configuration of a host. The revision only rises, whatever order copies
 * arrive in and whoever sends them.
 */
class NewestConfiguration
{
public:
    /**
     * Takes @p copy if it is newer than the present one and valid.
     *
     * @return what became of it; on Invalid, lastError() tells why
     */
    ApplyOutcome applyIfNewer(ConfigurationSnapshot copy);

    /** @return the present declarations, or null before the first; shared, immutable */
    std::shared_ptr<const Declarations> declarations() const { return m_declarations; }
    /** @return the present copy; its revision is 0 before the first */
    const ConfigurationSnapshot &copy() const { return m_copy; }
    Revision revision() const { return m_copy.revision; }
    const std::string &lastError() const { return m_lastError; }

private:
    ConfigurationSnapshot m_copy;
    Revision m_rejected;
    std::shared_ptr<const Declarations> m_declarations;
    std::string m_lastError;
};

} // namespace endivedock
