#include "endivedock/usage.h"

#include "../support.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace endivedock;

namespace {

const UsageSettings settings;
const Milliseconds startOfDay = beginOf(UsageWindow(360'000'000), settings.windowLength);
const TeamId team("alder");

/** One accepted call. */
struct Act
{
    TimePoint at;
    HostId host;
    UsageReport report;
};

/** The receiver, which checks the rules for each call that it accepts. */
class Receiver
{
public:
    UsageAnswer accept(HostId host, const UsageReport &report, TimePoint now)
    {
        const auto [owner, isNewToken] = tokenOwners.try_emplace(report.token, host);
        CPPUNIT_ASSERT_MESSAGE("one token used by two hosts", owner->second == host);
        if (report.token < highest)
            return UsageAnswer::Fenced;
        highest = report.token;
        const auto [known, isNew] = counts.try_emplace(report.window, report.counts);
        CPPUNIT_ASSERT_MESSAGE("one window with two counts", known->second == report.counts);
        acts.push_back({now, host, report});
        return UsageAnswer::Accepted;
    }

    /** @return whether three acts of two hosts follow in the order A, B, A within a lease */
    bool hasTurns() const
    {
        std::vector<Act> turns;
        for (const auto &act : acts) {
            if (!turns.empty() && turns.back().host == act.host) {
                turns.back().at = act.at;
                continue;
            }
            const std::size_t count = turns.size();
            if (count >= 2 && turns[count - 2].host == act.host &&
                act.at - turns[count - 2].at < settings.lease)
                return true;
            turns.push_back(act);
        }
        return false;
    }

    FencingToken highest;
    std::map<FencingToken, HostId> tokenOwners;
    std::map<UsageWindow, TeamCounts> counts;
    std::vector<Act> acts;
};

/** The store's two keys and its leases. */
struct StoreState
{
    Revision revision;
    std::optional<StoredUsageRecord> record;
    std::optional<HostId> holder;
    TimePoint leaseEndsAt{};
};

struct Host
{
    std::unique_ptr<UsageDuty> duty;
    UsageTally tally;
    Milliseconds clockOffset{0};
    TimePoint pausedUntil{};
    bool isAlive = true;
    bool reachesStore = true;
    bool reachesReceiver = true;
};

/** Hosts with the store and the receiver, in steps of virtual time. */
class Fleet
{
public:
    explicit Fleet(std::uint32_t hostCount, unsigned seed = 1)
        : m_random(seed)
    {
        for (std::uint32_t number = 1; number <= hostCount; ++number)
            start(HostId(number));
    }

    void start(HostId id)
    {
        Host &host = hosts[id];
        host.duty = std::make_unique<UsageDuty>(id, settings, timeOfDay(), Milliseconds(0));
        host.tally = {};
        host.isAlive = true;
    }

    void run(Milliseconds time)
    {
        for (const TimePoint end = now + time; now < end; now += Milliseconds(50)) {
            if (!isStoreAway && store.holder && now >= store.leaseEndsAt)
                store.holder.reset();
            std::vector<LateCall> due;
            std::copy_if(m_late.begin(), m_late.end(), std::back_inserter(due),
                         [&](const LateCall &call) { return call.at <= now; });
            std::erase_if(m_late, [&](const LateCall &call) { return call.at <= now; });
            for (const auto &call : due)
                receiver.accept(call.host, call.report, now);
            std::erase_if(m_lateWrites, [&](const LateWrite &write) {
                if (write.at <= now)
                    writeIfUnchanged(write.step);
                return write.at <= now;
            });
            if (hasTraffic)
                count();
            // The copies of the store that hosts have are a little older than the store.
            m_copies.push_back(store);
            if (m_copies.size() > 5)
                m_copies.erase(m_copies.begin());
            for (auto &[id, host] : hosts) {
                if (host.isAlive && now >= host.pausedUntil)
                    step(id, host);
            }
        }
    }

