#include "endivedock/usage.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <limits>

using namespace endivedock;

namespace {

const UsageSettings settings;
const TeamId alder("alder");
const TeamId birch("birch");
const UsageWindow first(1000);
const Milliseconds begin = beginOf(first, settings.windowLength);

UsageCounts makeCounts(std::uint32_t host, std::uint64_t incarnation, std::uint32_t count,
                       const TeamId &team = alder)
{
    return {HostId(host), Incarnation(incarnation), first, {{team, count}}};
}

} // namespace

class UsageCountsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageCountsTest);
    CPPUNIT_TEST(requestsCountInTheWindowInWhichTheyWereSent);
    CPPUNIT_TEST(changesAreSentTwiceAndAllCountsAfterTheEnd);
    CPPUNIT_TEST(repeatedAndReorderedMessagesCountOnce);
    CPPUNIT_TEST(aRestartedHostAddsToWhatItCountedBefore);
    CPPUNIT_TEST(teamsAreBounded);
    CPPUNIT_TEST(teamsThatAreNoLongerCountedMakeRoom);
    CPPUNIT_TEST(recordsSurviveTheStore);
    CPPUNIT_TEST(malformedRecordsAreRefused);
    CPPUNIT_TEST(tokensRise);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsCountInTheWindowInWhichTheyWereSent()
    {
        OwnUsage own(HostId(1), Incarnation(1), settings);
        own.record(alder, begin);
        own.record(alder, begin + settings.windowLength - Milliseconds(1));
        own.record(alder, begin + settings.windowLength);
        const auto messages = own.takeDue(begin + settings.windowLength);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), messages.size());
        CPPUNIT_ASSERT_EQUAL(first, messages[0].window);
        CPPUNIT_ASSERT_EQUAL(2u, messages[0].teams.at(0).count);
        CPPUNIT_ASSERT_EQUAL(1u, messages[1].teams.at(0).count);
    }

    void changesAreSentTwiceAndAllCountsAfterTheEnd()
    {
        OwnUsage own(HostId(1), Incarnation(1), settings);
        own.record(alder, begin);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), own.takeDue(begin).size());
        own.record(birch, begin);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), own.takeDue(begin).at(0).teams.size());
        CPPUNIT_ASSERT_EQUAL(birch, own.takeDue(begin).at(0).teams.at(0).team);
        CPPUNIT_ASSERT(own.takeDue(begin).empty());
        const Milliseconds end = begin + settings.windowLength;
        int fullMessages = 0;
        for (Milliseconds time = end; time < end + Milliseconds(5000); time += Milliseconds(500)) {
            for (const auto &message : own.takeDue(time)) {
                CPPUNIT_ASSERT_EQUAL(std::size_t(2), message.teams.size());
                ++fullMessages;
            }
        }
        CPPUNIT_ASSERT_EQUAL(3, fullMessages);
    }

    void repeatedAndReorderedMessagesCountOnce()
    {
        UsageTally tally;
        tally.merge(makeCounts(1, 1, 5));
        tally.merge(makeCounts(1, 1, 3));
        tally.merge(makeCounts(1, 1, 5));
        tally.merge(makeCounts(1, 1, 2, birch));
        tally.merge(makeCounts(2, 1, 1));
        CPPUNIT_ASSERT((tally.totals(first) == TeamCounts{{alder, 6}, {birch, 2}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), tally.hostCount(first));
        UsageTally copy; // A holder that takes over gets the same from a host that collects.
        for (const auto &message : tally.counts())
            copy.merge(message);
        CPPUNIT_ASSERT(copy.totals(first) == tally.totals(first));
    }

    void aRestartedHostAddsToWhatItCountedBefore()
    {
        UsageTally tally;
        tally.merge(makeCounts(1, 10, 5));
        tally.merge(makeCounts(1, 11, 2));
        tally.merge(makeCounts(1, 10, 4));
        CPPUNIT_ASSERT((tally.totals(first) == TeamCounts{{alder, 7}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tally.hostCount(first));
        CPPUNIT_ASSERT(tally.earliestStart() == Milliseconds(10));
        tally.keepOnly(after(first), after(first, 2));
        CPPUNIT_ASSERT(tally.totals(first).empty());
    }

    void teamsAreBounded()
    {
        OwnUsage own(HostId(1), Incarnation(1), settings);
        for (std::size_t number = 0; number < OwnUsage::maxTeams + 7; ++number)
            own.record(TeamId("t" + std::to_string(number)), begin);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), own.uncounted());
        UsageCounts message = own.takeDue(begin).at(0);
        CPPUNIT_ASSERT_EQUAL(OwnUsage::maxTeams, message.teams.size());
        const auto parts = divide(message);
        CPPUNIT_ASSERT(parts && parts->first.teams.size() + parts->second.teams.size() ==
                                        message.teams.size());
        message.teams.resize(1);
        CPPUNIT_ASSERT(!divide(message));
    }

    void teamsThatAreNoLongerCountedMakeRoom()
    {
        UsageTally tally;
        for (std::int64_t number = 0; number < 6; ++number) {
            const UsageWindow window = after(first, number);
            UsageCounts message{HostId(1), Incarnation(1), window, {{alder, 2}}};
            for (std::size_t team = 1; team < OwnUsage::maxTeams; ++team)
                message.teams.push_back(
                        {TeamId(std::to_string(number) + "-" + std::to_string(team)), 1});
            tally.merge(message);
            tally.keepOnly(after(window, -1), window); // Windows with counts remain at all times.
            const TeamCounts totals = tally.totals(window);
            CPPUNIT_ASSERT_EQUAL(OwnUsage::maxTeams, totals.size());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), totals.at(alder));
            CPPUNIT_ASSERT(tally.counts().back().teams.size() == OwnUsage::maxTeams);
        }
    }

    void recordsSurviveTheStore()
    {
        UsageRecord record;
        record.token = nextToken(FencingToken(0), Milliseconds(1'800'000'000'000), HostId(77));
        record.holder = HostId(4'000'000'000);
        record.previousHolder = HostId(3);
        record.termStartedAt = Milliseconds(17);
        record.through = first;
        record.unconfirmed[first] = {{alder, 3}, {TeamId("\"\\\n"), 9}};
        record.unconfirmed[after(first)] = {};
        CPPUNIT_ASSERT(decodeUsageRecord(encodeUsageRecord(record)) == record);
    }

    void malformedRecordsAreRefused()
    {
        UsageRecord record;
        record.unconfirmed[first] = {{alder, 3}};
        const std::string text = encodeUsageRecord(record);
        for (std::size_t length = 0; length < text.size(); ++length)
            CPPUNIT_ASSERT_THROW(decodeUsageRecord(text.substr(0, length)), UsageRecordError);
        std::string negative = text;
        negative.replace(negative.find(":3}"), 3, ":-1}");
        CPPUNIT_ASSERT_THROW(decodeUsageRecord(negative), UsageRecordError);
        // The times of such a window overflow, and a holder would take in windows without end.
        record.through = UsageWindow(std::numeric_limits<std::int64_t>::max());
        CPPUNIT_ASSERT_THROW(decodeUsageRecord(encodeUsageRecord(record)), UsageRecordError);
        record.through = first;
        record.unconfirmed[UsageWindow(std::int64_t{1} << 60)] = {};
        CPPUNIT_ASSERT_THROW(decodeUsageRecord(encodeUsageRecord(record)), UsageRecordError);
    }

    void tokensRise()
    {
        const Milliseconds time(1'800'000'000'000);
        FencingToken token = nextToken(FencingToken(0), time, HostId(5));
        // Also with a clock that goes back.
        for (int number = 0; number < 100; ++number) {
            const FencingToken next = nextToken(token, time - Milliseconds(number), HostId(5));
            CPPUNIT_ASSERT(next > token);
            token = next;
        }
        // From one older copy of the store at the same time, two hosts do not draw the same token.
        CPPUNIT_ASSERT(nextToken(FencingToken(9), time, HostId(5)) !=
                       nextToken(FencingToken(9), time, HostId(6)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageCountsTest);
