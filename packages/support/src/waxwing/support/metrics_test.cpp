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
    CPPUNIT_TEST(onlyUtf8IsRecognizedAsSuch);
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

    // Guards against messages that their receiver can't parse, and against refusing names that it can.
    void onlyUtf8IsRecognizedAsSuch()
    {
        for (const std::string text :
             {"", "a", "\x7f", "\xc2\x80", "\xdf\xbf", "\xe0\xa0\x80", "\xed\x9f\xbf", "\xee\x80\x80", "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf"}) {
            CPPUNIT_ASSERT_MESSAGE(text, isUtf8("a" + text + "b"));
        }
        for (const std::string text : {"\x80", "\xbf", "\xc0\x80", "\xc1\xbf", "\xc3", "\xe0\x9f\xbf", "\xed\xa0\x80", "\xed\xbf\xbf", "\xef\xbf",
                                       "\xf0\x8f\xbf\xbf", "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "\xff"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !isUtf8("a" + text));
            CPPUNIT_ASSERT_MESSAGE(text, !isUtf8("a" + text + "b"));
        }
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
