#include "endivedock/freshness/freshness_inquiry.h"

#include <algorithm>

namespace endivedock {

FreshnessInquiry::FreshnessInquiry(Milliseconds staleAge, Random &random)
    : m_staleAge(staleAge)
    , m_random(random)
{
}

Milliseconds FreshnessInquiry::fraction(double part) const
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(m_staleAge.count()) * part));
}

std::optional<FreshnessQuestion> FreshnessInquiry::dueQuestion(std::optional<Milliseconds> age,
                                                               BootTime now)
{
    while (!m_asked.empty() && now - m_asked.front().sentAt >= m_staleAge)
        m_asked.pop_front();
    if (age && *age < fraction(askFraction))
        return std::nullopt;
    if (!m_asked.empty() && now - m_asked.back().sentAt < fraction(intervalFraction))
        return std::nullopt;
    m_asked.push_back({FreshnessQuestionId(m_random()), now});
    return FreshnessQuestion{m_asked.back().id};
}

bool FreshnessInquiry::asksAnyHost(std::optional<Milliseconds> age) const
{
    return !age || *age >= fraction(askAnyFraction);
}

std::optional<FreshnessEvidence> FreshnessInquiry::evaluate(const FreshnessAnswer &answer) const
{
    const auto asked = std::find_if(m_asked.begin(), m_asked.end(),
                                    [&](const Asked &each) { return each.id == answer.id; });
    if (asked == m_asked.end() || answer.age < Milliseconds(0) || answer.age >= m_staleAge)
        return std::nullopt;
    return FreshnessEvidence{answer.configuration, asked->sentAt - answer.age};
}

std::optional<FreshnessAnswer> FreshnessInquiry::answer(const FreshnessQuestion &question,
                                                        const ConfigurationFreshness &freshness,
                                                        BootTime now)
{
    const auto age = freshness.age(now);
    if (!age || freshness.isStale(now))
        return std::nullopt;
    return FreshnessAnswer{question.id, freshness.appliedConfiguration(), *age};
}

} // namespace endivedock