    /** Lets the store come back from a copy, without leases, if all hosts know its last state. */
    void returnStoreTo(const StoreState &copy)
    {
        const bool isFollowed = std::all_of(hosts.begin(), hosts.end(), [&](const auto &entry) {
            const Host &host = entry.second;
            return host.isAlive && host.reachesStore && now >= host.pausedUntil;
        });
        if (!isFollowed || isStoreAway || !m_lateWrites.empty())
            return;
        const Revision before = store.revision;
        run(Milliseconds(600));
        if (store.revision != before || !m_lateWrites.empty())
            return;
        m_hasReturned = true;
        store = copy;
        store.revision = Revision(before.value() + 1);
        store.holder.reset();
        if (store.record)
            store.record = {store.record->record, store.revision, true};
        ++returns;
    }

    Milliseconds timeOfDay() const { return startOfDay + toMilliseconds(now.time_since_epoch()); }
    HostId holder() const
    {
        for (const auto &[id, host] : hosts) {
            if (host.isAlive && host.duty->isHolder())
                return id;
        }
        return HostId(0);
    }
    Host &of(HostId id) { return hosts.at(id); }
    bool isReported(std::int64_t windowAfterStart) const
    {
        return receiver.counts.contains(
                after(windowAt(startOfDay, settings.windowLength), windowAfterStart));
    }

    std::map<HostId, Host> hosts;
    StoreState store;
    Receiver receiver;
    TimePoint now{};
    bool hasTraffic = true;
    bool isStoreAway = false;
    /** Shares of calls, in percent, whose answer is lost, and that are carried out late. */
    unsigned lostAnswers = 0;
    unsigned lateCalls = 0;
    /** Share of writes of the record, in percent, that are carried out late if nothing changed. */
    unsigned lateWrites = 0;
    bool isThrottling = false;
    std::map<UnreportedCause, int> unreported;
    int returns = 0;
    /** When each host last called the receiver. */
    std::map<HostId, TimePoint> lastCalls;

private:
    struct LateCall
    {
        TimePoint at;
        HostId host;
        UsageReport report;
    };

    struct LateWrite
    {
        TimePoint at;
        usage_step::WriteRecord step;
    };

    /** Each host counts a request, and all hosts learn of it. */
    void count()
    {
        const UsageWindow window = windowAt(timeOfDay(), settings.windowLength);
        for (auto &[source, sender] : hosts) {
            if (!sender.isAlive)
                continue;
            const std::uint32_t value = ++m_counts[{source, window}];
            for (auto &[id, host] : hosts) {
                if (id == source || drawPercent() < 90)
                    host.tally.merge({source,
                                      Incarnation(static_cast<std::uint64_t>(startOfDay.count())),
                                      window,
                                      {{team, value}}});
            }
        }
    }

    unsigned drawPercent() { return static_cast<unsigned>(m_random() % 100); }

    void step(HostId id, Host &host)
    {
        const StoreState &copy = host.reachesStore ? m_copies.front() : m_frozenCopies[id];
        if (host.reachesStore)
            m_frozenCopies[id] = copy;
        const UsageView view{now,
                             timeOfDay() + host.clockOffset,
                             copy.holder,
                             copy.record ? &*copy.record : nullptr,
                             id.value() - 1,
                             true,
                             host.tally};
        for (int steps = 0; steps < 4; ++steps) {
            UsageStep next = host.duty->next(view);
            if (std::holds_alternative<usage_step::Wait>(next))
                break;
            std::visit([&](auto &action) { carryOut(id, host, action); }, next);
        }
        for (const auto &window : host.duty->takeUnreported())
            ++unreported[window.cause];
    }

    bool canReachStore(const Host &host) const { return !isStoreAway && host.reachesStore; }

