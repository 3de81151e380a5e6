#include <waxwing/support/settings.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(unknownKeyIsRefusedWithFileAndLine);
    CPPUNIT_TEST(wrongTypeAndRangeAreBothReported);
    CPPUNIT_TEST(durationsMayHaveAFraction);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a misspelt key that is silently ignored.
    void unknownKeyIsRefusedWithFileAndLine()
    {
        auto settings = Settings::parse("[proxy]\nlisten = \"127.0.0.1:1\"\nlisen = 1\n", "test.toml");
        settings.text("proxy.listen");
        settings.refuseUnknownKeys();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), settings.errors().size());
        CPPUNIT_ASSERT_EQUAL(std::string("test.toml:3:9: proxy.lisen: unknown key"), settings.errors().front());
    }

    // Guards against stopping at the first problem, which makes operators fix a file one line at a time.
    void wrongTypeAndRangeAreBothReported()
    {
        auto settings = Settings::parse("a = 5\nb = \"x\"\n", "test.toml");
        settings.integer("a", {.low = 10, .high = 20, .fallback = 10});
        settings.integer("b", {.low = 10, .high = 20, .fallback = 10});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), settings.errors().size());
    }

    // Guards against a process that does not start because a deployment states a bound with a fraction.
    void durationsMayHaveAFraction()
    {
        auto settings = Settings::parse("stop_s = 4.5\nstop_ms = 250.5\nlong_s = 3\n", "test.toml");
        CPPUNIT_ASSERT(settings.seconds("stop_s", {.low = 1, .high = 10, .fallback = 6}) == Duration(4'500ms));
        CPPUNIT_ASSERT(settings.milliseconds("stop_ms", {.low = 1, .high = 1'000, .fallback = 6}) == Duration(250'500us));
        CPPUNIT_ASSERT(settings.seconds("long_s", {.low = 1, .high = 2, .fallback = 2}) == Duration(2s));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), settings.errors().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
