#pragma once

#include "endivedock/edge/edge_peers.h"
#include "endivedock/edge/edge_settings.h"
#include "endivedock/edge/platform_concept.h"
#include "endivedock/edge/store_reader_selector.h"
#include "endivedock/freshness.h"

#include <algorithm>
#include <functional>

namespace endivedock {

namespace freshness_detail {

/**
 * A host that reads the store and has no evidence younger than this part of the stale age asks the
 * store itself. While the readers' watches end in turn, evidence is younger, and no call is made.
 */
constexpr double storeQuestionFraction = 0.5;
/** Shortest interval between such calls of one host. */
constexpr Milliseconds storeQuestionInterval{500};
/** Interval between such calls of all hosts together that read the store and hear each other. */
constexpr Milliseconds sharedStoreQuestionInterval{125};
/** After a failed call, none is made for this long; the reader's watch shows when it succeeds. */
constexpr Milliseconds failedStoreQuestionDelay{4000};

} // namespace freshness_detail

/**
 * Collects evidence that the configuration of this host is the newest one: from answers of the
 * store, and by questions to other hosts. Does nothing unless the settings bound the withdrawal of
 * keys and the configuration contains teams.
 */
template <EdgePlatform P>
class FreshnessAgent
{
public:
    /** @param onConfigurationRead  called after a newer configuration was read into the registry */
    FreshnessAgent(asio::any_io_executor executor, const EdgeSettings &settings, Registry &registry,
                   EdgePeers &peers, const StoreReaderSelector &readers, Random &random,
                   Metrics &metrics, std::function<void()> onConfigurationRead);

    const ConfigurationFreshness &freshness() const { return m_freshness; }

    void applyRegistry() { m_freshness.setAppliedConfiguration(m_registry.configurationVersion()); }
    /**
     * Records that the store has answered a call, whose result is applied to the registry.
     *
     * @param wait  as in storeAnswerAsOf()
     */
    void recordStoreAnswer(BootTime sentAt, Milliseconds wait);
    void handle(HostId from, const FreshnessQuestion &question);
    void handle(const FreshnessAnswer &answer);
    /** Asks other hosts or the store if that is due, and logs when keys become stale or fresh. */
    void tick(bool readsStore, TimePoint now);

private:
    bool isActive() const
    {
        const auto table = m_registry.table();
        return m_freshness.isBounded() && table && !table->teams().empty();
    }
    void askPeers(std::optional<Milliseconds> age, BootTime bootNow, TimePoint now);
    void askStoreIfDue(std::optional<Milliseconds> age, BootTime bootNow, TimePoint now);
    Task<> askStore();
    void logChange(BootTime bootNow);

