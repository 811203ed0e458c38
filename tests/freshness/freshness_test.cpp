#include "endivedock/freshness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

namespace {

constexpr Milliseconds bound{5000};
constexpr BootTime start{Seconds(1000)};

BootTime at(std::int64_t milliseconds)
{
    return start + Milliseconds(milliseconds);
}

FreshnessEvidence evidence(std::int64_t configuration, std::int64_t asOf)
{
    return {ConfigurationVersion(configuration), at(asOf)};
}

/** A host that has applied a configuration and knows that it is the newest one. */
ConfigurationFreshness freshHost(std::int64_t configuration, std::int64_t asOf)
{
    ConfigurationFreshness result(bound);
    result.setAppliedConfiguration(ConfigurationVersion(configuration));
    result.recordEvidence(evidence(configuration, asOf));
    return result;
}

} // namespace

class FreshnessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FreshnessTest);
    CPPUNIT_TEST(aHostCutOffRefusesBeforeTheBound);
    CPPUNIT_TEST(aRestartedHostRefusesUntilItHasNews);
    CPPUNIT_TEST(withoutABoundNothingIsRefused);
    CPPUNIT_TEST(onlyTheEndOfAFullWaitIsCertain);
    CPPUNIT_TEST(slowStoreAnswersCountFromTheirSending);
    CPPUNIT_TEST(evidenceCountsOnceItsConfigurationIsApplied);
    CPPUNIT_TEST(twoChangesInARow);
    CPPUNIT_TEST(anOlderCopyIsNoNews);
    CPPUNIT_TEST(manyUnknownConfigurationsStayBounded);
    CPPUNIT_TEST(agesOfPeersAddUp);
    CPPUNIT_TEST(hostsThatAreCutOffTogetherAllBecomeStale);
    CPPUNIT_TEST(anAnswerThatWaitedDuringAFreezeIsNotFresh);
    CPPUNIT_TEST(ageCountsFromTheQuestionThatIsAnswered);
    CPPUNIT_TEST(answersToNoQuestionProveNothing);
    CPPUNIT_TEST(questionsAreFewWhileEvidenceIsYoung);
    CPPUNIT_TEST(changesAreReportedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void aHostCutOffRefusesBeforeTheBound()
    {
        const ConfigurationFreshness host = freshHost(5, 0);
        CPPUNIT_ASSERT(!host.isStale(at(4499)));
        CPPUNIT_ASSERT(host.isStale(at(4500)));
        CPPUNIT_ASSERT(host.isStale(at(4499) + std::chrono::nanoseconds(1)));
    }

    void aRestartedHostRefusesUntilItHasNews()
    {
        ConfigurationFreshness host(bound);
        CPPUNIT_ASSERT(host.isStale(at(0)));
        host.setAppliedConfiguration(
                ConfigurationVersion(5)); // A copy from another host or a seed.
        CPPUNIT_ASSERT(host.isStale(at(0)));
        CPPUNIT_ASSERT(!host.age(at(0)));
        host.recordEvidence(evidence(5, 10));
        CPPUNIT_ASSERT(!host.isStale(at(10)));
    }

    void withoutABoundNothingIsRefused()
    {
        ConfigurationFreshness host({});
        CPPUNIT_ASSERT(!host.isBounded());
        CPPUNIT_ASSERT(!host.isStale(at(0)));
        CPPUNIT_ASSERT(host.update(at(100'000)) != FreshnessChange::BecameStale);
    }

    void onlyTheEndOfAFullWaitIsCertain()
    {
        const Milliseconds wait{4000};
        CPPUNIT_ASSERT(storeAnswerAsOf(at(0), wait, at(4010)) == at(4000));
        CPPUNIT_ASSERT(storeAnswerAsOf(at(0), wait, at(3999)) == at(0));
        CPPUNIT_ASSERT(storeAnswerAsOf(at(0), wait, at(60'000)) == at(4000)); // A frozen host.
        CPPUNIT_ASSERT(storeAnswerAsOf(at(0), Milliseconds(0), at(900)) == at(0));
    }

    void slowStoreAnswersCountFromTheirSending()
    {
        for (const std::int64_t delay : {52, 1000, 4000}) {
            ConfigurationFreshness host(bound);
            host.setAppliedConfiguration(ConfigurationVersion(5));
            host.recordEvidence(
                    {ConfigurationVersion(5), storeAnswerAsOf(at(0), Milliseconds(0), at(delay))});
            CPPUNIT_ASSERT(host.age(at(delay)) == Milliseconds(delay));
            CPPUNIT_ASSERT(!host.isStale(at(delay)));
            CPPUNIT_ASSERT(host.isStale(at(4500)));
        }
    }

    void evidenceCountsOnceItsConfigurationIsApplied()
    {
        ConfigurationFreshness host = freshHost(5, 0);
        host.recordEvidence(evidence(7, 4000)); // A newer configuration exists, and is not here.
        CPPUNIT_ASSERT(host.isStale(at(4500)));
        host.setAppliedConfiguration(ConfigurationVersion(7));
        CPPUNIT_ASSERT(!host.isStale(at(4500)));
        CPPUNIT_ASSERT(host.isStale(at(8500)));
    }

    void twoChangesInARow()
    {
        ConfigurationFreshness host = freshHost(5, 0);
        host.recordEvidence(evidence(7, 3000));
        host.recordEvidence(evidence(6, 2000));
        host.setAppliedConfiguration(ConfigurationVersion(6));
        CPPUNIT_ASSERT(host.age(at(3000)) == Milliseconds(1000));
        host.setAppliedConfiguration(ConfigurationVersion(7));
        CPPUNIT_ASSERT(host.age(at(3000)) == Milliseconds(0));
    }

    void anOlderCopyIsNoNews()
    {
        ConfigurationFreshness host = freshHost(7, 3000);
        host.recordEvidence(evidence(5, 1000));
        host.setAppliedConfiguration(ConfigurationVersion(5));
        CPPUNIT_ASSERT(host.appliedConfiguration() == ConfigurationVersion(7));
        CPPUNIT_ASSERT(host.age(at(3000)) == Milliseconds(0));
        // That 5 was the newest at 3,500 shows that 7 was, too, since 7 is newer.
        host.recordEvidence(evidence(5, 3500));
        CPPUNIT_ASSERT(host.age(at(3500)) == Milliseconds(0));
    }

    void manyUnknownConfigurationsStayBounded()
    {
        ConfigurationFreshness host = freshHost(1, 0);
        for (std::int64_t i = 2; i < 100; ++i)
            host.recordEvidence(evidence(i, i * 10));
        host.setAppliedConfiguration(ConfigurationVersion(2));
        CPPUNIT_ASSERT(host.age(at(1000)) == Milliseconds(980));
        host.setAppliedConfiguration(ConfigurationVersion(99));
        CPPUNIT_ASSERT(host.age(at(1000)) == Milliseconds(910)); // That of revision 9.
    }

    void agesOfPeersAddUp()
    {
        ConfigurationFreshness reader = freshHost(5, 0);
        ConfigurationFreshness second = ask(reader, 1000, 1100);
        CPPUNIT_ASSERT(second.age(at(1100)) == Milliseconds(1200)); // Answered at 1,100.
        ConfigurationFreshness third = ask(second, 2000, 2050);
        CPPUNIT_ASSERT(third.age(at(2050)) == Milliseconds(2200));
        CPPUNIT_ASSERT(third.isStale(at(4350)));
    }

    void hostsThatAreCutOffTogetherAllBecomeStale()
    {
        std::vector<ConfigurationFreshness> hosts{freshHost(5, 0), freshHost(5, -300),
                                                  freshHost(5, -900)};
        for (std::int64_t time = 0; time < 4500; time += 50) {
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                FreshnessInquiry inquiry(hosts[i].staleAge(), m_random);
                const auto question = inquiry.dueQuestion({}, at(time));
                const auto answer = FreshnessInquiry::answer(
                        *question, hosts[(i + 1) % hosts.size()], at(time + 2));
                if (answer)
                    hosts[i].recordEvidence(*inquiry.evaluate(*answer));
            }
        }
        for (const auto &host : hosts)
            CPPUNIT_ASSERT(host.isStale(at(4500)));
    }

    void anAnswerThatWaitedDuringAFreezeIsNotFresh()
    {
        const ConfigurationFreshness reader = freshHost(5, 0);
        ConfigurationFreshness host = freshHost(5, 0);
        FreshnessInquiry inquiry(host.staleAge(), m_random);
        const auto question = inquiry.dueQuestion({}, at(10));
        const auto answer = FreshnessInquiry::answer(*question, reader, at(12));
        // The host is frozen from 11 to 9,000, and then reads the answer.
        host.recordEvidence(*inquiry.evaluate(*answer));
        CPPUNIT_ASSERT(host.isStale(at(9000)));
        inquiry.dueQuestion(host.age(at(9000)), at(9000));
        CPPUNIT_ASSERT(!inquiry.evaluate(*answer));
    }

    void ageCountsFromTheQuestionThatIsAnswered()
    {
        const ConfigurationFreshness reader = freshHost(5, 0);
        FreshnessInquiry inquiry(reader.staleAge(), m_random);
        const auto question = inquiry.dueQuestion({}, at(100));
        CPPUNIT_ASSERT(inquiry.dueQuestion({}, at(1000)));
        const auto answer = FreshnessInquiry::answer(*question, reader, at(200));
        CPPUNIT_ASSERT(inquiry.evaluate(*answer)->asOf == at(-100)); // Asked at 100, of age 200.
    }

    void answersToNoQuestionProveNothing()
    {
        FreshnessInquiry inquiry(Milliseconds(4500), m_random);
        const auto question = inquiry.dueQuestion({}, at(0));
        CPPUNIT_ASSERT(!inquiry.evaluate({FreshnessQuestionId(question->id.value() + 1),
                                          ConfigurationVersion(5), Milliseconds(0)}));
        CPPUNIT_ASSERT(
                !inquiry.evaluate({question->id, ConfigurationVersion(5), Milliseconds(-1)}));
        CPPUNIT_ASSERT(
                !inquiry.evaluate({question->id, ConfigurationVersion(5), Milliseconds(4500)}));
        const ConfigurationFreshness unknowing(bound);
        CPPUNIT_ASSERT(!FreshnessInquiry::answer(*question, unknowing, at(1)));
        CPPUNIT_ASSERT(!FreshnessInquiry::answer(*question, freshHost(5, 0), at(4500)));
    }

    void questionsAreFewWhileEvidenceIsYoung()
    {
        FreshnessInquiry inquiry(Milliseconds(4500), m_random);
        int questions = 0;
        for (std::int64_t time = 0; time < 10'000; time += 25) {
            if (inquiry.dueQuestion(Milliseconds(time % 1000), at(time)))
                ++questions;
        }
        CPPUNIT_ASSERT(questions <= 10);
        questions = 0;
        for (std::int64_t time = 0; time < 10'000; time += 25) {
            if (inquiry.dueQuestion({}, at(20'000 + time)))
                ++questions;
        }
        CPPUNIT_ASSERT(questions >= 20 && questions <= 23);
        CPPUNIT_ASSERT(!inquiry.asksAnyHost(Milliseconds(1000)));
        CPPUNIT_ASSERT(inquiry.asksAnyHost(Milliseconds(2500)));
        CPPUNIT_ASSERT(inquiry.asksAnyHost({}));
    }

    void changesAreReportedOnce()
    {
        ConfigurationFreshness host = freshHost(5, 0);
        CPPUNIT_ASSERT(host.update(at(0)) == FreshnessChange::BecameFresh);
        CPPUNIT_ASSERT(host.update(at(100)) == FreshnessChange::None);
        CPPUNIT_ASSERT(host.update(at(4600)) == FreshnessChange::BecameStale);
        CPPUNIT_ASSERT(host.update(at(4700)) == FreshnessChange::None);
        host.recordEvidence(evidence(5, 4700));
        CPPUNIT_ASSERT(host.update(at(4700)) == FreshnessChange::BecameFresh);
    }

private:
    /** @return a host with the same configuration that asked @p giver, which answered later */
    ConfigurationFreshness ask(const ConfigurationFreshness &giver, std::int64_t sentAt,
                               std::int64_t answeredAt)
    {
        ConfigurationFreshness result(bound);
        result.setAppliedConfiguration(giver.appliedConfiguration());
        FreshnessInquiry inquiry(result.staleAge(), m_random);
        const auto question = inquiry.dueQuestion({}, at(sentAt));
        const auto answer = FreshnessInquiry::answer(*question, giver, at(answeredAt));
        result.recordEvidence(*inquiry.evaluate(*answer));
        return result;
    }

    Random m_random{42};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreshnessTest);