    void carryOut(HostId, Host &, const usage_step::Wait &) {}
    void carryOut(HostId id, Host &host, const usage_step::Claim &)
    {
        if (!canReachStore(host) || store.holder) {
            host.duty->recordClaimFailed(now);
            return;
        }
        store.holder = id;
        store.leaseEndsAt = now + settings.lease;
        host.duty->recordClaimed(now);
    }
    void carryOut(HostId id, Host &host, const usage_step::RenewLease &)
    {
        if (!canReachStore(host)) {
            host.duty->recordRenewalUnknown(now);
        } else if (store.holder != id) {
            host.duty->recordLeaseEnded(now);
        } else {
            store.leaseEndsAt = now + settings.lease;
            host.duty->recordRenewed(now);
        }
    }
    void carryOut(HostId id, Host &host, const usage_step::EndLease &)
    {
        if (canReachStore(host) && store.holder == id)
            store.holder.reset();
    }
    bool writeIfUnchanged(const usage_step::WriteRecord &action)
    {
        const Revision current = store.record ? store.record->revision : Revision(0);
        if (current != action.expected)
            return false;
        store.revision = Revision(std::max(store.revision, current).value() + 1);
        store.record = {action.record, store.revision, m_hasReturned};
        return true;
    }
    void carryOut(HostId, Host &host, const usage_step::WriteRecord &action)
    {
        if (lateWrites > 0 && canReachStore(host) && drawPercent() < lateWrites) {
            m_lateWrites.push_back({now + Milliseconds(m_random() % 5000), action});
            host.duty->recordWriteUnknown(now);
            return;
        }
        const bool isWritten = canReachStore(host) && writeIfUnchanged(action);
        if (!canReachStore(host) || drawPercent() < lostAnswers)
            host.duty->recordWriteUnknown(now);
        else if (isWritten)
            host.duty->recordWritten(store.revision);
        else
            host.duty->recordConflict(store.record, now);
    }
    void carryOut(HostId id, Host &host, const usage_step::Send &action)
    {
        const UsageWindow window = action.report.window;
        lastCalls[id] = now;
        if (!host.reachesReceiver) {
            host.duty->recordAnswer(window, UsageAnswer::Unknown, now);
        } else if (isThrottling) {
            host.duty->recordAnswer(window, UsageAnswer::Throttled, now);
        } else if (drawPercent() < lateCalls) {
            m_late.push_back({now + Milliseconds(m_random() % 5000), id, action.report});
            host.duty->recordAnswer(window, UsageAnswer::Unknown, now);
        } else {
            const UsageAnswer answer = receiver.accept(id, action.report, now);
            const bool isLost = drawPercent() < lostAnswers;
            host.duty->recordAnswer(window, isLost ? UsageAnswer::Unknown : answer, now);
        }
    }

    std::mt19937 m_random;
    std::map<std::pair<HostId, UsageWindow>, std::uint32_t> m_counts;
    std::vector<StoreState> m_copies;
    std::map<HostId, StoreState> m_frozenCopies;
    std::vector<LateCall> m_late;
    std::vector<LateWrite> m_lateWrites;
    bool m_hasReturned = false;
};

} // namespace

class UsageDutyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageDutyTest);
    CPPUNIT_TEST(oneHostReportsEachWindowOnce);
    CPPUNIT_TEST(anotherHostTakesOverFromAKilledOne);
    CPPUNIT_TEST(aPausedHolderSendsNothingWhenItWakes);
    CPPUNIT_TEST(aHolderWithoutTheStoreSendsNothingAfterItsLease);
    CPPUNIT_TEST(shortLeasesLeaveRoomForCalls);
    CPPUNIT_TEST(aStoppedHolderHandsOverAtOnce);
    CPPUNIT_TEST(aLostAnswerIsFollowedByTheSameReport);
    CPPUNIT_TEST(aReportThatIsCarriedOutLateIsFenced);
    CPPUNIT_TEST(aFencedHolderEndsItsTerm);
    CPPUNIT_TEST(throttledReportsAreSentAgain);
    CPPUNIT_TEST(theSameHolderGoesOnAfterTheStoreWasAway);
    CPPUNIT_TEST(recordedCountsStayWhenOthersArrive);
    CPPUNIT_TEST(countsThatAllHostsLostAreNotInvented);
    CPPUNIT_TEST(aClockASecondOffMissesNoWindow);
    CPPUNIT_TEST(aNewHostWithoutARecordRepeatsNoWindow);
    CPPUNIT_TEST(aNewHostWithAnOlderRecordRepeatsNoWindow);
    CPPUNIT_TEST(aFormerHolderWaitsAlsoWhenTheStoreGoesBack);
    CPPUNIT_TEST(tokensRiseWhenTheStoreGoesBack);
    CPPUNIT_TEST(randomDisruptionsBreakNoRule);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneHostReportsEachWindowOnce()
    {
        Fleet fleet(5);
        fleet.run(Seconds(62));
        for (int window = 0; window <= 10; ++window)
            CPPUNIT_ASSERT(fleet.isReported(window));
        CPPUNIT_ASSERT_EQUAL(fleet.receiver.counts.size(), fleet.receiver.acts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.receiver.tokenOwners.size());
        // One write of the record for each window, and one for the term.
        CPPUNIT_ASSERT(fleet.store.revision.value() <=
                       static_cast<std::int64_t>(fleet.receiver.counts.size()) + 1);
    }

    void anotherHostTakesOverFromAKilledOne()
    {
        Fleet fleet(5);
        fleet.run(Seconds(20));
        const HostId holder = fleet.holder();
        fleet.of(holder).isAlive = false;
        fleet.run(Seconds(10));
        CPPUNIT_ASSERT(fleet.holder() != HostId(0) && fleet.holder() != holder);
        fleet.run(Seconds(30));
        for (int window = 0; window <= 9; ++window)
            CPPUNIT_ASSERT(fleet.isReported(window));
    }

    void aPausedHolderSendsNothingWhenItWakes()
    {
        Fleet fleet(5);
        fleet.run(Seconds(20));
        const HostId holder = fleet.holder();
        const std::size_t before = fleet.receiver.acts.size();
        fleet.of(holder).pausedUntil = fleet.now + Seconds(12);
        fleet.run(Seconds(40));
        for (std::size_t number = before; number < fleet.receiver.acts.size(); ++number)
            CPPUNIT_ASSERT(fleet.receiver.acts[number].host != holder);
        CPPUNIT_ASSERT(fleet.isReported(9));
    }

    void aHolderWithoutTheStoreSendsNothingAfterItsLease()
    {
        Fleet fleet(5);
        for (auto &[id, host] : fleet.hosts)
            host.reachesReceiver = false;
        fleet.run(Milliseconds(10'200)); // The first window is recorded, and not yet reported.
        const HostId holder = fleet.holder();
        fleet.of(holder).reachesStore = false;
        const TimePoint leaseEndsAt = fleet.now + settings.lease;
        fleet.run(settings.lease);
        for (auto &[id, host] : fleet.hosts)
            host.reachesReceiver = true;
        fleet.run(Seconds(27));
        const auto last = fleet.lastCalls.find(holder);
        CPPUNIT_ASSERT(last != fleet.lastCalls.end() && last->second < leaseEndsAt);
        CPPUNIT_ASSERT(fleet.holder() != HostId(0));
        CPPUNIT_ASSERT(fleet.isReported(5));
    }

    void shortLeasesLeaveRoomForCalls()
    {
        UsageSettings shortLease = settings;
        shortLease.lease = Milliseconds(500);
        UsageDuty duty(HostId(1), shortLease, startOfDay, Milliseconds(0));
        duty.recordClaimed(TimePoint{});
        const UsageTally tally;
        const UsageView view{TimePoint{}, startOfDay, HostId(1), nullptr, 0, true, tally};
        CPPUNIT_ASSERT(std::holds_alternative<usage_step::WriteRecord>(duty.next(view)));
    }

    void aStoppedHolderHandsOverAtOnce()
    {
        Fleet fleet(5);
        fleet.run(Seconds(20));
        const HostId holder = fleet.holder();
        fleet.of(holder).duty->stop();
        fleet.run(Milliseconds(2000));
        CPPUNIT_ASSERT(fleet.holder() != HostId(0) && fleet.holder() != holder);
    }

    void aLostAnswerIsFollowedByTheSameReport()
    {
        Fleet fleet(3);
        fleet.lostAnswers = 60;
        fleet.run(Seconds(60));
        CPPUNIT_ASSERT(fleet.receiver.acts.size() > fleet.receiver.counts.size());
        CPPUNIT_ASSERT(fleet.isReported(8));
    }

    void aReportThatIsCarriedOutLateIsFenced()
    {
        Fleet fleet(3);
        fleet.lateCalls = 70;
        for (int round = 0; round < 6; ++round) {
            fleet.run(Seconds(13));
            const HostId holder = fleet.holder();
            if (holder != HostId(0))
                fleet.of(holder).duty->stop();
            fleet.run(Seconds(3));
            for (auto &[id, host] : fleet.hosts) {
                if (id == holder)
                    fleet.start(id);
            }
        }
        CPPUNIT_ASSERT(fleet.receiver.tokenOwners.size() > 3);
        CPPUNIT_ASSERT(!fleet.receiver.hasTurns());
    }

    void aFencedHolderEndsItsTerm()
    {
        Fleet fleet(3);
        fleet.run(Seconds(20));
        const HostId holder = fleet.holder();
        const FencingToken token = fleet.of(holder).duty->token();
        fleet.receiver.highest = FencingToken(token.value() + 1);
        fleet.run(Seconds(10));
        CPPUNIT_ASSERT(!fleet.of(holder).duty->isHolder());
        const auto &acts = fleet.receiver.acts;
        CPPUNIT_ASSERT(acts.back().report.token > token);
    }

    void throttledReportsAreSentAgain()
    {
        Fleet fleet(3);
        fleet.isThrottling = true;
        fleet.run(Seconds(11));
        CPPUNIT_ASSERT(fleet.receiver.counts.empty());
        fleet.isThrottling = false;
        fleet.run(Seconds(2));
        CPPUNIT_ASSERT(fleet.isReported(0));
    }

    void theSameHolderGoesOnAfterTheStoreWasAway()
    {
        Fleet fleet(4);
        fleet.run(Seconds(20));
        const HostId holder = fleet.holder();
        fleet.isStoreAway = true;
        fleet.store.leaseEndsAt += Seconds(100); // The store's leases pause.
        fleet.run(Seconds(6));
        fleet.isStoreAway = false;
        fleet.run(Seconds(14));
        CPPUNIT_ASSERT(fleet.holder() == holder);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.receiver.tokenOwners.size());
        CPPUNIT_ASSERT(fleet.isReported(5));
    }

    void recordedCountsStayWhenOthersArrive()
    {
        Fleet fleet(3);
        for (auto &[id, host] : fleet.hosts)
            host.reachesReceiver = false;
        fleet.run(Milliseconds(10'200)); // The first window is recorded, and not yet reported.
        const HostId holder = fleet.holder();
        fleet.of(holder).isAlive = false;
        for (auto &[id, host] : fleet.hosts) {
            host.reachesReceiver = true;
            host.tally.merge({HostId(99),
                              Incarnation(1),
                              windowAt(startOfDay, settings.windowLength),
                              {{team, 50}}});
        }
        const UsageWindow window = windowAt(startOfDay, settings.windowLength);
        const TeamCounts recorded = fleet.store.record->record.unconfirmed.at(window);
        fleet.run(Seconds(6));
        CPPUNIT_ASSERT(fleet.receiver.counts.at(window) == recorded);
    }

    void countsThatAllHostsLostAreNotInvented()
    {
        Fleet fleet(4);
        fleet.run(Seconds(20));
        fleet.hasTraffic = false;
        for (auto &[id, host] : fleet.hosts)
            host.isAlive = false;
        fleet.run(Milliseconds(6500));
        for (auto &[id, host] : fleet.hosts)
            fleet.start(id);
        fleet.run(Seconds(30));
        CPPUNIT_ASSERT(!fleet.isReported(4)); // 20 s to 25 s, in which all hosts were away.
        CPPUNIT_ASSERT(!fleet.isReported(5)); // They came back at 26.5 s.
        CPPUNIT_ASSERT(fleet.unreported[UnreportedCause::CountsLost] +
                               fleet.unreported[UnreportedCause::RecordedTooLate] >=
                       2);
        CPPUNIT_ASSERT(fleet.isReported(6));
    }

    void aClockASecondOffMissesNoWindow()
    {
        for (const Milliseconds offset : {Milliseconds(-1000), Milliseconds(1000)}) {
            Fleet fleet(3);
            fleet.of(HostId(1)).clockOffset = offset;
            fleet.run(Seconds(60));
            CPPUNIT_ASSERT(fleet.holder() == HostId(1));
            for (int window = 1; window <= 9; ++window)
                CPPUNIT_ASSERT(fleet.isReported(window));
        }
    }

    void aNewHostWithoutARecordRepeatsNoWindow()
    {
        // The store has come back from a copy without the record; hosts that run know counts of
        // windows that another one may have reported before this host started.
        const UsageWindow started = windowAt(startOfDay, settings.windowLength);
        UsageDuty duty(HostId(1), settings, startOfDay, Milliseconds(0));
        UsageTally tally;
        for (std::int64_t window = -2; window <= 0; ++window)
            tally.merge({HostId(2), Incarnation(1), after(started, window), {{team, 7}}});
        const Milliseconds afterWindow = startOfDay + settings.windowLength + Milliseconds(2500);
        duty.recordClaimed(TimePoint{});
        const UsageView view{TimePoint{}, afterWindow, HostId(1), nullptr, 0, true, tally};
        const UsageStep step = duty.next(view);
        const auto *write = std::get_if<usage_step::WriteRecord>(&step);
        CPPUNIT_ASSERT(write != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), write->record.unconfirmed.size());
        CPPUNIT_ASSERT(write->record.unconfirmed.contains(started));
    }

    void aNewHostWithAnOlderRecordRepeatsNoWindow()
    {
        const UsageWindow started = windowAt(startOfDay, settings.windowLength);
        StoredUsageRecord older{{}, Revision(9), true};
        older.record.token = FencingToken(5);
        older.record.through = after(started, -2);
        UsageTally tally; // Contains counts of hosts that started earlier.
        for (std::int64_t window = -1; window <= 0; ++window)
            tally.merge({HostId(2), Incarnation(1), after(started, window), {{team, 7}}});
        const Milliseconds afterWindow = startOfDay + settings.windowLength + Milliseconds(2500);
        for (const bool isInView : {true, false}) {
            UsageDuty duty(HostId(1), settings, startOfDay, Milliseconds(0));
            duty.recordClaimed(TimePoint{});
            const StoredUsageRecord *record = isInView ? &older : nullptr;
            const UsageView view{TimePoint{}, afterWindow, HostId(1), record, 0, true, tally};
            if (!isInView) {
                duty.next(view);
                duty.recordConflict(older, TimePoint{});
            }
            const UsageStep step = duty.next(view);
            const auto *write = std::get_if<usage_step::WriteRecord>(&step);
            CPPUNIT_ASSERT(write != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), write->record.unconfirmed.size());
            CPPUNIT_ASSERT(write->record.unconfirmed.contains(started));
            duty.recordWritten(Revision(10));
            const auto unreported = duty.takeUnreported();
            CPPUNIT_ASSERT(unreported.size() == 1 &&
                           unreported[0].cause == UnreportedCause::MayBeReported);
        }
    }

    void aFormerHolderWaitsAlsoWhenTheStoreGoesBack()
    {
        // Started again since its term; the store then forgets the term of the host after it.
        UsageDuty duty(HostId(2), settings, startOfDay, Milliseconds(0));
        UsageRecord own;
        own.token = FencingToken(5);
        own.holder = HostId(2);
        UsageRecord others{FencingToken(9), HostId(1), HostId(2), startOfDay, {}, {}};
        const StoredUsageRecord newest{others, Revision(9)};
        const StoredUsageRecord older{own, Revision(10), true};
        const UsageTally tally;
        duty.next({TimePoint{}, startOfDay, HostId(1), &newest, 0, true, tally});
        const auto stepAt = [&](Milliseconds time) {
            return duty.next(
                    {TimePoint{} + time, startOfDay + time, std::nullopt, &older, 0, true, tally});
        };
        for (Milliseconds time(0); time < 4 * settings.lease; time += Milliseconds(100))
            CPPUNIT_ASSERT(!std::holds_alternative<usage_step::Claim>(stepAt(time)));
        CPPUNIT_ASSERT(std::holds_alternative<usage_step::Claim>(stepAt(4 * settings.lease)));
    }

    void tokensRiseWhenTheStoreGoesBack()
    {
        Fleet fleet(3);
        fleet.run(Seconds(12));
        const StoreState older = fleet.store;
        fleet.run(Seconds(18));
        const Revision newest = fleet.store.revision;
        fleet.store = older;
        fleet.store.revision = newest;
        fleet.store.holder.reset();
        // Windows that the older copy does not contain have been reported, without these counts.
        for (auto &[id, host] : fleet.hosts)
            host.tally.merge({HostId(99),
                              Incarnation(1),
                              after(windowAt(startOfDay, settings.windowLength), 4),
                              {{team, 50}}});
        CPPUNIT_ASSERT(fleet.isReported(4));
        fleet.run(Seconds(40)); // The receiver finds tokens and counts that do not fit.
        CPPUNIT_ASSERT(fleet.receiver.tokenOwners.size() >= 2);
        CPPUNIT_ASSERT(fleet.isReported(12));
    }

    void randomDisruptionsBreakNoRule()
    {
        const auto runs = testing::numberFromEnvironment("ENDIVEDOCK_USAGE_RUNS", 150);
        std::size_t reported = 0;
        int returns = 0;
        for (unsigned seed = 1; seed <= runs; ++seed) {
            std::mt19937 random(seed);
            Fleet fleet(5, seed);
            fleet.lostAnswers = random() % 30;
            fleet.lateCalls = random() % 30;
            fleet.lateWrites = seed % 2 == 0 ? 0 : seed % 40;
            for (auto &[id, host] : fleet.hosts)
                host.clockOffset = Milliseconds(static_cast<int>(random() % 2001) - 1000);
            StoreState copy;
            for (int round = 0; round < 25; ++round) {
                if (random() % 4 == 0)
                    copy = fleet.store;
                if (random() % 4 == 0)
                    fleet.returnStoreTo(copy);
                disrupt(fleet, random);
                fleet.run(Milliseconds(200 + random() % 5000));
            }
            CPPUNIT_ASSERT_MESSAGE("A, B, A with seed " + std::to_string(seed),
                                   !fleet.receiver.hasTurns());
            reported += fleet.receiver.counts.size();
            returns += fleet.returns;
        }
        CPPUNIT_ASSERT(reported > 3 * runs);
        CPPUNIT_ASSERT(returns > 0);
    }

private:
    static void disrupt(Fleet &fleet, std::mt19937 &random)
    {
        const HostId current = fleet.holder();
        const HostId id = current != HostId(0) && random() % 2 == 0
                                  ? current
                                  : HostId(static_cast<std::uint32_t>(1 + random() % 5));
        Host &host = fleet.of(id);
        switch (random() % 8) {
        case 0:
            host.isAlive = false;
            break;
        case 1:
            for (auto &[other, restarted] : fleet.hosts) {
                if (!restarted.isAlive)
                    fleet.start(other);
            }
            break;
        case 2:
            host.pausedUntil = fleet.now + Milliseconds(random() % 9000);
            break;
        case 3:
            host.reachesStore = !host.reachesStore;
            break;
        case 4:
            host.reachesReceiver = !host.reachesReceiver;
            break;
        case 5:
            fleet.isStoreAway = !fleet.isStoreAway;
            break;
        case 6:
            fleet.start(id);
            break;
        default:
            fleet.isStoreAway = false;
            for (auto &[other, healed] : fleet.hosts)
                healed.reachesStore = healed.reachesReceiver = true;
            break;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageDutyTest);
