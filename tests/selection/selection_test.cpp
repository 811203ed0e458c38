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
void checkRespectsLimits(const char *name)
{
    const bool isRespected =
            rc::check(name, [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &loads,
                               std::uint64_t seed) {
                std::vector<TargetView> views;
                bool hasAnyCapacity = false;
                for (const auto &[inFlight, limit] : loads) {
                    views.push_back(makeView(inFlight % 8, limit % 8));
                    hasAnyCapacity = hasAnyCapacity || hasCapacity(views.back());
                }
                Policy policy;
                Random random(seed);
                const auto picked = policy.pick(views, random);
                RC_ASSERT(picked.has_value() == hasAnyCapacity);
                if (picked)
                    RC_ASSERT(hasCapacity(views[*picked]));
            });
    CPPUNIT_ASSERT_MESSAGE(name, isRespected);
}

} // namespace

class SelectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SelectionTest);
    CPPUNIT_TEST(policiesRespectTheLimits);
    CPPUNIT_TEST(prefersTargetWithFreeSlot);
    CPPUNIT_TEST(tiesAreBrokenEvenly);
    CPPUNIT_TEST(slowTargetIsEjectedAndReadmitted);
    CPPUNIT_TEST(shortStallOfFastServiceEjectsNoTarget);
    CPPUNIT_TEST(repeatedEjectionsLastLonger);
    CPPUNIT_TEST(failuresOfAllTargetsEjectNone);
    CPPUNIT_TEST_SUITE_END();

public:
    void policiesRespectTheLimits()
    {
        checkRespectsLimits<RandomPick>("random");
        checkRespectsLimits<RoundRobin>("round robin");
        checkRespectsLimits<LeastOutstanding>("least outstanding");
        checkRespectsLimits<PowerOfTwoChoices>("two choices");
        checkRespectsLimits<HotCold>("hot/cold");
        checkRespectsLimits<FreeRatioSample>("free ratio");
        checkRespectsLimits<FreeSlotFirst>("free slot first");
    }

    void prefersTargetWithFreeSlot()
    {
        FreeSlotFirst policy;
        // The first target uses less of its limit, but the request would wait there.
        const std::array views{makeView(4, 9, 4), makeView(3, 4, 4)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *policy.pick(views, m_random));
        const std::array times{makeView(1, 4, 4, 100), makeView(1, 4, 4, 10)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *policy.pick(times, m_random));
    }

    void tiesAreBrokenEvenly()
    {
        FreeSlotFirst policy;
        const std::array views{makeView(0, 4), makeView(0, 4), makeView(0, 4)};
        std::array<int, 3> counts{};
        for (int i = 0; i < 3000; ++i)
            ++counts[*policy.pick(views, m_random)];
        for (const int count : counts)
            CPPUNIT_ASSERT(count > 900 && count < 1100);
    }

    void slowTargetIsEjectedAndReadmitted()
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

    void shortStallOfFastServiceEjectsNoTarget()
    {
        TargetHealth health;
        const ServiceBaseline fast{Milliseconds(1), Share(0.0)};
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(!health.recordResponse(m_now, Milliseconds(15), false, fast));
    }

    void repeatedEjectionsLastLonger()
    {
        TargetHealth health;
        ejectBySlowness(health);
        m_now += Seconds(1);
        CPPUNIT_ASSERT(health.recordResponse(m_now, Milliseconds(10), true, m_baseline));
        CPPUNIT_ASSERT(health.state(m_now + Milliseconds(1900)) == HealthState::Ejected);
        CPPUNIT_ASSERT(health.state(m_now + Milliseconds(2000)) == HealthState::Probation);
    }

    void failuresOfAllTargetsEjectNone()
    {
        TargetHealth health;
        const ServiceBaseline failingService{Milliseconds(10), Share(0.9)};
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(!health.recordResponse(m_now, Milliseconds(1), true, failingService));
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
