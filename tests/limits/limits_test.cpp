#include "endivedock/limits.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class LimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitsTest);
    CPPUNIT_TEST(retriesStayWithinTheRatio);
    CPPUNIT_TEST(retryStormThroughTwelveServicesAddsTenPercentAtMost);
    CPPUNIT_TEST(queueServesByPriorityThenArrival);
    CPPUNIT_TEST(queueReturnsExpiredEntries);
    CPPUNIT_TEST(limitDropsOnShedsAndRecovers);
    CPPUNIT_TEST_SUITE_END();

public:
    void retriesStayWithinTheRatio()
    {
        RetryBudget budget(Share(0.1));
        int retries = 0;
        for (int i = 0; i < 20'000; ++i) {
            m_now += Milliseconds(1);
            budget.recordFirstAttempt(m_now);
            retries += budget.tryRetry(m_now) ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries <= 2000);
        CPPUNIT_ASSERT(retries >= 1900);
    }

    /**
     * In a chain of twelve services, each call fails, and each service retries within its budget.
     * The retries must not multiply along the chain.
     */
    void retryStormThroughTwelveServicesAddsTenPercentAtMost()
    {
        constexpr int depth = 12;
        std::vector<RetryBudget> budgets(depth, RetryBudget(Share(0.1)));
        std::vector<int> attemptsByService(depth, 0);
        constexpr int calls = 5000;
        for (int i = 0; i < calls; ++i) {
            m_now += Milliseconds(2);
            callService(budgets, attemptsByService, 0, false);
        }
        CPPUNIT_ASSERT_MESSAGE("the deepest service got " +
                                       std::to_string(attemptsByService.back()),
                               attemptsByService.back() <= calls * 11 / 10 + 1);
        CPPUNIT_ASSERT(attemptsByService.back() > calls);
    }

    void queueServesByPriorityThenArrival()
    {
        AdmissionQueue<int> queue;
        queue.add(1, 1, m_now, 3);
        queue.add(2, 1, m_now, 3);
        queue.add(3, 5, m_now, 3);
        CPPUNIT_ASSERT(!queue.add(4, 1, m_now, 3).ticket);
        const auto admission = queue.add(5, 5, m_now, 3);
        CPPUNIT_ASSERT_EQUAL(2, *admission.evicted);
        std::vector<int> order;
        queue.serve(1, [&order](int item) {
            order.push_back(item);
            return true;
        });
        CPPUNIT_ASSERT(order == (std::vector<int>{3, 5, 1}));
    }

    void queueReturnsExpiredEntries()
    {
        AdmissionQueue<int> queue;
        queue.add(1, 1, m_now + Seconds(2), 9);
        queue.add(2, 1, m_now + Seconds(1), 9);
        CPPUNIT_ASSERT(!queue.takeExpired(m_now));
        CPPUNIT_ASSERT_EQUAL(2, *queue.takeExpired(m_now + Seconds(1)));
        CPPUNIT_ASSERT(!queue.takeExpired(m_now + Seconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.size());
    }

    void limitDropsOnShedsAndRecovers()
    {
        AdaptiveLimit limit(Slots(8));
        limit.recordShed(Slots(8));
        CPPUNIT_ASSERT_EQUAL(5, limit.limit().value());
        for (int i = 0; i < 1000; ++i)
            limit.recordResponse();
        CPPUNIT_ASSERT_EQUAL(8, limit.limit().value());
        for (int i = 0; i < 50; ++i)
            limit.recordShed(Slots(1));
        CPPUNIT_ASSERT_EQUAL(1, limit.limit().value());
    }

private:
    void callService(std::vector<RetryBudget> &budgets, std::vector<int> &attemptsByService,
                     std::size_t level, bool isPartOfRetry)
    {
        if (level == budgets.size())
            return;
        for (int attempt = 0; attempt < 3; ++attempt) {
            const bool isRetry = isPartOfRetry || attempt > 0;
            if (!isRetry)
                budgets[level].recordFirstAttempt(m_now);
            else if (!budgets[level].tryRetry(m_now))
                return;
            ++attemptsByService[level];
            callService(budgets, attemptsByService, level + 1, isRetry);
        }
    }

    TimePoint m_now{Seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);
