#pragma once

#include "endivedock/admission/memory_ledger.h"
#include "endivedock/admission/message_rate.h"
#include "endivedock/net.h"
#include "endivedock/telemetry.h"

#include <functional>
#include <list>
#include <memory>

namespace endivedock {

namespace admission_detail {
class GateState;
}
/** The timers of those who wait for room, in their order. */
using GateQueue = std::list<asio::steady_timer *>;

/**
 * One holder's part of the memory for callers and targets; given back on destruction. An empty hold
 * stands for memory that is not accounted for.
 */
class MemoryHold
{
public:
    MemoryHold() = default;
    ~MemoryHold();
    MemoryHold(MemoryHold &&other) noexcept = default;
    MemoryHold &operator=(MemoryHold &&other) noexcept;

    /**
     * Sets what is held. If that is refused, overdue holders are told to give theirs back.
     *
     * @return see MemoryLedger::tryHold(); true for an empty hold
     */
    bool tryHold(Bytes bytes);
    /** See MemoryLedger for these three; they do nothing for an empty hold. */
    void awaitCaller(TimePoint due);
    void recordProgress(Bytes bytes);
    void stopAwaiting();
    /** Gives all memory back. */
    void release();

    explicit operator bool() const { return m_state != nullptr; }
    /** @return whether the memory must be given back, because another needs it */
    bool isLost() const;

private:
    friend class MemoryGate;
    MemoryHold(std::shared_ptr<admission_detail::GateState> state, HolderNumber number);

    std::shared_ptr<admission_detail::GateState> m_state;
    HolderNumber m_number;
};

/**
 * Hands out the memory for callers and targets. Who finds none waits for a while, in the order of
 * arrival and small ones apart from large ones, while overdue holders are told to give theirs back.
 */
class MemoryGate
{
public:
    /** @param metrics  must outlive this object */
    MemoryGate(asio::any_io_executor executor, Bytes budget, Metrics &metrics);
    ~MemoryGate();

    /**
     * @param onLoss  called once if the holder must give its memory back; must end its exchange
     */
    MemoryHold open(std::function<void()> onLoss);
    /**
     * Sets what @p hold holds, and waits for room if there is none.
     *
     * @return whether it is granted; false also if the hold is lost while it waits
     */
    Task<bool> reserve(MemoryHold &hold, Bytes bytes, TimePoint due);
    /** Tells the holder to give its memory back that comes first. @return whether there is one */
    bool takeBackOne(LoserChoice choice);
    Bytes held() const;

private:
    static Task<bool> waitForRoom(std::shared_ptr<admission_detail::GateState> state,
                                  GateQueue &queue, MemoryHold &hold, Bytes bytes, TimePoint due);

    std::shared_ptr<admission_detail::GateState> m_state;
};

} // namespace endivedock
