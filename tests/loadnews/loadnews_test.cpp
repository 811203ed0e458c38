#include "endivedock/loadnews.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace endivedock;

namespace {

const ServiceId service("quotes");

ServiceNews makeNews(std::uint32_t target, std::uint16_t inFlight, std::uint16_t slowdown = 0)
{
    ServiceNews news;
    news.service = service;
    TargetNews entry;
    entry.target = TargetKey(target);
    entry.inFlight = inFlight;
    entry.slowdown = slowdown;
    news.targets.push_back(entry);
    return news;
}

} // namespace

class LoadNewsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadNewsTest);
    CPPUNIT_TEST(aHostHearsOfAllOthers);
    CPPUNIT_TEST(oldNewsIsForgotten);
    CPPUNIT_TEST(aMoveIsJudgedByTheAnswersOfAll);
    CPPUNIT_TEST(aNewRelayGoesOnWhereAMoveWas);
    CPPUNIT_TEST(allHostsChooseOneRelay);
    CPPUNIT_TEST(silentRelaysArePassedOverForAWhile);
    CPPUNIT_TEST(oneStallPassesNobodyOver);
    CPPUNIT_TEST_SUITE_END();

public:
    void aHostHearsOfAllOthers()
    {
        m_relay.exchange(HostId(1), makeNews(7, 2), {}, m_now);
        m_relay.exchange(HostId(2), makeNews(7, 3, 400), {}, m_now);
        TargetNews granted;
        granted.target = TargetKey(7);
        granted.inFlight = 4;
        const auto picture =
                m_relay.exchange(HostId(1), makeNews(7, 2), std::vector{granted}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), picture.others.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(7), picture.others[0].inFlight);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(400), picture.others[0].slowdown);
    }

    void oldNewsIsForgotten()
    {
        m_relay.exchange(HostId(2), makeNews(7, 3), {}, m_now);
        const auto picture = m_relay.exchange(HostId(1), makeNews(8, 1), {},
                                              m_now + NewsRelay::newsAge + Milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), picture.others.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(0), picture.others[0].inFlight);
    }

    void aMoveIsJudgedByTheAnswersOfAll()
    {
        order();
        MoveProgress seen;
        for (int i = 0; i < 400 && seen.phase != MovePhase::TakenBack; ++i) {
            m_now += Milliseconds(10);
            ServiceNews news = makeNews(7, 1);
            news.answers = {{MoveSide::Old, 0, false, Milliseconds(60)},
                            {MoveSide::New, 0, i % 2 == 0, Milliseconds(60)}};
            const HostId host(static_cast<std::uint32_t>(1 + i % 17));
            seen = m_relay.exchange(host, news, {}, m_now).move.value();
        }
        CPPUNIT_ASSERT(seen.phase == MovePhase::TakenBack);
        CPPUNIT_ASSERT(seen.cause == TakeBackCause::Fault);
    }

    void aNewRelayGoesOnWhereAMoveWas()
    {
        order();
        ServiceNews news = makeNews(7, 1);
        news.move = MoveProgress{5, MovePhase::Ramping, 2, TakeBackCause::None};
        const auto picture = m_relay.exchange(HostId(1), news, {}, m_now);
        CPPUNIT_ASSERT(picture.move->phase == MovePhase::Ramping);
        CPPUNIT_ASSERT_EQUAL(2, picture.move->step);
    }

    void allHostsChooseOneRelay()
    {
        const std::vector<HostId> all{HostId(11), HostId(22), HostId(33), HostId(44)};
        const std::set<HostId> strong{HostId(22), HostId(33)};
        std::set<HostId> chosen;
        for (const auto &self : all) {
            std::vector<HostId> others;
            for (const auto &host : all) {
                if (host != self)
                    others.push_back(host);
            }
            RelayChoice choice(self);
            choice.setHosts(others, strong);
            chosen.insert(choice.relayFor(service, m_now));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), chosen.size());
        CPPUNIT_ASSERT(strong.contains(*chosen.begin()));
    }

    void silentRelaysArePassedOverForAWhile()
    {
        RelayChoice choice(HostId(1));
        choice.setHosts({HostId(22), HostId(33)}, {HostId(22), HostId(33)});
        const HostId first = choice.relayFor(service, m_now);
        missTwice(choice, first);
        const HostId second = choice.relayFor(service, m_now);
        CPPUNIT_ASSERT(first != second);
        CPPUNIT_ASSERT(second != HostId(1));
        missTwice(choice, second);
        CPPUNIT_ASSERT(choice.relayFor(service, m_now) == HostId(1));
        choice.heard(first, m_now);
        CPPUNIT_ASSERT(choice.relayFor(service, m_now) == first);
    }

    /** 118 hosts, most of a tenth of a core: each stall of one sent its requests elsewhere. */
    void oneStallPassesNobodyOver()
    {
        RelayChoice choice(HostId(1));
        choice.setHosts({HostId(22), HostId(33)}, {HostId(22), HostId(33)});
        const HostId first = choice.relayFor(service, m_now);
        for (int i = 0; i < 5; ++i)
            choice.unanswered(first, m_now + Milliseconds(i));
        CPPUNIT_ASSERT(choice.relayFor(service, m_now) == first);
        choice.heard(first, m_now + Milliseconds(20));
        choice.unanswered(first, m_now + Seconds(1));
        CPPUNIT_ASSERT(choice.relayFor(service, m_now + Seconds(1)) == first);
    }

private:
    void missTwice(RelayChoice &choice, HostId host)
    {
        choice.unanswered(host, m_now);
        m_now += RelayChoice::stall;
        choice.unanswered(host, m_now);
    }

    void order()
    {
        m_relay.setOrder(service,
                         MoveOrder{service, VersionId("v2"), Milliseconds(16'000), Revision(5)},
                         m_now);
    }

    NewsRelay m_relay;
    TimePoint m_now{Seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadNewsTest);
