#include <waxwing/coordination/lease_table.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class LeaseTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseTableTest);
    CPPUNIT_TEST(leaseEndsLaterAtTheLeaderThanAtTheProxy);
    CPPUNIT_TEST(assumedLeaseBlocksOtherIncarnationAndIsNotLive);
    CPPUNIT_TEST_SUITE_END();

    LeaseTable m_leases;
    TimePoint m_now = TimePoint(100s);

public:
    // Guards against two owners at a time: the leader assumes that a lease has ended while it is valid by a slower clock.
    void leaseEndsLaterAtTheLeaderThanAtTheProxy()
    {
        const LeaseOptions options;
        const auto proxyLease = options.lease * (100 - options.driftPercent) / 100; // measured by the clock of the proxy
        CPPUNIT_ASSERT(options.guard() > proxyLease * (100 + options.driftPercent) / 100);
        CPPUNIT_ASSERT(m_leases.grant({"p", 1}, m_now));
        CPPUNIT_ASSERT(m_leases.mayHold({"p", 1}, m_now + options.guard() - 1ns));
        CPPUNIT_ASSERT(!m_leases.mayHold({"p", 1}, m_now + options.guard()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_leases.takeEnded(m_now + options.guard()).size());
    }

    // Guards against two owners at a time: a new leader grants a lease to the next incarnation of a proxy, whose previous one
    // may hold a lease from the earlier leader.
    void assumedLeaseBlocksOtherIncarnationAndIsNotLive()
    {
        m_leases.assume({"p", 1}, m_now);
        CPPUNIT_ASSERT(m_leases.mayHold({"p", 1}, m_now + 1s) && !m_leases.isLive({"p", 1}, m_now + 1s));
        CPPUNIT_ASSERT(!m_leases.grant({"p", 2}, m_now + 1s));
        CPPUNIT_ASSERT(m_leases.grant({"p", 1}, m_now + 1s) && m_leases.isLive({"p", 1}, m_now + 1s));
        CPPUNIT_ASSERT(m_leases.grant({"p", 2}, m_now + 3s) && !m_leases.mayHold({"p", 1}, m_now + 3s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTableTest);
