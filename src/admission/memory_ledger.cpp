#include "endivedock/admission/memory_ledger.h"

#include <algorithm>

namespace endivedock {

namespace {

/** A holder up to this size is small: most bodies are. */
constexpr Bytes smallHolder{160 * 1024};
/** Part of the budget that only small holders may use. */
constexpr std::uint64_t smallHoldersPercent = 25;
/** A caller that has not sent or read anything for this long stands still: ten slow round trips. */
constexpr Milliseconds maxPause{1000};
/** Slowest rate of a caller that does not stand still, over the whole wait. */
constexpr std::uint64_t minBytesPerSecond = 16 * 1024;

} // namespace

HolderNumber MemoryLedger::add()
{
    const HolderNumber number(++m_lastNumber);
    m_holders.emplace(number, Holder{});
    return number;
}

void MemoryLedger::remove(HolderNumber holder)
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end())
        return;
    m_held -= found->second.held;
    if (found->second.isLosing)
        m_losing -= found->second.held;
    m_holders.erase(found);
}

bool MemoryLedger::tryHold(HolderNumber holder, Bytes bytes)
{
    Holder &entry = m_holders.at(holder);
    if (bytes > entry.held) {
        if (m_held.value() - entry.held.value() + bytes.value() > allowance(bytes))
            return false;
    }
    m_held = m_held - entry.held + bytes;
    if (entry.isLosing)
        m_losing = m_losing - entry.held + bytes;
    entry.held = bytes;
    return true;
}

void MemoryLedger::awaitCaller(HolderNumber holder, TimePoint now, TimePoint due)
{
    Holder &entry = m_holders.at(holder);
    entry.isWaiting = true;
    entry.waitingSince = now;
    entry.lastProgress = now;
    entry.due = due;
    entry.progress = Bytes(0);
}

void MemoryLedger::recordProgress(HolderNumber holder, Bytes bytes, TimePoint now)
{
    Holder &entry = m_holders.at(holder);
    entry.progress += bytes;
    entry.lastProgress = now;
}

void MemoryLedger::stopAwaiting(HolderNumber holder)
{
    m_holders.at(holder).isWaiting = false;
}

Duration MemoryLedger::overdueTime(const Holder &holder, TimePoint now)
{
    if (!holder.isWaiting)
        return Duration::zero();
    const Milliseconds earned(
            static_cast<std::int64_t>(holder.progress.value() * 1000 / minBytesPerSecond));
    const Duration pause = now - holder.lastProgress;
    const Duration behind = now - holder.waitingSince - earned;
    // What comes after its time is of no use, however fast it comes.
    const Duration late = now > holder.due ? now - holder.due + maxPause : Duration::zero();
    return std::max({pause, behind, late, Duration(maxPause)}) - maxPause;
}

Duration MemoryLedger::overdueTime(HolderNumber holder, TimePoint now) const
{
    return overdueTime(m_holders.at(holder), now);
}

Bytes MemoryLedger::heldBy(HolderNumber holder) const
{
    return m_holders.at(holder).held;
}

std::uint64_t MemoryLedger::allowance(Bytes bytes) const
{
    const std::uint64_t budget = m_budget.value();
    return bytes > smallHolder ? budget - budget * smallHoldersPercent / 100 : budget;
}

std::vector<HolderNumber> MemoryLedger::losersInOrder(TimePoint now) const
{
    std::vector<std::pair<double, HolderNumber>> candidates;
    for (const auto &[number, holder] : m_holders) {
        const Duration overdue = overdueTime(holder, now);
        if (!holder.isLosing && holder.held.value() > 0 && overdue > Duration::zero())
            candidates.emplace_back(static_cast<double>(overdue.count()) *
                                            static_cast<double>(holder.held.value()),
                                    number);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<HolderNumber> result;
    for (const auto &[weight, number] : candidates)
        result.push_back(number);
    return result;
}

void MemoryLedger::choose(HolderNumber holder)
{
    Holder &entry = m_holders.at(holder);
    entry.isLosing = true;
    m_losing += entry.held;
}

std::vector<HolderNumber> MemoryLedger::chooseLosers(HolderNumber holder, Bytes bytes,
                                                     TimePoint now)
{
    const std::uint64_t allowed = allowance(bytes);
    const std::uint64_t others = m_held.value() - m_holders.at(holder).held.value();
    const auto isShort = [&] { return others + bytes.value() > allowed + m_losing.value(); };
    std::vector<HolderNumber> losers;
    if (!isShort())
        return losers;
    for (const HolderNumber loser : losersInOrder(now)) {
        if (!isShort())
            break;
        choose(loser);
        losers.push_back(loser);
    }
    return losers;
}

std::optional<HolderNumber> MemoryLedger::largestHolder() const
{
    std::optional<HolderNumber> result;
    Bytes most = smallHolder;
    for (const auto &[number, holder] : m_holders) {
        if (!holder.isLosing && holder.held > most) {
            most = holder.held;
            result = number;
        }
    }
    return result;
}

std::optional<HolderNumber> MemoryLedger::chooseFirstLoser(TimePoint now, LoserChoice choice)
{
    const auto losers = losersInOrder(now);
    std::optional<HolderNumber> result;
    if (!losers.empty())
        result = losers.front();
    else if (choice == LoserChoice::OverdueOrLargest)
        result = largestHolder();
    if (result)
        choose(*result);
    return result;
}

} // namespace endivedock
