#include "endivedock/selection.h"

#include <array>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace endivedock;

namespace {

TargetView makeView(int inFlight, int limit, int slots = 4, int millis = 10)
{
    return {Slots(inFlight),      Slots(limit),    Slots(slots),
            Milliseconds(millis), Slots(inFlight), Milliseconds(millis)};
}

template <PickPolicy Policy>
void neverExceedsALimit(const char *name)
{
    const bool holds =
            rc::check(name, [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &loads,
                               std::uint64_t seed) {
                std::vector<TargetView> views;
                bool room = false;
                for (const auto &[inFlight, limit] : loads) {
                    views.push_back(makeView(inFlight % 8, limit % 8));
                    room = room || hasCapacity(views.back());
                }
                Policy policy;
                Random random(seed);
                const auto picked = policy.pick(views, random);
                RC_ASSERT(picked.has_value() == room);
                if (picked)
                    RC_ASSERT(hasCapacity(views[*picked]));
            });
    CPPUNIT_ASSERT_MESSAGE(name, holds);
}

} // namespace

class SelectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SelectionTest);
    CPPUNIT_TEST(policiesKeepTheLimits);
    CPPUNIT_TEST(freeSlotComesFirst);
    CPPUNIT_TEST(tiesAreSharedOut);
    CPPUNIT_TEST(slowTargetIsEjectedAndComesBack);
    CPPUNIT_TEST(fastServiceBearsAStall);
    CPPUNIT_TEST(relapsesLastLonger);
    CPPUNIT_TEST(failuresOfAllEjectNobody);
    CPPUNIT_TEST_SUITE_END();

public:
    void policiesKeepTheLimits()
    {
        neverExceedsALimit<RandomPick>("random");
        neverExceedsALimit<RoundRobin>("round robin");
        neverExceedsALimit<LeastOutstanding>("least outstanding");
        neverExceedsALimit<PowerOfTwoChoices>("two choices");
        neverExceedsALimit<HotCold>("hot/cold");
        neverExceedsALimit<FreeRatioSample>("free ratio");
        neverExceedsALimit<FreeSlotFirst>("free slot first");
    }

    void freeSlotComesFirst()
    {
        FreeSlotFirst policy;
        // The first one is less loaded by its limit, but the request would wait there.
        const std::array views{makeView(4, 9, 4), makeView(3, 4, 4)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *policy.pick(views, m_random));
        const std::array times{makeView(1, 4, 4, 100), makeView(1, 4, 4, 10)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *policy.pick(times, m_random));
    }

    void tiesAreSharedOut()
    {
        FreeSlotFirst policy;
        const std::array views{makeView(0, 4), makeView(0, 4), makeView(0, 4)};
        std::array<int, 3> counts{};
        for (int i = 0; i < 3000; ++i)
            ++counts[*policy.pick(views, m_random)];
        for (const int count : counts)
            CPPUNIT_ASSERT(count > 900 && count < 1100);
    }

    void slowTargetIsEjectedAndComesBack()
    {
        TargetHealth health;
        CPPUNIT_ASSERT(ejectBySlowness(health));
        CPPUNIT_ASSERT(health.state(m_now) == HealthState::Ejected);
        m_now += Seconds(1);
        CPPUNIT_ASSERT(health.state(m_now) == HealthState::Probation);
        for (int i = 0; i < 3; ++i)
            health.recordResponse(m_now, Milliseconds(10), false, m_baseline);
        CPPUNIT_ASSERT(health.state(m_now) == HealthState::Healthy);
    }

    void fastServiceBearsAStall()
    {
        TargetHealth health;
        const ServiceBaseline fast{Milliseconds(1), Share(0.0)};
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(!health.recordResponse(m_now, Milliseconds(15), false, fast));
    }

    void relapsesLastLonger()
    {
        TargetHealth health;
        ejectBySlowness(health);
        m_now += Seconds(1);
        CPPUNIT_ASSERT(health.recordResponse(m_now, Milliseconds(10), true, m_baseline));
        CPPUNIT_ASSERT(health.state(m_now + Milliseconds(1900)) == HealthState::Ejected);
        CPPUNIT_ASSERT(health.state(m_now + Milliseconds(2000)) == HealthState::Probation);
    }

    void failuresOfAllEjectNobody()
    {
        TargetHealth health;
        const ServiceBaseline allFail{Milliseconds(10), Share(0.9)};
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(!health.recordResponse(m_now, Milliseconds(1), true, allFail));
    }

private:
    bool ejectBySlowness(TargetHealth &health)
    {
        for (int i = 0; i < 30; ++i) {
            if (health.recordResponse(m_now, Milliseconds(100), false, m_baseline))
                return true;
        }
        return false;
    }

    Random m_random{1};
    TimePoint m_now{Seconds(100)};
    ServiceBaseline m_baseline{Milliseconds(10), Share(0.0)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SelectionTest);
