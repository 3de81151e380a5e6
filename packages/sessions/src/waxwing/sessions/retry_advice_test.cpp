#include <waxwing/sessions/retry_advice.h>
#include <waxwing/sessions/session_job.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace waxwing;

class RetryAdviceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryAdviceTest);
    CPPUNIT_TEST(callersReturnSpreadAndByPriority);
    CPPUNIT_TEST(longHeldCallersReturnEarlier);
    CPPUNIT_TEST(adviceIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refused callers that all return at the same moment, before the cause has ended, or ahead of a higher priority.
    void callersReturnSpreadAndByPriority()
    {
        RetryAdvice advice(seed);
        std::set<Duration> high;
        std::set<Duration> low;
        for (int i = 0; i < 100; ++i) {
            high.insert(advice.after(800ms, job(0), TimePoint(10s)));
            low.insert(advice.after(800ms, job(2), TimePoint(10s)));
        }
        CPPUNIT_ASSERT(high.size() > 50 && low.size() > 50);
        CPPUNIT_ASSERT(*high.begin() >= 800ms);
        CPPUNIT_ASSERT(*high.rbegin() <= *low.begin());
        CPPUNIT_ASSERT(*low.rbegin() <= 1'200ms);
    }

    // Guards against callers that were held returning behind those that were refused at once.
    void longHeldCallersReturnEarlier()
    {
        RetryAdvice advice(seed);
        Duration heldSum {};
        Duration freshSum {};
        for (int i = 0; i < 100; ++i) {
            heldSum += advice.after(800ms, job(1), TimePoint(11s));
            freshSum += advice.after(800ms, job(1), TimePoint(10s));
        }
        CPPUNIT_ASSERT(heldSum < freshSum);
    }

    // Guards against advice to return at once, which makes refused callers a load of their own, and to stay away for minutes.
    void adviceIsBounded()
    {
        RetryAdvice advice(seed);
        CPPUNIT_ASSERT(advice.after(Duration::zero(), job(0), TimePoint(10s)) >= RetryAdvice::minExpected);
        CPPUNIT_ASSERT(advice.after(10min, job(9), TimePoint(20s)) <= RetryAdvice::maxExpected * 3 / 2);
    }

private:
    static constexpr std::uint64_t seed = 7;

    static SessionJob job(int priority)
    {
        SessionJob job;
        job.route.priority = priority;
        job.receivedAt = TimePoint(10s);
        job.deadline = TimePoint(11s);
        return job;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAdviceTest);
