#include <waxwing/coordination/epoch_lease.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class EpochLeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EpochLeaseTest);
    CPPUNIT_TEST(leaseCountsFromTheRenewal);
    CPPUNIT_TEST(withdrawnEpochStaysWithdrawn);
    CPPUNIT_TEST(olderEpochIsNotCovered);
    CPPUNIT_TEST(closedEpochAcknowledgesNothing);
    CPPUNIT_TEST(acknowledgementsEndSomeTimeAfterTheLease);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a lease that outlives control's own count of it.
    void leaseCountsFromTheRenewal()
    {
        EpochLease lease;
        lease.grantEpoch("s", 5);
        lease.renew(TimePoint(1000ms), 1000ms);
        CPPUNIT_ASSERT(lease.covers("s", 5, TimePoint(1949ms)));
        CPPUNIT_ASSERT(!lease.covers("s", 5, TimePoint(1950ms)));
        lease.renew(TimePoint(900ms), 1000ms);
        CPPUNIT_ASSERT(lease.covers("s", 5, TimePoint(1949ms)));
    }

    // Guards against a late grant that revives an epoch whose primary is being replaced.
    void withdrawnEpochStaysWithdrawn()
    {
        EpochLease lease;
        lease.renew(TimePoint(0ms), 1000ms);
        lease.grantEpoch("s", 5);
        lease.withdraw("s", 5);
        lease.grantEpoch("s", 5);
        CPPUNIT_ASSERT(!lease.covers("s", 5, TimePoint(1ms)));
        lease.grantEpoch("s", 6);
        CPPUNIT_ASSERT(lease.covers("s", 6, TimePoint(1ms)));
    }

    // Guards against a read from the primary of an earlier epoch under the lease of a later one.
    void olderEpochIsNotCovered()
    {
        EpochLease lease;
        lease.renew(TimePoint(0ms), 1000ms);
        lease.grantEpoch("s", 5);
        lease.grantEpoch("s", 7);
        lease.grantEpoch("s", 6);
        CPPUNIT_ASSERT(!lease.covers("s", 5, TimePoint(1ms)));
        CPPUNIT_ASSERT(!lease.covers("s", 6, TimePoint(1ms)));
        CPPUNIT_ASSERT(lease.covers("s", 7, TimePoint(1ms)));
        CPPUNIT_ASSERT(!lease.covers("t", 7, TimePoint(1ms)));
    }

    // Guards against a commit that is acknowledged after control compared the logs without it.
    void closedEpochAcknowledgesNothing()
    {
        EpochLease lease;
        lease.renew(TimePoint(0ms), 1000ms);
        lease.grantEpoch("s", 5);
        lease.withdraw("s", 5);
        CPPUNIT_ASSERT(lease.mayAcknowledge("s", 5, TimePoint(1ms)));
        lease.stopAcknowledging("s", 5);
        CPPUNIT_ASSERT(!lease.mayAcknowledge("s", 5, TimePoint(1ms)));
        CPPUNIT_ASSERT(!lease.mayAcknowledge("s", 4, TimePoint(1ms)));
        CPPUNIT_ASSERT(lease.mayAcknowledge("s", 6, TimePoint(1ms)));
    }

    // Guards against a proxy that control can't ask and that acknowledges commits for ever.
    void acknowledgementsEndSomeTimeAfterTheLease()
    {
        EpochLease lease;
        CPPUNIT_ASSERT(!lease.mayAcknowledge("s", 5, TimePoint(EpochLease::acknowledgementGrace)));
        lease.renew(TimePoint(0ms), 1000ms);
        lease.grantEpoch("s", 5);
        CPPUNIT_ASSERT(!lease.covers("s", 5, TimePoint(1000ms)));
        CPPUNIT_ASSERT(lease.mayAcknowledge("s", 5, TimePoint(1000ms)));
        CPPUNIT_ASSERT(!lease.mayAcknowledge("s", 5, TimePoint(950ms) + EpochLease::acknowledgementGrace));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EpochLeaseTest);
