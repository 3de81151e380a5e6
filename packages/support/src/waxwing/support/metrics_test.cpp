#include <waxwing/support/counter.h>
#include <waxwing/support/identifier.h>
#include <waxwing/support/metrics.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class MetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(expositionListsLabelledCounters);
    CPPUNIT_TEST(labelValuesAreEscaped);
    CPPUNIT_TEST(uuidCarriesItsTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two label values that share one counter.
    void expositionListsLabelledCounters()
    {
        Metrics metrics;
        metrics.counter("waxwing_refusals_total", "reason", "queue-full").add(2);
        metrics.counter("waxwing_refusals_total", "reason", "no-owner").add();
        const auto text = metrics.exposition();
        CPPUNIT_ASSERT(text.find("waxwing_refusals_total{reason=\"queue-full\"} 2\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("waxwing_refusals_total{reason=\"no-owner\"} 1\n") != std::string::npos);
    }

    // Guards against a name from outside that ends its label or its line, so that the whole exposition can't be read or shows
    // a metric that nobody counted.
    void labelValuesAreEscaped()
    {
        Metrics metrics;
        metrics.gauge("waxwing_queue_length", "group", "a\"} 1\nb\\").set(2);
        metrics.summary("waxwing_seconds", "kind", "\"");
        const auto text = metrics.exposition();
        CPPUNIT_ASSERT_MESSAGE(text, text.find("waxwing_queue_length{group=\"a\\\"} 1\\nb\\\\\"} 2\n") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, text.find("waxwing_seconds_count{kind=\"\\\"\"} 0\n") != std::string::npos);
    }

    // Guards against idempotency keys whose age is read wrongly, which would refuse fresh keys or accept expired ones.
    void uuidCarriesItsTime()
    {
        const std::uint64_t time = 1'764'800'000'123;
        CPPUNIT_ASSERT_EQUAL(time, uuid7Time(makeUuid7(time)).value());
        CPPUNIT_ASSERT(!uuid7Time("not a uuid").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);
