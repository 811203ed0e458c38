#include "mixed_load.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using namespace endivedock::test;

namespace {

const RequestClass longClass{RouteKey(1), ProfileKey(1)};
const RequestClass shortClass{RouteKey(2), ProfileKey(2)};

/** Long reads and urgent short reads at one service, in their normal proportion. */
MixedLoad makeReads(double factor = 1)
{
    MixedLoad load;
    load.kinds.push_back(
            {longClass, 44 * factor, Milliseconds(220), Milliseconds(600), Milliseconds(1500), -2});
    load.kinds.push_back(
            {shortClass, 27 * factor, Milliseconds(36), Milliseconds(120), Milliseconds(400), -1});
    return load;
}

} // namespace

class MixedLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MixedLoadTest);
    CPPUNIT_TEST(shortRequestsAreNotJudgedByLongOnes);
    CPPUNIT_TEST(oneTeamDoesNotTakeTheRoomOfAnother);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Load pattern: routes of 220 ms and of 36 ms at one service whose targets are mostly idle. The
     * short ones were refused as if they took as long as the mean, with targets free.
     */
    void shortRequestsAreNotJudgedByLongOnes()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            const auto results = simulate(makeReads(), seed);
            CPPUNIT_ASSERT_MESSAGE(results[1].text(), results[1].refused == 0);
            CPPUNIT_ASSERT_MESSAGE(results[1].text(), results[1].shareWithinObjective() >= 0.9);
            CPPUNIT_ASSERT_MESSAGE(results[0].text(), results[0].shareWithinObjective() >= 0.9);
        }
    }

    /**
     * Load pattern: one team sends three times what the targets can do, beside a team that needs a
     * fifth of them. The smaller team is served as if it were alone, but for what nearly full
     * targets cost.
     */
    void oneTeamDoesNotTakeTheRoomOfAnother()
    {
        const RequestKindLoad small{longClass,          90, Milliseconds(100), Milliseconds(400),
                                    Milliseconds(1500), 1,  TeamHash(1)};
        RequestKindLoad loud = small;
        loud.team = TeamHash(2);
        loud.perSecond = 1500;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            MixedLoad load;
            load.kinds = {small};
            const KindResult alone = simulate(load, seed).front();
            load.kinds = {small, loud};
            const auto results = simulate(load, seed);
            CPPUNIT_ASSERT_MESSAGE(results[0].text() + "; alone " + alone.text(),
                                   results[0].shareWithinObjective() >=
                                           alone.shareWithinObjective() - 0.1);
            const int served = results[1].withinObjective + results[1].late;
            CPPUNIT_ASSERT_MESSAGE(results[1].text(), served >= results[1].requested / 8);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MixedLoadTest);