    asio::any_io_executor m_executor;
    Address m_store;
    Registry &m_registry;
    EdgePeers &m_peers;
    const StoreReaderSelector &m_readers;
    Random &m_random;
    Metrics &m_metrics;
    std::function<void()> m_onConfigurationRead;
    ConfigurationFreshness m_freshness;
    std::optional<FreshnessInquiry> m_inquiry;
    BootTime m_nextStoreQuestionAt{};
    Log m_log{"freshness"};
};

template <EdgePlatform P>
FreshnessAgent<P>::FreshnessAgent(asio::any_io_executor executor, const EdgeSettings &settings,
                                  Registry &registry, EdgePeers &peers,
                                  const StoreReaderSelector &readers, Random &random,
                                  Metrics &metrics, std::function<void()> onConfigurationRead)
    : m_executor(std::move(executor))
    , m_store(settings.store)
    , m_registry(registry)
    , m_peers(peers)
    , m_readers(readers)
    , m_random(random)
    , m_metrics(metrics)
    , m_onConfigurationRead(std::move(onConfigurationRead))
    , m_freshness(settings.withdrawalBound)
{
    if (m_freshness.isBounded())
        m_inquiry.emplace(m_freshness.staleAge(), random);
}

template <EdgePlatform P>
void FreshnessAgent<P>::recordStoreAnswer(BootTime sentAt, Milliseconds wait)
{
    m_freshness.recordEvidence(
            {m_registry.configurationVersion(), storeAnswerAsOf(sentAt, wait, BootClock::now())});
}

template <EdgePlatform P>
void FreshnessAgent<P>::handle(HostId from, const FreshnessQuestion &question)
{
    if (!m_freshness.isBounded())
        return;
    if (const auto answer = FreshnessInquiry::answer(question, m_freshness, BootClock::now()))
        m_peers.send(from, *answer);
}

template <EdgePlatform P>
void FreshnessAgent<P>::handle(const FreshnessAnswer &answer)
{
    if (!m_inquiry)
        return;
    if (const auto evidence = m_inquiry->evaluate(answer))
        m_freshness.recordEvidence(*evidence);
}

template <EdgePlatform P>
void FreshnessAgent<P>::tick(bool readsStore, TimePoint now)
{
    if (!isActive())
        return;
    const BootTime bootNow = BootClock::now();
    const auto age = m_freshness.age(bootNow);
    askPeers(age, bootNow, now);
    if (readsStore)
        askStoreIfDue(age, bootNow, now);
    logChange(bootNow);
}

template <EdgePlatform P>
void FreshnessAgent<P>::askPeers(std::optional<Milliseconds> age, BootTime bootNow, TimePoint now)
{
    const auto question = m_inquiry->dueQuestion(age, bootNow);
    if (!question)
        return;
    m_metrics.count("endivedock_freshness_questions_total");
    const std::vector<HostId> readers = m_readers.readingHosts(now);
    if (!readers.empty())
        m_peers.send(readers[drawBelow(m_random, readers.size())], *question);
    if (readers.empty() || m_inquiry->asksAnyHost(age))
        m_peers.sendToRandom(*question, 1, m_random);
}

template <EdgePlatform P>
void FreshnessAgent<P>::askStoreIfDue(std::optional<Milliseconds> age, BootTime bootNow,
                                      TimePoint now)
{
    const auto dueAge = Milliseconds(
            static_cast<std::int64_t>(static_cast<double>(m_freshness.staleAge().count()) *
                                      freshness_detail::storeQuestionFraction));
    if ((age && *age < dueAge) || bootNow < m_nextStoreQuestionAt ||
        m_registry.revision() == Revision(0))
        return;
    const auto readerCount = static_cast<int>(m_readers.readingHosts(now).size() + 1);
    m_nextStoreQuestionAt =
            bootNow + std::max(freshness_detail::storeQuestionInterval,
                               freshness_detail::sharedStoreQuestionInterval * readerCount);
    startTask(m_executor, "freshness", askStore());
}

template <EdgePlatform P>
Task<> FreshnessAgent<P>::askStore()
{
    m_metrics.count("endivedock_freshness_store_questions_total");
    // A call of its own connection: the store may be slow, and earlier calls may be in progress.
    typename P::Store store(m_executor, m_store);
    const BootTime sentAt = BootClock::now();
    try {
        const auto entry = co_await store.getWithin(std::string(P::configurationKey()),
                                                    m_freshness.staleAge());
        if (!entry)
            co_return;
        // What the store shows after its return from an older copy, the listing applies as a whole.
        if (eraOf(entry->modRevision) != eraOf(m_registry.revision()))
            co_return;
        if (entry->modRevision > m_registry.revision()) {
            // The revision of the other entries stays, so that no change of theirs is missed.
            m_registry.applyChanges(
                    {m_registry.revision(), {{entry->key, entry->value, entry->modRevision}}},
                    SteadyClock().now());
            m_onConfigurationRead();
        }
        recordStoreAnswer(sentAt, Milliseconds(0));
    } catch (const Error &error) {
        m_nextStoreQuestionAt = BootClock::now() + freshness_detail::failedStoreQuestionDelay;
        m_log.info("Store did not confirm the configuration", {field("error", error.what())});
    }
}

template <EdgePlatform P>
void FreshnessAgent<P>::logChange(BootTime bootNow)
{
    const FreshnessChange change = m_freshness.update(bootNow);
    if (change == FreshnessChange::None)
        return;
    const auto age = m_freshness.age(bootNow).value_or(Milliseconds(-1)).count();
    const bool isStale = change == FreshnessChange::BecameStale;
    m_metrics.count("endivedock_freshness_changes_total", {{"to", isStale ? "stale" : "fresh"}});
    if (isStale)
        m_log.warning("Keys are refused: the configuration may have been replaced",
                      {field("evidence_age_ms", age),
                       field("config", m_freshness.appliedConfiguration())});
    else
        m_log.info("Keys are accepted: the configuration is known to be the newest",
                   {field("evidence_age_ms", age),
                    field("config", m_freshness.appliedConfiguration())});
}

} // namespace endivedock
