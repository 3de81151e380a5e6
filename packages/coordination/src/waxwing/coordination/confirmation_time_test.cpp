#include <waxwing/coordination/confirmation_time.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class ConfirmationTimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfirmationTimeTest);
    CPPUNIT_TEST(estimateCoversAlmostAllWrites);
    CPPUNIT_TEST(oldEstimateLeavesHalfOfTheTime);
    CPPUNIT_TEST(writeThatCannotBeConfirmedIsOverdue);
    CPPUNIT_TEST(onlyTheLatestWritesCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against writes that run although their confirmation will miss the deadline.
    void estimateCoversAlmostAllWrites()
    {
        ConfirmationTime confirmation;
        for (int i = 1; i <= 20; ++i) {
            confirmation.observe(std::chrono::milliseconds(10 * i), TimePoint {});
        }
        CPPUNIT_ASSERT(confirmation.estimate() == 200ms);
        const TimePoint now {};
        CPPUNIT_ASSERT(confirmation.runBy(now + 1s, now) == now + 800ms);
    }

    // Guards against a high estimate that refuses all writes, so that no write can correct it.
    void oldEstimateLeavesHalfOfTheTime()
    {
        ConfirmationTime confirmation;
        confirmation.observe(60s, TimePoint {});
        const auto now = TimePoint {} + 3s;
        CPPUNIT_ASSERT(confirmation.runBy(now + 1s, now) == now + 500ms);
        CPPUNIT_ASSERT(confirmation.runBy(now, now + 1s) == now);
    }

    // Guards against a retry shortly before its deadline, whose confirmation would miss it.
    void writeThatCannotBeConfirmedIsOverdue()
    {
        ConfirmationTime confirmation;
        confirmation.observe(200ms, TimePoint {});
        const auto now = TimePoint {} + 1s;
        CPPUNIT_ASSERT(confirmation.runBy(now + 155ms, now) < now);
    }

    // Guards against an estimate that stays high after lagging replicas have caught up.
    void onlyTheLatestWritesCount()
    {
        ConfirmationTime confirmation;
        confirmation.observe(60s, TimePoint {});
        for (int i = 0; i < 64; ++i) {
            confirmation.observe(5ms, TimePoint {});
        }
        CPPUNIT_ASSERT(confirmation.estimate() == 5ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfirmationTimeTest);
