#pragma once

#include "endivedock/core.h"
#include "endivedock/freshness/configuration_freshness.h"
#include "endivedock/freshness/messages.h"

#include <deque>
#include <optional>

namespace endivedock {

/**
 * Decides when a host asks others about the freshness of the configuration, and what their answers
 * prove. An answer proves nothing about the time after its question was sent, however late it
 * arrives; so a message that waited while this host was frozen does not look fresh. The ages of
 * several hosts that ask each other add up.
 */
class FreshnessInquiry
{
public:
    /**
     * @param staleAge  age from which on this host refuses keys
     * @param random    must outlive this object
     */
    FreshnessInquiry(Milliseconds staleAge, Random &random);

    /**
     * @param age  age of this host's evidence, if it has any
     * @return the question that is due, or nothing
     */
    std::optional<FreshnessQuestion> dueQuestion(std::optional<Milliseconds> age, BootTime now);
    /** @return whether any other host is to be asked, since the preferred ones may not answer */
    bool asksAnyHost(std::optional<Milliseconds> age) const;
    /** @return what an answer proves; nothing if it belongs to no question of the last time */
    std::optional<FreshnessEvidence> evaluate(const FreshnessAnswer &answer) const;
    /** @return the answer to a question; nothing if this host knows nothing that helps */
    static std::optional<FreshnessAnswer> answer(const FreshnessQuestion &question,
                                                 const ConfigurationFreshness &freshness,
                                                 BootTime now);

    /** Part of the stale age from which on this host asks the readers of the store. */
    static constexpr double askFraction = 0.22;
    /** Part of the stale age from which on it asks any other host as well. */
    static constexpr double askAnyFraction = 0.5;
    /** Part of the stale age between two questions. */
    static constexpr double intervalFraction = 0.1;

private:
    struct Asked
    {
        FreshnessQuestionId id;
        BootTime sentAt;
    };

    Milliseconds fraction(double part) const;

    Milliseconds m_staleAge;
    Random &m_random;
    /** Questions whose answers can still prove something, the oldest first. */
    std::deque<Asked> m_asked;
};

} // namespace endivedock
