#include "endivedock/admission/memory_gate.h"

#include <algorithm>
#include <array>

namespace endivedock {

namespace {

/** Longest wait for room: by then, holders that stood still when it began are overdue. */
constexpr Milliseconds maxWait{2000};
/** Time after which the first who waits looks again for overdue holders. */
constexpr Milliseconds checkInterval{100};
/** One holder may wait for each such part of the budget, as what waits fills socket buffers. */
constexpr std::uint64_t budgetForOneWaiting = 512 * 1024;
/** Holders that ask for at most this much wait apart from the others. */
constexpr Bytes smallWish{160 * 1024};
constexpr Milliseconds logInterval{1000};
constexpr std::string_view decisionsMetric = "endivedock_memory_decisions_total";

} // namespace

namespace admission_detail {

/** The place of one who waits for room, until the end of a scope, also if its task is destroyed. */
class QueuePlace
{
public:
    using Queue = GateQueue;

    QueuePlace(Queue &queue, asio::steady_timer &timer)
        : m_queue(queue)
        , m_place(queue.insert(queue.end(), &timer))
    {
    }
    ~QueuePlace() { m_queue.erase(m_place); }
    QueuePlace(const QueuePlace &) = delete;

    bool isFirst() const { return m_queue.begin() == m_place; }

private:
    Queue &m_queue;
    Queue::iterator m_place;
};

/** Shared by the gate and its holds, since tasks may end after the gate. */
class GateState
{
public:
    GateState(asio::any_io_executor taskExecutor, Bytes budget, Metrics &gateMetrics)
        : executor(std::move(taskExecutor))
        , ledger(budget)
        , metrics(&gateMetrics)
    {
    }

    using Queue = QueuePlace::Queue;

    /** Counts a decision and logs it, at most once in a while. */
    void record(std::string_view decision, Bytes bytes, Duration overdue)
    {
        if (metrics == nullptr)
            return;
        metrics->count(decisionsMetric, {{"decision", std::string(decision)}});
        metrics->setGauge("endivedock_memory_held_bytes", {},
                          static_cast<double>(ledger.held().value()));
        if (const std::uint64_t events = logRate.record(SteadyClock().now()))
            log.warning("Memory is short", {field("decision", decision), field("decisions", events),
                                            field("bytes", bytes.value()),
                                            field("overdue_ms", toMilliseconds(overdue).count()),
                                            field("held", ledger.held().value()),
                                            field("budget", ledger.budget().value()),
                                            field("holders", ledger.holderCount()),
                                            field("waiting", queues[0].size() + queues[1].size())});
    }

    void takeBack(HolderNumber loser)
    {
        const auto found = onLoss.find(loser);
        if (found == onLoss.end())
            return;
        record("taken-back", ledger.heldBy(loser), ledger.overdueTime(loser, SteadyClock().now()));
        const std::function<void()> tell = std::move(found->second);
        onLoss.erase(found);
        tell();
    }

    /** Takes memory back from overdue holders so that another may have @p bytes. */
    void takeBackFor(HolderNumber holder, Bytes bytes)
    {
        for (const HolderNumber loser : ledger.chooseLosers(holder, bytes, SteadyClock().now()))
            takeBack(loser);
    }

    /** Lets the first who wait try again. */
    void wake()
    {
        for (const Queue &queue : queues) {
            if (!queue.empty())
                queue.front()->cancel();
        }
    }

