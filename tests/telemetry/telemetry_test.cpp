#include "endivedock/telemetry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class TelemetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TelemetryTest);
    CPPUNIT_TEST(countsByLabel);
    CPPUNIT_TEST(estimatesQuantiles);
    CPPUNIT_TEST(writesThePrometheusFormat);
    CPPUNIT_TEST_SUITE_END();

public:
    void countsByLabel()
    {
        Metrics metrics;
        metrics.count("refusals", {{"reason", "a"}});
        metrics.count("refusals", {{"reason", "a"}}, 2);
        metrics.count("refusals", {{"reason", "b"}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, metrics.counter("refusals", {{"reason", "a"}}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, metrics.counter("refusals"));
    }

    void estimatesQuantiles()
    {
        Metrics metrics;
        // Uniform from 0 to 1 s but not ascending: 7919 and 10'000 have no common factor.
        for (int i = 0; i < 10'000; ++i)
            metrics.observe("seconds", {}, Microseconds((i * 7919) % 10'000 * 100));
        const DistributionSummary summary = metrics.distribution("seconds");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'000}, summary.count);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, summary.p50Seconds, 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.99, summary.p99Seconds, 0.01);
    }

    void writesThePrometheusFormat()
    {
        Metrics metrics;
        metrics.count("calls_total", {{"service", "a\"b"}});
        metrics.setGauge("depth", {}, 2);
        const std::string text = metrics.text();
        CPPUNIT_ASSERT(text.find("# TYPE calls_total counter\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("calls_total{service=\"a\\\"b\"} 1\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("depth 2\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TelemetryTest);
