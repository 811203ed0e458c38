#include "endivedock/config/newest_configuration.h"

namespace endivedock {

ApplyOutcome NewestConfiguration::applyIfNewer(ConfigurationSnapshot copy)
{
    if (copy.revision <= m_copy.revision || copy.revision <= m_rejected)
        return ApplyOutcome::Stale;
    try {
        auto parsed = std::make_shared<const Declarations>(parseDeclarations(copy));
        m_declarations = std::move(parsed);
        m_copy = std::move(copy);
        return ApplyOutcome::Accepted;
    } catch (const Error &error) {
        // The last valid configuration stays in force; the same bad copy is not parsed again.
        m_rejected = copy.revision;
        m_lastError = error.what();
        return ApplyOutcome::Invalid;
    }
}

} // namespace endivedock
