#include "endivedock/loadreports.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace endivedock;

namespace {

const ServiceId service("quotes");

ServiceLoadReport makeNews(std::uint32_t target, std::uint16_t inFlight, std::uint16_t slowdown = 0)
{
    ServiceLoadReport news;
    news.service = service;
    TargetLoad entry;
    entry.target = TargetHash(target);
    entry.inFlight = inFlight;
    entry.slowdown = slowdown;
    news.targets.push_back(entry);
    return news;
}

} // namespace

class LoadReportsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadReportsTest);
    CPPUNIT_TEST(aggregatesLoadOfAllOtherHosts);
    CPPUNIT_TEST(expiredReportsAreDropped);
    CPPUNIT_TEST(rolloutIsJudgedBySamplesOfAllHosts);
    CPPUNIT_TEST(newPlacingHostContinuesRollout);
    CPPUNIT_TEST(allHostsSelectTheSamePlacingHost);
    CPPUNIT_TEST(unresponsiveHostsAreSkipped);
    CPPUNIT_TEST(singleStallDoesNotSkipHost);
    CPPUNIT_TEST_SUITE_END();

public:
    void aggregatesLoadOfAllOtherHosts()
    {
        m_aggregator.applyReport(HostId(1), makeNews(7, 2), {}, m_now);
        m_aggregator.applyReport(HostId(2), makeNews(7, 3, 400), {}, m_now);
        TargetLoad granted;
        granted.target = TargetHash(7);
        granted.inFlight = 4;
        const auto picture =
                m_aggregator.applyReport(HostId(1), makeNews(7, 2), std::vector{granted}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), picture.targets.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(7), picture.targets[0].inFlight);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(400), picture.targets[0].slowdown);
    }

    void expiredReportsAreDropped()
    {
        m_aggregator.applyReport(HostId(2), makeNews(7, 3), {}, m_now);
        const auto picture =
                m_aggregator.applyReport(HostId(1), makeNews(8, 1), {},
                                         m_now + LoadAggregator::maxReportAge + Milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), picture.targets.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(0), picture.targets[0].inFlight);
    }

    void rolloutIsJudgedBySamplesOfAllHosts()
    {
        order();
        RolloutProgress seen;
        for (int i = 0; i < 400 && seen.phase != RolloutPhase::RolledBack; ++i) {
            m_now += Milliseconds(10);
            ServiceLoadReport news = makeNews(7, 1);
            news.rolloutSamples = {{VersionRole::Old, 0, false, Milliseconds(60)},
                                   {VersionRole::New, 0, i % 2 == 0, Milliseconds(60)}};
            const HostId host(static_cast<std::uint32_t>(1 + i % 17));
            seen = m_aggregator.applyReport(host, news, {}, m_now).rollout.value();
        }
        CPPUNIT_ASSERT(seen.phase == RolloutPhase::RolledBack);
        CPPUNIT_ASSERT(seen.cause == RollbackCause::Fault);
    }

    void newPlacingHostContinuesRollout()
    {
        order();
        ServiceLoadReport news = makeNews(7, 1);
        news.rollout = RolloutProgress{5, RolloutPhase::Ramping, 2, RollbackCause::None};
        const auto picture = m_aggregator.applyReport(HostId(1), news, {}, m_now);
        CPPUNIT_ASSERT(picture.rollout->phase == RolloutPhase::Ramping);
        CPPUNIT_ASSERT_EQUAL(2, picture.rollout->step);
    }

    void allHostsSelectTheSamePlacingHost()
    {
        const std::vector<HostId> all{HostId(11), HostId(22), HostId(33), HostId(44)};
        const std::set<HostId> preferred{HostId(22), HostId(33)};
        std::set<HostId> chosen;
        for (const auto &self : all) {
            std::vector<HostId> others;
            for (const auto &host : all) {
                if (host != self)
                    others.push_back(host);
            }
            PlacingHostSelector choice(self);
            choice.setHosts(others, preferred);
            chosen.insert(choice.placingHostFor(service, m_now));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), chosen.size());
        CPPUNIT_ASSERT(preferred.contains(*chosen.begin()));
    }

    void unresponsiveHostsAreSkipped()
    {
        PlacingHostSelector choice(HostId(1));
        choice.setHosts({HostId(22), HostId(33)}, {HostId(22), HostId(33)});
        const HostId first = choice.placingHostFor(service, m_now);
        recordTwoTimeouts(choice, first);
        const HostId second = choice.placingHostFor(service, m_now);
        CPPUNIT_ASSERT(first != second);
        CPPUNIT_ASSERT(second != HostId(1));
        recordTwoTimeouts(choice, second);
        CPPUNIT_ASSERT(choice.placingHostFor(service, m_now) == HostId(1));
        choice.recordResponse(first, m_now);
        CPPUNIT_ASSERT(choice.placingHostFor(service, m_now) == first);
    }

    /** 118 hosts, most of a tenth of a core: each stall of one sent its requests elsewhere. */
    void singleStallDoesNotSkipHost()
    {
        PlacingHostSelector choice(HostId(1));
        choice.setHosts({HostId(22), HostId(33)}, {HostId(22), HostId(33)});
        const HostId first = choice.placingHostFor(service, m_now);
        for (int i = 0; i < 5; ++i)
            choice.recordTimeout(first, m_now + Milliseconds(i));
        CPPUNIT_ASSERT(choice.placingHostFor(service, m_now) == first);
        choice.recordResponse(first, m_now + Milliseconds(20));
        choice.recordTimeout(first, m_now + Seconds(1));
        CPPUNIT_ASSERT(choice.placingHostFor(service, m_now + Seconds(1)) == first);
    }

private:
    void recordTwoTimeouts(PlacingHostSelector &choice, HostId host)
    {
        choice.recordTimeout(host, m_now);
        m_now += PlacingHostSelector::correlatedTimeoutWindow;
        choice.recordTimeout(host, m_now);
    }

    void order()
    {
        m_aggregator.setRolloutOrder(
                service, RolloutOrder{service, VersionId("v2"), Milliseconds(16'000), Revision(5)},
                m_now);
    }

    LoadAggregator m_aggregator;
    TimePoint m_now{Seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportsTest);
