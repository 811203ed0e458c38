#include "endivedock/freshness/configuration_freshness.h"

#include <algorithm>

namespace endivedock {

BootTime storeAnswerAsOf(BootTime sentAt, Milliseconds wait, BootTime receivedAt)
{
    // An answer before the end of the wait was evaluated early, at a moment that is unknown.
    return receivedAt - sentAt >= wait ? sentAt + wait : sentAt;
}

ConfigurationFreshness::ConfigurationFreshness(std::optional<Milliseconds> withdrawalBound)
{
    if (withdrawalBound)
        m_staleAge = Milliseconds(static_cast<std::int64_t>(
                static_cast<double>(withdrawalBound->count()) * staleFraction));
}

void ConfigurationFreshness::recordEvidence(const FreshnessEvidence &evidence)
{
    const auto position =
            std::lower_bound(m_pending.begin(), m_pending.end(), evidence,
                             [](const FreshnessEvidence &left, const FreshnessEvidence &right) {
                                 return left.configuration < right.configuration;
                             });
    if (position != m_pending.end() && position->configuration == evidence.configuration)
        position->asOf = std::max(position->asOf, evidence.asOf);
    else
        m_pending.insert(position, evidence);
    confirmPending();
    // The earliest configurations are the ones that this host will have applied first.
    if (m_pending.size() > maxPending)
        m_pending.pop_back();
}

void ConfigurationFreshness::setAppliedConfiguration(ConfigurationVersion configuration)
{
    m_applied = std::max(m_applied, configuration);
    confirmPending();
}

void ConfigurationFreshness::confirmPending()
{
    if (m_applied == ConfigurationVersion(0))
        return;
    const auto unconfirmed =
            std::find_if(m_pending.begin(), m_pending.end(), [this](const auto &evidence) {
                return evidence.configuration > m_applied;
            });
    for (auto evidence = m_pending.begin(); evidence != unconfirmed; ++evidence)
        m_freshAsOf = std::max(m_freshAsOf.value_or(evidence->asOf), evidence->asOf);
    m_pending.erase(m_pending.begin(), unconfirmed);
}

std::optional<Milliseconds> ConfigurationFreshness::age(BootTime now) const
{
    if (!m_freshAsOf)
        return std::nullopt;
    return std::chrono::ceil<Milliseconds>(now - *m_freshAsOf);
}

bool ConfigurationFreshness::isStale(BootTime now) const
{
    if (!m_staleAge)
        return false;
    const auto evidenceAge = age(now);
    return !evidenceAge || *evidenceAge >= *m_staleAge;
}

FreshnessChange ConfigurationFreshness::update(BootTime now)
{
    const bool wasStale = std::exchange(m_wasStale, isStale(now));
    if (wasStale == m_wasStale)
        return FreshnessChange::None;
    return m_wasStale ? FreshnessChange::BecameStale : FreshnessChange::BecameFresh;
}

} // namespace endivedock
