#pragma once

#include "endivedock/core.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace endivedock {

/**
 * Refuses messages that were received before or come from an earlier incarnation of their sender.
 * Messages may arrive out of order by up to windowSize sequence numbers.
 */
class ReplayWindow
{
public:
    /**
     * Records a message.
     *
     * @return whether the message is new
     */
    bool accept(HostId sender, Incarnation incarnation, std::uint64_t sequence);

    static constexpr std::uint64_t windowSize = 1024;

private:
    struct Sender
    {
        Incarnation incarnation;
        std::uint64_t highestSequence = 0;
        /** One bit for each of the newest sequence numbers, at the number modulo windowSize. */
        std::array<std::uint64_t, windowSize / 64> seen{};
    };

    static void clearRange(Sender &sender, std::uint64_t from, std::uint64_t to);

    std::unordered_map<HostId, Sender> m_senders;
};

} // namespace endivedock
