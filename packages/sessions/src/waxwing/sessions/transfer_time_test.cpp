#include <waxwing/sessions/transfer_time.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class TransferTimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TransferTimeTest);
    CPPUNIT_TEST(boundFollowsTheMeasuredTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an estimate that stays at the assumed distance while messages wait on a congested link, or that takes time away
    // from statements long after the congestion.
    void boundFollowsTheMeasuredTimes()
    {
        TransferTime transfer(5ms);
        CPPUNIT_ASSERT(transfer.upperBound() < 30ms);
        transfer.add(200ms);
        CPPUNIT_ASSERT(transfer.upperBound() >= 400ms);
        for (int i = 0; i < 100; ++i) {
            transfer.add(5ms);
        }
        CPPUNIT_ASSERT(transfer.upperBound() < 30ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransferTimeTest);
