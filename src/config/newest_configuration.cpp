#include "endivedock/config/newest_configuration.h"

namespace endivedock {

ApplyOutcome NewestConfiguration::applyIfNewer(ConfigurationSnapshot snapshot)
{
    if (snapshot.revision <= m_snapshot.revision || snapshot.revision <= m_rejectedRevision)
        return ApplyOutcome::Stale;
    try {
        auto parsed = std::make_shared<const Declarations>(parseDeclarations(snapshot));
        m_declarations = std::move(parsed);
        m_snapshot = std::move(snapshot);
        return ApplyOutcome::Accepted;
    } catch (const Error &error) {
        // The last valid configuration stays in force, and this snapshot is not parsed again.
        m_rejectedRevision = snapshot.revision;
        m_lastError = error.what();
        return ApplyOutcome::Invalid;
    }
}

} // namespace endivedock
