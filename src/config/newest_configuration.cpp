#include "endivedock/config/newest_configuration.h"

namespace endivedock {

OfferOutcome NewestConfiguration::offer(ConfigurationCopy copy)
{
    if (copy.revision <= m_copy.revision || copy.revision <= m_rejected)
        return OfferOutcome::Stale;
    try {
        auto parsed = std::make_shared<const Declarations>(parseDeclarations(copy));
        m_declarations = std::move(parsed);
        m_copy = std::move(copy);
        return OfferOutcome::Accepted;
    } catch (const Error &error) {
        // The last valid configuration stays in force; the same bad copy is not parsed again.
        m_rejected = copy.revision;
        m_lastError = error.what();
        return OfferOutcome::Invalid;
    }
}

} // namespace endivedock
