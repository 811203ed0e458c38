#include "endivedock/rollout.h"

#include "../support.h"

#include <cmath>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::soakNumber;

namespace {

constexpr Seconds deadline{120};
constexpr Milliseconds between{5};

/** How a new version goes wrong, if it does. */
struct Version
{
    double failing = 0;
    double slowness = 1;
    /** Part of the move's time after which the fault begins. */
    double from = 0;
    /** Share of the new version from which on the fault shows. */
    double underShare = 0;
    /** The only route with the fault; -1 for all. */
    int route = -1;
};

struct MoveResult
{
    RolloutProgress progress;
    Duration took{};
    /** Part of all calls that a fault harmed. */
    double harmed = 0;
    /** Calls harmed after the verdict. */
    int harmedAfter = 0;
};

/** Runs one move under steady load on four routes of different weight and time. */
MoveResult runMove(std::uint64_t seed, const Version &fault)
{
    Random random(seed);
    const TimePoint start{Seconds(1000)};
    RolloutController mover({seed, RolloutPhase::Canary, 0, RollbackCause::None},
                            {start, start + deadline});
    MoveResult result;
    int calls = 0;
    int harmed = 0;
    TimePoint endedAt{};
    for (TimePoint now = start; now < start + deadline + Seconds(2); now += between) {
        mover.tick(now);
        if (mover.hasEnded() && endedAt == TimePoint{})
            endedAt = now;
        const bool fresh = drawUnitInterval(random) < mover.share().value();
        const double draw = drawUnitInterval(random);
        const int route = draw < 0.6 ? 0 : draw < 0.85 ? 1 : draw < 0.95 ? 2 : 3;
        const double part = std::chrono::duration<double>(now - start) /
                            std::chrono::duration<double>(deadline);
        const bool shows = fresh && part >= fault.from &&
                           mover.share().value() >= fault.underShare &&
                           (fault.route < 0 || fault.route == route);
        const bool fails = drawUnitInterval(random) < (shows ? fault.failing : 0.005);
        double millis = -std::log(1 - drawUnitInterval(random)) * 10.0 * (1 + route);
        if (shows)
            millis *= fault.slowness;
        ++calls;
        const bool harm = shows && (fails || fault.slowness > 1);
        harmed += harm ? 1 : 0;
        result.harmedAfter += harm && endedAt != TimePoint{} ? 1 : 0;
        mover.recordResponse(fresh ? VersionRole::New : VersionRole::Old, RouteIndex(route), fails,
                             Microseconds(static_cast<std::int64_t>(millis * 1000)), now);
    }
    result.progress = mover.progress();
    result.took = endedAt - start;
    result.harmed = static_cast<double>(harmed) / calls;
    return result;
}

} // namespace

class RolloutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutTest);
    CPPUNIT_TEST(goodVersionsFinishInTime);
    CPPUNIT_TEST(failingVersionIsTakenBack);
    CPPUNIT_TEST(slowVersionIsTakenBack);
    CPPUNIT_TEST(faultOnOneRouteIsFound);
    CPPUNIT_TEST(lateFaultIsFound);
    CPPUNIT_TEST(faultUnderLoadIsFound);
    CPPUNIT_TEST(deadlineTakesBackWhatHasNoEvidence);
    CPPUNIT_TEST(takenBackNeverTurnsIntoDone);
    CPPUNIT_TEST(mergesLikeALattice);
    CPPUNIT_TEST_SUITE_END();

public:
    void goodVersionsFinishInTime()
    {
        const std::uint64_t moves = soakNumber("SOAK_MOVES", 200);
        std::uint64_t takenBack = 0;
        for (std::uint64_t seed = 1; seed <= moves; ++seed) {
            const MoveResult result = runMove(seed, Version{.failing = 0.005});
            if (result.progress.phase != RolloutPhase::Done)
                ++takenBack;
            CPPUNIT_ASSERT(result.took <= deadline);
        }
        // At most one good version in a hundred may be taken back.
        CPPUNIT_ASSERT_MESSAGE("taken back " + std::to_string(takenBack), takenBack * 100 <= moves);
    }

    void failingVersionIsTakenBack()
    {
        expectTakenBack(Version{.failing = 1.0}, 0.005);
        expectTakenBack(Version{.failing = 0.3}, 0.005);
    }

    void slowVersionIsTakenBack()
    {
        expectTakenBack(Version{.failing = 0.005, .slowness = 8}, 0.01);
    }

    void faultOnOneRouteIsFound() { expectTakenBack(Version{.failing = 0.5, .route = 2}, 0.01); }

    void lateFaultIsFound() { expectTakenBack(Version{.failing = 0.5, .from = 0.4}, 0.05); }

    void faultUnderLoadIsFound()
    {
        expectTakenBack(Version{.failing = 0.4, .underShare = 0.25}, 0.02);
    }

    void deadlineTakesBackWhatHasNoEvidence()
    {
        RolloutController mover(RolloutProgress{1, RolloutPhase::Canary, 0, RollbackCause::None},
                                {m_start, m_start + deadline});
        CPPUNIT_ASSERT(!mover.tick(m_start + deadline - Milliseconds(1)));
        CPPUNIT_ASSERT(mover.tick(m_start + deadline));
        CPPUNIT_ASSERT(mover.progress().phase == RolloutPhase::RolledBack);
        CPPUNIT_ASSERT(mover.progress().cause == RollbackCause::Deadline);
        CPPUNIT_ASSERT_EQUAL(0.0, mover.share().value());
    }

    void takenBackNeverTurnsIntoDone()
    {
        RolloutController mover(RolloutProgress{1, RolloutPhase::Canary, 0, RollbackCause::None},
                                {m_start, m_start + deadline});
        mover.rollBack();
        mover.merge({1, RolloutPhase::Done, 5, RollbackCause::None});
        for (int i = 0; i < 10'000; ++i)
            mover.recordResponse(VersionRole::New, RouteIndex(0), false, Microseconds(1000),
                                 m_start + Milliseconds(i));
        CPPUNIT_ASSERT(mover.progress().phase == RolloutPhase::RolledBack);
        CPPUNIT_ASSERT(mover.progress().cause == RollbackCause::Operator);
    }

    void mergesLikeALattice()
    {
        std::vector<RolloutProgress> all;
        for (int phase = 0; phase < 5; ++phase) {
            for (int step = 0; step < 6; ++step)
                all.push_back({1, static_cast<RolloutPhase>(phase), step, RollbackCause::None});
        }
        for (const auto &a : all) {
            CPPUNIT_ASSERT(mergeProgress(a, a) == a);
            for (const auto &b : all) {
                CPPUNIT_ASSERT(mergeProgress(a, b) == mergeProgress(b, a));
                for (const auto &c : all)
                    CPPUNIT_ASSERT(mergeProgress(mergeProgress(a, b), c) ==
                                   mergeProgress(a, mergeProgress(b, c)));
            }
        }
    }

private:
    /** @param harmedAtMost  part of all calls that the bad version may harm */
    void expectTakenBack(const Version &version, double harmedAtMost)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            const MoveResult result = runMove(seed, version);
            const std::string about = "seed " + std::to_string(seed) + " harmed " +
                                      std::to_string(result.harmed) + " phase " +
                                      std::string(name(result.progress.phase));
            CPPUNIT_ASSERT_MESSAGE(about, result.progress.phase == RolloutPhase::RolledBack);
            CPPUNIT_ASSERT_MESSAGE(about, result.harmed <= harmedAtMost);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(about, 0, result.harmedAfter);
        }
    }

    TimePoint m_start{Seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);
