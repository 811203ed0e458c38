#pragma once

#include "endivedock/edge/edge_peers.h"
#include "endivedock/edge/platform_concept.h"
#include "endivedock/telemetry.h"
#include "endivedock/usage.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace endivedock {

/**
 * The usage duty on one host: sends this host's counts to the hosts that collect them, and, while
 * this host holds the duty, records each window in the store and reports it. Uses one task for
 * sending counts, and one that carries out the steps on which UsageDuty decides.
 */
template <EdgePlatform P>
class UsageAgent
{
public:
    /** The references of this host that the agent uses; they must outlive it. */
    struct Context
    {
        const EdgeSettings &settings;
        HostId self;
        const Registry &registry;
        EdgePeers &peers;
        Metrics &metrics;
        Random &random;
    };

    /** The settings must contain those of usage. */
    UsageAgent(asio::any_io_executor executor, const Context &context)
        : UsageAgent(executor, context,
                     Incarnation(static_cast<std::uint64_t>(timeOfDay().count())))
    {
    }
    UsageAgent(const UsageAgent &) = delete;

    /** Counts the requests that this host sends to targets. */
    OwnUsage &own() { return m_own; }
    void handle(HostId from, const UsageCounts &message);
    /** Hands the duty over, if this host holds it. */
    void stop()
    {
        m_isStopping = true;
        m_duty.stop();
    }
    /** Sends the counts that are due; for the end of the process. */
    void sendCounts();

private:
    /** Keys in the store: of the holder, with its lease, and of the record, without one. */
    static constexpr const char *holderKey = "endivedock/usage/holder";
    static constexpr const char *recordKey = "endivedock/usage/record";
    /** Interval at which changed counts are sent; a host that is killed loses those of about it. */
    static constexpr Milliseconds shareInterval{500};
    /** Hosts besides the holder that get all counts; the holder and one of them may be lost. */
    static constexpr std::size_t standbys = 2;
    /** A host that starts to collect asks this often for all counts, as messages may be lost. */
    static constexpr int countRequests = 2;
    static constexpr Milliseconds reportTimeout{1000};
    /** Delay after an error that the step itself did not handle. */
    static constexpr Milliseconds failedStepDelay{500};

    UsageAgent(asio::any_io_executor executor, const Context &context, Incarnation incarnation)
        : m_settings(*context.settings.usage)
        , m_name(context.settings.name)
        , m_self(context.self)
        , m_incarnation(incarnation)
        , m_registry(context.registry)
        , m_peers(context.peers)
        , m_metrics(context.metrics)
        , m_store(executor, context.settings.store)
        , m_receiver(executor, m_settings.receiver)
        , m_own(m_self, incarnation, m_settings)
        , m_duty(m_self, m_settings, Milliseconds(static_cast<std::int64_t>(incarnation.value())),
                 Milliseconds(drawBelow(context.random, UsageDuty::maxJitter.count())))
    {
        startTask(executor, "usage-counts", runSharing());
        startTask(executor, "usage-duty", runDuty());
    }

    /** @return the time by which the lease is measured, which includes suspensions of the machine
     */
    static TimePoint bootTime() { return TimePoint(BootClock::now().time_since_epoch()); }
    static Milliseconds timeOfDay() { return Milliseconds(unixTimeMilliseconds()); }

    Task<> runSharing();
    Task<> runDuty();
    Task<> carryOut(usage_step::Wait step);
    Task<> carryOut(usage_step::Claim step);
    Task<> carryOut(usage_step::RenewLease step);
    Task<> carryOut(usage_step::EndLease step);
    Task<> carryOut(usage_step::WriteRecord step);
    Task<> carryOut(usage_step::Send step);

    UsageView view();
    std::optional<HostId> storedHolder() const;
    std::optional<StoredUsageRecord> parse(const StoreEntry &entry) const;
    /** @return all hosts, those first that stand first for holder */
    std::vector<HostId> ranking() const;
    /** @return the hosts to which all hosts send their counts */
    std::vector<HostId> collectors() const;
    void logUnreported();

    UsageSettings m_settings;
    std::string m_name;
    HostId m_self;
    Incarnation m_incarnation;
    const Registry &m_registry;
    EdgePeers &m_peers;
    Metrics &m_metrics;
    typename P::Store m_store;
    typename P::Usage m_receiver;
    OwnUsage m_own;
    UsageTally m_tally;
    UsageDuty m_duty;
    LeaseId m_lease;
    /** How often this host still asks for all counts, since it has become a collector. */
    int m_remainingRequests = countRequests;
    Revision m_parsedRevision;
    std::optional<StoredUsageRecord> m_parsedRecord;
    bool m_isStopping = false;
    Log m_log{"usage"};
};

