#pragma once

#include "endivedock/core.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace endivedock {

/**
 * Refuses messages that were received before or come from an earlier incarnation of their sender.
 * Messages may arrive out of order: a message is refused as too old only if its sequence number is
 * lower than the highest one received from the sender by windowSize or more.
 */
class ReplayWindow
{
public:
    /**
     * Records a message.
     *
     * @return whether the message is new; false also if it is too old to tell
     */
    bool accept(HostId sender, Incarnation incarnation, std::uint64_t sequence);

    static constexpr std::uint64_t windowSize = 1024;

private:
    struct Sender
    {
        Incarnation incarnation;
        std::uint64_t highestSequence = 0;
        /**
         * One bit for each of the newest sequence numbers, at the position of the sequence number
         * modulo windowSize; set if the message was received.
         */
        std::array<std::uint64_t, windowSize / 64> seen{};
    };

    /** Marks the sequence numbers from @p from to @p to, both included, as not received. */
    static void clearRange(Sender &sender, std::uint64_t from, std::uint64_t to);

    std::unordered_map<HostId, Sender> m_senders;
};

} // namespace endivedock
