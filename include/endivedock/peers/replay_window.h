#pragma once

#include "endivedock/core.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace endivedock {

/**
 * Refuses messages that were seen before or come from an earlier life of their sender. Messages may
 * overtake each other by up to the size of the window.
 */
class ReplayWindow
{
public:
    /** @return whether the message is new; takes note of it */
    bool accept(HostId sender, Incarnation incarnation, std::uint64_t sequence);

    static constexpr std::uint64_t windowSize = 1024;

private:
    struct Sender
    {
        Incarnation incarnation;
        std::uint64_t newest = 0;
        /** One bit for each of the newest sequence numbers, by number modulo the size. */
        std::array<std::uint64_t, windowSize / 64> seen{};
    };

    static void clearBetween(Sender &sender, std::uint64_t from, std::uint64_t to);

    std::unordered_map<HostId, Sender> m_senders;
};

} // namespace endivedock
