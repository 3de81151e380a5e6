#include <waxwing/coordination/epoch_lease.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class EpochLeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EpochLeaseTest);
    CPPUNIT_TEST(leaseRunsFromTheRenewal);
    CPPUNIT_TEST(withdrawnEpochStaysWithdrawn);
    CPPUNIT_TEST(olderEpochIsNotCovered);
    CPPUNIT_TEST(stoppedEpochAcknowledgesNothing);
    CPPUNIT_TEST(acknowledgementsEndSomeTimeAfterTheLease);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two primaries at a time: the lease of a proxy lasts longer than control expects.
    void leaseRunsFromTheRenewal()
    {
        EpochLease lease;
        lease.grantEpoch("s", 5);
        lease.renew(TimePoint(1000ms), 1000ms);
        CPPUNIT_ASSERT(lease.covers("s", 5, TimePoint(1949ms)));
        CPPUNIT_ASSERT(!lease.covers("s", 5, TimePoint(1950ms)));
        lease.renew(TimePoint(900ms), 1000ms);
        CPPUNIT_ASSERT(lease.covers("s", 5, TimePoint(1949ms)));
    }

    // Guards against stale reads: a grant that arrives late restores an epoch whose primary is being replaced.
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

    // Guards against stale reads from the primary of an earlier epoch while the lease covers a later one.
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

    // Guards against lost commits: a proxy acknowledges a commit after control has chosen the next primary without it.
    void stoppedEpochAcknowledgesNothing()
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

    // Guards against lost commits: a proxy that control can't reach acknowledges commits without a time limit.
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
