#include <waxwing/sessions/interruption.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class InterruptionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InterruptionTest);
    CPPUNIT_TEST(longInterruptionIsExpectedToGoOn);
    CPPUNIT_TEST(usualDurationFollowsPastInterruptions);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against expecting the end at any moment of an interruption that already exceeds the usual duration many times.
    void longInterruptionIsExpectedToGoOn()
    {
        Interruption interruption(1s);
        interruption.begin(TimePoint(10s));
        interruption.begin(TimePoint(11s));
        CPPUNIT_ASSERT(interruption.expectedRest(TimePoint(10s)) == 1s);
        CPPUNIT_ASSERT(interruption.expectedRest(TimePoint(10'400ms)) == 600ms);
        CPPUNIT_ASSERT(interruption.expectedRest(TimePoint(20s)) == 5s);
    }

    // Guards against advice that ignores how long interruptions last here, and against a single outage of minutes that makes all later
    // callers stay away.
    void usualDurationFollowsPastInterruptions()
    {
        Interruption interruption(1s);
        for (int i = 0; i < 40; ++i) {
            interruption.begin(TimePoint(10s));
            interruption.end(TimePoint(10'400ms));
        }
        CPPUNIT_ASSERT(interruption.expectedRest(TimePoint(20s)) < 450ms);
        interruption.begin(TimePoint(20s));
        interruption.end(TimePoint(200s));
        CPPUNIT_ASSERT(interruption.expectedRest(TimePoint(200s)) < 1'100ms);
        interruption.begin(TimePoint(300s));
        interruption.cancel();
        CPPUNIT_ASSERT(!interruption.isGoingOn());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterruptionTest);
