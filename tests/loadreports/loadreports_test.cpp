#include "endivedock/loadreports.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace endivedock;

namespace {

const ServiceId service("quotes");

ServiceLoadReport makeReport(std::uint32_t target, std::uint16_t inFlight,
                             std::uint16_t slowdown = 0)
{
    ServiceLoadReport report;
    report.service = service;
    TargetLoad entry;
    entry.target = TargetHash(target);
    entry.inFlight = inFlight;
    entry.slowdown = slowdown;
    report.targets.push_back(entry);
    return report;
}

} // namespace

class LoadReportsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadReportsTest);
    CPPUNIT_TEST(aggregatesLoadOfAllOtherHosts);
    CPPUNIT_TEST(expiredReportsAreDropped);
    CPPUNIT_TEST(rolloutUsesSamplesOfAllHosts);
    CPPUNIT_TEST(newPlacingHostContinuesRollout);
    CPPUNIT_TEST(allHostsSelectTheSamePlacingHost);
    CPPUNIT_TEST(unresponsiveHostsAreSkipped);
    CPPUNIT_TEST(singleStallDoesNotSkipHost);
    CPPUNIT_TEST_SUITE_END();

public:
    void aggregatesLoadOfAllOtherHosts()
    {
        m_aggregator.applyReport(HostId(1), makeReport(7, 2), {}, m_now);
        m_aggregator.applyReport(HostId(2), makeReport(7, 3, 400), {}, m_now);
        TargetLoad granted;
        granted.target = TargetHash(7);
        granted.inFlight = 4;
        const auto aggregated =
                m_aggregator.applyReport(HostId(1), makeReport(7, 2), std::vector{granted}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), aggregated.targets.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(7), aggregated.targets[0].inFlight);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(400), aggregated.targets[0].slowdown);
    }

    void expiredReportsAreDropped()
    {
        m_aggregator.applyReport(HostId(2), makeReport(7, 3), {}, m_now);
        const auto aggregated =
                m_aggregator.applyReport(HostId(1), makeReport(8, 1), {},
                                         m_now + LoadAggregator::maxReportAge + Milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), aggregated.targets.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(0), aggregated.targets[0].inFlight);
    }

    void rolloutUsesSamplesOfAllHosts()
    {
        startRollout();
        RolloutProgress progress;
        for (int i = 0; i < 400 && progress.phase != RolloutPhase::RolledBack; ++i) {
            m_now += Milliseconds(10);
            ServiceLoadReport report = makeReport(7, 1);
            report.rolloutSamples = {{VersionRole::Old, 0, false, Milliseconds(60)},
                                     {VersionRole::New, 0, i % 2 == 0, Milliseconds(60)}};
            const HostId host(static_cast<std::uint32_t>(1 + i % 17));
            progress = m_aggregator.applyReport(host, report, {}, m_now).rollout.value();
        }
        CPPUNIT_ASSERT(progress.phase == RolloutPhase::RolledBack);
        CPPUNIT_ASSERT(progress.cause == RollbackCause::Fault);
    }

    void newPlacingHostContinuesRollout()
    {
        startRollout();
        ServiceLoadReport report = makeReport(7, 1);
        report.rollout = RolloutProgress{5, RolloutPhase::Ramping, 2, RollbackCause::None};
        const auto aggregated = m_aggregator.applyReport(HostId(1), report, {}, m_now);
        CPPUNIT_ASSERT(aggregated.rollout->phase == RolloutPhase::Ramping);
        CPPUNIT_ASSERT_EQUAL(2, aggregated.rollout->step);
    }

    void allHostsSelectTheSamePlacingHost()
    {
        const std::vector<HostId> hosts{HostId(11), HostId(22), HostId(33), HostId(44)};
        const std::set<HostId> preferred{HostId(22), HostId(33)};
        std::set<HostId> chosen;
        for (const auto &self : hosts) {
            std::vector<HostId> otherHosts;
            for (const auto &host : hosts) {
                if (host != self)
                    otherHosts.push_back(host);
            }
            PlacingHostSelector selector(self);
            selector.setHosts(otherHosts, preferred);
            chosen.insert(selector.placingHostFor(service, m_now));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), chosen.size());
        CPPUNIT_ASSERT(preferred.contains(*chosen.begin()));
    }

    void unresponsiveHostsAreSkipped()
    {
        PlacingHostSelector selector(HostId(1));
        selector.setHosts({HostId(22), HostId(33)}, {HostId(22), HostId(33)});
        const HostId first = selector.placingHostFor(service, m_now);
        recordTwoTimeouts(selector, first);
        const HostId second = selector.placingHostFor(service, m_now);
        CPPUNIT_ASSERT(first != second);
        CPPUNIT_ASSERT(second != HostId(1));
        recordTwoTimeouts(selector, second);
        CPPUNIT_ASSERT(selector.placingHostFor(service, m_now) == HostId(1));
        selector.recordResponse(first, m_now);
        CPPUNIT_ASSERT(selector.placingHostFor(service, m_now) == first);
    }

    /**
     * Guards against skipping a placing host after one stall of the requesting host. In a fleet of
     * 118 hosts, most with a tenth of a core, each stall of a host sent its requests to another
     * placing host.
     */
    void singleStallDoesNotSkipHost()
    {
        PlacingHostSelector selector(HostId(1));
        selector.setHosts({HostId(22), HostId(33)}, {HostId(22), HostId(33)});
        const HostId first = selector.placingHostFor(service, m_now);
        for (int i = 0; i < 5; ++i)
            selector.recordTimeout(first, m_now + Milliseconds(i));
        CPPUNIT_ASSERT(selector.placingHostFor(service, m_now) == first);
        selector.recordResponse(first, m_now + Milliseconds(20));
        selector.recordTimeout(first, m_now + Seconds(1));
        CPPUNIT_ASSERT(selector.placingHostFor(service, m_now + Seconds(1)) == first);
    }

private:
    void recordTwoTimeouts(PlacingHostSelector &selector, HostId host)
    {
        selector.recordTimeout(host, m_now);
        m_now += PlacingHostSelector::correlatedTimeoutWindow;
        selector.recordTimeout(host, m_now);
    }

    void startRollout()
    {
        m_aggregator.setRolloutOrder(
                service, RolloutOrder{service, VersionId("v2"), Milliseconds(16'000), Revision(5)},
                m_now);
    }

    LoadAggregator m_aggregator;
    TimePoint m_now{Seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportsTest);
