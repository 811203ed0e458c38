#include "endivedock/peers/replay_window.h"

namespace endivedock {

namespace {

constexpr std::uint64_t wordBits = 64;

} // namespace

void ReplayWindow::clearRange(Sender &sender, std::uint64_t from, std::uint64_t to)
{
    if (to - from >= windowSize) {
        sender.seen.fill(0);
        return;
    }
    for (std::uint64_t sequence = from; sequence <= to; ++sequence) {
        const std::uint64_t position = sequence % windowSize;
        sender.seen[position / wordBits] &= ~(1ull << (position % wordBits));
    }
}

bool ReplayWindow::accept(HostId id, Incarnation incarnation, std::uint64_t sequence)
{
    Sender &sender = m_senders[id];
    if (incarnation < sender.incarnation)
        return false;
    if (incarnation > sender.incarnation)
        sender = Sender{incarnation, 0, {}};
    if (sequence > sender.highestSequence) {
        clearRange(sender, sender.highestSequence + 1, sequence);
        sender.highestSequence = sequence;
    } else if (sender.highestSequence - sequence >= windowSize) {
        return false;
    }
    const std::uint64_t position = sequence % windowSize;
    const std::uint64_t bit = 1ull << (position % wordBits);
    if ((sender.seen[position / wordBits] & bit) != 0)
        return false;
    sender.seen[position / wordBits] |= bit;
    return true;
}

} // namespace endivedock
