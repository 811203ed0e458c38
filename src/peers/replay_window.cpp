#include "endivedock/peers/replay_window.h"

namespace endivedock {

namespace {

constexpr std::uint64_t wordBits = 64;

} // namespace

void ReplayWindow::clearBetween(Sender &sender, std::uint64_t from, std::uint64_t to)
{
    if (to - from >= windowSize) {
        sender.seen.fill(0);
        return;
    }
    for (std::uint64_t number = from; number <= to; ++number) {
        const std::uint64_t slot = number % windowSize;
        sender.seen[slot / wordBits] &= ~(1ull << (slot % wordBits));
    }
}

bool ReplayWindow::accept(HostId id, Incarnation incarnation, std::uint64_t sequence)
{
    Sender &sender = m_senders[id];
    if (incarnation < sender.incarnation)
        return false;
    if (incarnation > sender.incarnation)
        sender = Sender{incarnation, 0, {}};
    if (sequence > sender.newest) {
        clearBetween(sender, sender.newest + 1, sequence);
        sender.newest = sequence;
    } else if (sender.newest - sequence >= windowSize) {
        return false;
    }
    const std::uint64_t slot = sequence % windowSize;
    const std::uint64_t bit = 1ull << (slot % wordBits);
    if ((sender.seen[slot / wordBits] & bit) != 0)
        return false;
    sender.seen[slot / wordBits] |= bit;
    return true;
}

} // namespace endivedock
