#pragma once

#include "endivedock/core.h"

#include <map>
#include <optional>
#include <vector>

namespace endivedock {

/** Number of one holder of memory, not used again. */
using HolderNumber = StrongId<struct HolderTag, std::uint64_t>;

/** Who may lose when a connection finds no room. */
enum class LoserChoice {
    Overdue,
    /** If none is overdue, the holder that holds most, unless all are small. */
    OverdueOrLargest,
};

/**
 * Accounts for the memory that a host holds for callers and targets, within a budget, and chooses
 * who loses its part when another needs it. Only holders that have waited too long for their caller
 * lose: those that stand still, or come too slowly to be in time. Among them, the order is by the
 * time of standing still times the bytes held.
 *
 * Takes time as an argument and knows no connections.
 */
class MemoryLedger
{
public:
    explicit MemoryLedger(Bytes budget)
        : m_budget(budget)
    {
    }

    HolderNumber add();
    void remove(HolderNumber holder);

    /**
     * Sets what @p holder holds. Less than before is always granted; more than a small holder has
     * is granted only while a part of the budget stays free for small holders.
     *
     * @return whether it is granted; nothing changes if it is not
     */
    bool tryHold(HolderNumber holder, Bytes bytes);

    /**
     * The holder waits for its caller from now on: to send its body, or to read its response.
     *
     * @param due  time from which on the wait is of no use
     */
    void awaitCaller(HolderNumber holder, TimePoint now, TimePoint due);
    /** The caller of a waiting holder has sent or read @p bytes. */
    void recordProgress(HolderNumber holder, Bytes bytes, TimePoint now);
    /** The holder does not wait for its caller any more, and does not lose its memory. */
    void stopAwaiting(HolderNumber holder);

    /**
     * Chooses holders whose memory must be given back so that @p holder may hold @p bytes. They
     * count as chosen until they are removed, and are not chosen again.
     */
    std::vector<HolderNumber> chooseLosers(HolderNumber holder, Bytes bytes, TimePoint now);
    /** Chooses the first holder of that order, for a connection that finds no room. */
    std::optional<HolderNumber> chooseFirstLoser(TimePoint now, LoserChoice choice);
    /** @return how long the caller of @p holder is overdue; zero if it is not */
    Duration overdueTime(HolderNumber holder, TimePoint now) const;

    Bytes held() const { return m_held; }
    Bytes heldBy(HolderNumber holder) const;
    Bytes budget() const { return m_budget; }
    std::size_t holderCount() const { return m_holders.size(); }

private:
    struct Holder
    {
        Bytes held{0};
        bool isWaiting = false;
        bool isLosing = false;
        TimePoint waitingSince;
        TimePoint lastProgress;
        TimePoint due;
        Bytes progress{0};
    };
    static Duration overdueTime(const Holder &holder, TimePoint now);
    /** @return what may be held in all once a holder has @p bytes */
    std::uint64_t allowance(Bytes bytes) const;
    /** @return the holders that may be chosen, in the order in which they lose */
    std::vector<HolderNumber> losersInOrder(TimePoint now) const;
    /** @return the holder that holds most, if it is not small */
    std::optional<HolderNumber> largestHolder() const;
    void choose(HolderNumber holder);

    Bytes m_budget;
    Bytes m_held{0};
    /** Part of m_held that the chosen losers will give back. */
    Bytes m_losing{0};
    std::uint64_t m_lastNumber = 0;
    std::map<HolderNumber, Holder> m_holders;
};

} // namespace endivedock