template <EdgePlatform P>
std::optional<HostId> UsageAgent<P>::storedHolder() const
{
    const StoreEntry *entry = m_registry.find(holderKey);
    if (entry == nullptr)
        return std::nullopt;
    std::uint32_t id = 0;
    const char *end = entry->value.data() + entry->value.size();
    return std::from_chars(entry->value.data(), end, id).ptr == end ? std::optional(HostId(id))
                                                                    : std::optional(HostId(0));
}

template <EdgePlatform P>
std::optional<StoredUsageRecord> UsageAgent<P>::parse(const StoreEntry &entry) const
{
    const bool isRestored = eraOf(entry.modRevision) > StoreEra(0);
    try {
        return StoredUsageRecord{decodeUsageRecord(entry.value), entry.modRevision, isRestored};
    } catch (const UsageRecordError &error) {
        m_log.warning("Usage record is malformed; starting with an empty one",
                      {field("error", error.what())});
        return StoredUsageRecord{UsageRecord{}, entry.modRevision, isRestored};
    }
}

template <EdgePlatform P>
std::vector<HostId> UsageAgent<P>::ranking() const
{
    std::vector<RegisteredHost> hosts = m_registry.hosts();
    std::sort(hosts.begin(), hosts.end(), [](const RegisteredHost &a, const RegisteredHost &b) {
        return std::pair(-a.capacity, a.id) < std::pair(-b.capacity, b.id);
    });
    std::vector<HostId> result;
    for (const auto &host : hosts)
        result.push_back(host.id);
    return result;
}

template <EdgePlatform P>
std::vector<HostId> UsageAgent<P>::collectors() const
{
    std::vector<HostId> result;
    if (const auto holder = storedHolder())
        result.push_back(*holder);
    for (const HostId host : ranking()) {
        if (result.size() > standbys)
            break;
        if (std::find(result.begin(), result.end(), host) == result.end())
            result.push_back(host);
    }
    return result;
}

template <EdgePlatform P>
Task<> UsageAgent<P>::runSharing()
{
    while (true) {
        co_await sleepFor(shareInterval);
        sendCounts();
    }
}

template <EdgePlatform P>
void UsageAgent<P>::sendCounts()
{
    const UsageWindow current = windowAt(timeOfDay(), m_settings.windowLength);
    m_tally.keepOnly(after(current, -keptWindows(m_settings)), after(current, 2));
    const std::vector<UsageCounts> due = m_own.takeDue(timeOfDay());
    for (const auto &message : due)
        m_tally.merge(message);
    const std::vector<HostId> hosts = collectors();
    for (const HostId host : hosts) {
        if (host == m_self)
            continue;
        for (const auto &message : due)
            m_peers.sendDivided(host, message);
    }
    const bool isCollector = std::find(hosts.begin(), hosts.end(), m_self) != hosts.end();
    if (!isCollector)
        m_remainingRequests = countRequests;
    else if (std::exchange(m_remainingRequests, std::max(m_remainingRequests - 1, 0)) > 0)
        m_peers.broadcast(UsageCounts{m_self, m_incarnation, current, {}});
}

template <EdgePlatform P>
void UsageAgent<P>::handle(HostId from, const UsageCounts &message)
{
    if (message.teams.empty()) {
        for (const auto &counts : m_tally.counts())
            m_peers.sendDivided(from, counts);
        return;
    }
    const UsageWindow current = windowAt(timeOfDay(), m_settings.windowLength);
    const bool isPlausible = message.window >= after(current, -keptWindows(m_settings)) &&
                             message.window <= after(current, 2);
    if (isPlausible)
        m_tally.merge(message);
}

template <EdgePlatform P>
UsageView UsageAgent<P>::view()
{
    UsageView result{bootTime(), timeOfDay(), storedHolder(), nullptr, 0, false, m_tally};
    const StoreEntry *entry = m_registry.find(recordKey);
    if (entry != nullptr && entry->modRevision != m_parsedRevision) {
        m_parsedRevision = entry->modRevision;
        m_parsedRecord = parse(*entry);
    }
    if (entry != nullptr && m_parsedRecord)
        result.record = &*m_parsedRecord;
    const auto table = m_registry.table();
    result.canStand = !m_isStopping && table && !table->teams().empty();
    if (result.canStand && !result.holder) {
        const std::vector<HostId> hosts = ranking();
        const auto self = std::find(hosts.begin(), hosts.end(), m_self);
        result.canStand = self != hosts.end();
        result.rank = static_cast<std::size_t>(self - hosts.begin());
    }
    return result;
}