    asio::any_io_executor executor;
    MemoryLedger ledger;
    Metrics *metrics;
    /** For each holder that has not lost its memory. */
    std::map<HolderNumber, std::function<void()>> onLoss;
    /** Those who wait for room: small ones and the others. */
    std::array<Queue, 2> queues;
    MessageRate logRate{logInterval};
    Log log{"admission"};
};

} // namespace admission_detail

using admission_detail::GateState;
using admission_detail::QueuePlace;

MemoryHold::MemoryHold(std::shared_ptr<GateState> state, HolderNumber number)
    : m_state(std::move(state))
    , m_number(number)
{
}

MemoryHold::~MemoryHold()
{
    release();
}

MemoryHold &MemoryHold::operator=(MemoryHold &&other) noexcept
{
    if (this != &other) {
        release();
        m_state = std::move(other.m_state);
        m_number = other.m_number;
    }
    return *this;
}

void MemoryHold::release()
{
    if (!m_state)
        return;
    const auto state = std::move(m_state);
    m_state = nullptr;
    state->onLoss.erase(m_number);
    state->ledger.remove(m_number);
    state->wake();
}

bool MemoryHold::tryHold(Bytes bytes)
{
    if (!m_state)
        return true;
    const Bytes before = m_state->ledger.heldBy(m_number);
    const bool isGranted = m_state->ledger.tryHold(m_number, bytes);
    if (isGranted && bytes < before)
        m_state->wake();
    if (!isGranted)
        m_state->takeBackFor(m_number, bytes);
    return isGranted;
}

void MemoryHold::awaitCaller(TimePoint due)
{
    if (m_state)
        m_state->ledger.awaitCaller(m_number, SteadyClock().now(), due);
}

void MemoryHold::recordProgress(Bytes bytes)
{
    if (m_state)
        m_state->ledger.recordProgress(m_number, bytes, SteadyClock().now());
}

void MemoryHold::stopAwaiting()
{
    if (m_state)
        m_state->ledger.stopAwaiting(m_number);
}

bool MemoryHold::isLost() const
{
    return m_state && !m_state->onLoss.contains(m_number);
}

MemoryGate::MemoryGate(asio::any_io_executor executor, Bytes budget, Metrics &metrics)
    : m_state(std::make_shared<GateState>(std::move(executor), budget, metrics))
{
}

MemoryGate::~MemoryGate()
{
    m_state->metrics = nullptr; // Holds may outlive the metrics.
}

MemoryHold MemoryGate::open(std::function<void()> onLoss)
{
    const HolderNumber number = m_state->ledger.add();
    m_state->onLoss.emplace(number, std::move(onLoss));
    return {m_state, number};
}

Task<bool> MemoryGate::reserve(MemoryHold &hold, Bytes bytes, TimePoint due)
{
    const std::shared_ptr<GateState> state = m_state;
    GateState::Queue &queue = state->queues[bytes > smallWish ? 1 : 0];
    if (queue.empty() && hold.tryHold(bytes))
        co_return true;
    const std::size_t maxWaiting = state->ledger.budget().value() / budgetForOneWaiting + 1;
    if (queue.size() >= maxWaiting) {
        state->record("refused-at-once", bytes, Duration::zero());
        co_return false;
    }
    state->record("made-to-wait", bytes, Duration::zero());
    // The holder waits for this host, not for its caller.
    hold.stopAwaiting();
    const bool isGranted = co_await waitForRoom(state, queue, hold, bytes, due);
    state->wake();
    if (!isGranted)
        state->record("refused", bytes, Duration::zero());
    co_return isGranted;
}

Task<bool> MemoryGate::waitForRoom(std::shared_ptr<GateState> state, GateQueue &queue,
                                   MemoryHold &hold, Bytes bytes, TimePoint due)
{
    const TimePoint giveUpAt = std::min<TimePoint>(SteadyClock().now() + maxWait, due);
    asio::steady_timer timer(state->executor);
    const QueuePlace place(queue, timer);
    while (!hold.isLost()) {
        const TimePoint now = SteadyClock().now();
        if (place.isFirst() && hold.tryHold(bytes))
            co_return true;
        if (now >= giveUpAt)
            break;
        timer.expires_at(place.isFirst() ? std::min<TimePoint>(now + checkInterval, giveUpAt)
                                         : giveUpAt);
        boost::system::error_code ignored; // Cancellation signals that there is room.
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return false;
}

bool MemoryGate::takeBackOne(LoserChoice choice)
{
    const auto loser = m_state->ledger.chooseFirstLoser(SteadyClock().now(), choice);
    if (loser)
        m_state->takeBack(*loser);
    return loser.has_value();
}

Bytes MemoryGate::held() const
{
    return m_state->ledger.held();
}

} // namespace endivedock