template <EdgePlatform P>
Task<> UsageAgent<P>::runDuty()
{
    while (true) {
        const bool wasHolder = m_duty.isHolder();
        UsageStep step = m_duty.next(view());
        bool hasFailed = false;
        try {
            co_await std::visit([this](auto &next) { return this->carryOut(std::move(next)); },
                                step);
        } catch (const Error &error) {
            hasFailed = true;
            m_log.warning("Step of the usage duty failed", {field("error", error.what())});
        }
        if (hasFailed)
            co_await sleepFor(failedStepDelay);
        if (wasHolder && !m_duty.isHolder())
            m_log.info("Usage duty ended", {field("token", m_duty.token())});
        logUnreported();
    }
}

template <EdgePlatform P>
void UsageAgent<P>::logUnreported()
{
    for (const auto &window : m_duty.takeUnreported()) {
        m_metrics.count("endivedock_usage_windows_unreported_total",
                        {{"cause", std::string(name(window.cause))}});
        m_log.warning("Usage window not reported",
                      {field("window", window.window), field("cause", name(window.cause))});
    }
}

template <EdgePlatform P>
Task<> UsageAgent<P>::carryOut(usage_step::Wait step)
{
    co_await sleepFor(step.time);
}

template <EdgePlatform P>
Task<> UsageAgent<P>::carryOut(usage_step::Claim)
{
    const TimePoint sentAt = bootTime();
    bool isClaimed = false;
    bool hasLease = false;
    try {
        m_lease = co_await m_store.grantLease(m_settings.lease);
        hasLease = true;
        std::vector<ConditionalPut> puts;
        puts.push_back({holderKey, Revision(0), std::to_string(m_self.value())});
        const CompareAndSwapResult result =
                co_await m_store.compareAndSwap(std::move(puts), m_lease);
        isClaimed = result.wasSwapped;
    } catch (const Error &error) {
        m_log.info("Usage duty not claimed", {field("error", error.what())});
    }
    if (isClaimed) {
        m_log.info("Usage duty claimed", {field("lease", m_lease)});
        m_duty.recordClaimed(sentAt);
        co_return;
    }
    m_duty.recordClaimFailed(bootTime());
    if (hasLease) {
        const usage_step::EndLease step;
        co_await carryOut(step);
    }
}

template <EdgePlatform P>
Task<> UsageAgent<P>::carryOut(usage_step::RenewLease)
{
    const TimePoint sentAt = bootTime();
    try {
        if (co_await m_store.renewLease(m_lease))
            m_duty.recordRenewed(sentAt);
        else
            m_duty.recordLeaseEnded(bootTime());
    } catch (const Error &error) {
        m_duty.recordRenewalUnknown(bootTime());
        m_log.info("Usage lease not renewed", {field("error", error.what())});
    }
}

template <EdgePlatform P>
Task<> UsageAgent<P>::carryOut(usage_step::EndLease)
{
    try {
        co_await m_store.revokeLease(m_lease);
    } catch (const Error &error) {
        // The lease then ends by itself.
        m_log.info("Usage lease not ended", {field("error", error.what())});
    }
}

template <EdgePlatform P>
Task<> UsageAgent<P>::carryOut(usage_step::WriteRecord step)
{
    const bool wasHolder = m_duty.isHolder();
    try {
        std::vector<ConditionalPut> puts;
        puts.push_back({recordKey, step.expected, encodeUsageRecord(step.record)});
        const CompareAndSwapResult result =
                co_await m_store.compareAndSwap(std::move(puts), noLease);
        if (result.wasSwapped)
            m_duty.recordWritten(result.revision);
        else
            m_duty.recordConflict(result.current ? parse(*result.current) : std::nullopt,
                                  bootTime());
    } catch (const Error &error) {
        m_duty.recordWriteUnknown(bootTime());
        m_log.info("Usage record may not be written", {field("error", error.what())});
        co_return;
    }
    if (!wasHolder && m_duty.isHolder())
        m_log.info("Usage duty held",
                   {field("token", m_duty.token()), field("before", step.record.previousHolder),
                    field("through", step.record.through)});
}

template <EdgePlatform P>
Task<> UsageAgent<P>::carryOut(usage_step::Send step)
{
    const UsageWindow window = step.report.window;
    const FencingToken token = step.report.token;
    std::uint64_t requests = 0;
    for (const auto &[team, count] : step.report.counts)
        requests += count;
    const std::size_t teams = step.report.counts.size();
    const UsageAnswer answer =
            co_await m_receiver.report(m_name, std::move(step.report), reportTimeout);
    m_duty.recordAnswer(window, answer, bootTime());
    const std::string answerName(name(answer));
    m_metrics.count("endivedock_usage_reports_total", {{"answer", answerName}});
    m_log.info("Usage window sent",
               {field("window", window), field("token", token), field("answer", answerName),
                field("teams", teams), field("requests", requests),
                field("hosts", m_tally.hostCount(window))});
}

} // namespace endivedock
