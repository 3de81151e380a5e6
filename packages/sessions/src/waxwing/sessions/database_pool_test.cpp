#include <waxwing/sessions/database_pool.h>
#include <waxwing/sessions/session_job.h>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class DatabasePoolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DatabasePoolTest);
    CPPUNIT_TEST(laggingReplicaIsPassedOverForLonger);
    CPPUNIT_TEST(silenceIsEvidenceOnlyWhileSomethingRuns);
    CPPUNIT_TEST(lostConnectionsAreEvidenceSooner);
    CPPUNIT_TEST(oldReplyTimeCountsLess);
    CPPUNIT_TEST(leavingDatabaseClosesAfterItsTime);
    CPPUNIT_TEST(transactionsQueueBehindSingleStatements);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against attempts that lead nowhere (10,585 refused of 31,216 on day scale-1).
    void laggingReplicaIsPassedOverForLonger()
    {
        const auto pool = make();
        pool->recordLag(true, TimePoint(1000ms));
        CPPUNIT_ASSERT(pool->isLagging(TimePoint(1029ms)));
        CPPUNIT_ASSERT(!pool->isLagging(TimePoint(1030ms)));
        for (int i = 0; i < 10; ++i) {
            pool->recordLag(true, TimePoint(2000ms));
        }
        CPPUNIT_ASSERT(pool->lagsBehind());
        CPPUNIT_ASSERT(pool->isLagging(TimePoint(2479ms)));
        CPPUNIT_ASSERT(!pool->isLagging(TimePoint(2480ms)));
        pool->recordLag(false, TimePoint(2500ms));
        CPPUNIT_ASSERT(!pool->lagsBehind());
    }

    // Guards against a primary that is suspected because nobody asked it.
    void silenceIsEvidenceOnlyWhileSomethingRuns()
    {
        const auto pool = make();
        CPPUNIT_ASSERT(!pool->isSilent(TimePoint(10s), 300ms));
        pool->recordSent(TimePoint(10s));
        CPPUNIT_ASSERT(!pool->isSilent(TimePoint(10'300ms), 300ms));
        CPPUNIT_ASSERT(pool->isSilent(TimePoint(10'301ms), 300ms));
        pool->recordReply(TimePoint(10'400ms));
        CPPUNIT_ASSERT(!pool->isSilent(TimePoint(20s), 300ms));
    }

    // Guards against a crashed primary that is noticed only after the time for a silent one.
    void lostConnectionsAreEvidenceSooner()
    {
        const auto pool = make();
        for (int i = 0; i < 2; ++i) {
            pool->recordSent(TimePoint(10s));
        }
        pool->recordReply(TimePoint(10s));
        pool->recordNoReply(TimePoint(10s));
        CPPUNIT_ASSERT(!pool->isSilent(TimePoint(10'100ms), 300ms));
        pool->recordSent(TimePoint(10s));
        pool->recordNoReply(TimePoint(10s));
        CPPUNIT_ASSERT(!pool->isSilent(TimePoint(10'060ms), 300ms));
        CPPUNIT_ASSERT(pool->isSilent(TimePoint(10'061ms), 300ms));
    }

    // Guards against a database that is avoided for good after one slow answer.
    void oldReplyTimeCountsLess()
    {
        const auto pool = make();
        CPPUNIT_ASSERT(pool->expectedReply(20ms, TimePoint(1s)) == Duration(20ms));
        pool->recordReplyTime(500ms, TimePoint(1s));
        CPPUNIT_ASSERT(pool->expectedReply(20ms, TimePoint(1s)) == Duration(500ms));
        CPPUNIT_ASSERT(pool->expectedReply(20ms, TimePoint(11s)) < Duration(21ms));
    }

    // Guards against statements on a primary that has been leaving for too long (DRAIN on day proxies-cut-off).
    void leavingDatabaseClosesAfterItsTime()
    {
        const auto pool = make();
        auto member = pool->member();
        member.set_draining(true);
        pool->update(member, TimePoint(1s));
        pool->update(member, TimePoint(5s));
        CPPUNIT_ASSERT(!pool->isClosing(TimePoint(7'999ms)));
        CPPUNIT_ASSERT(pool->isClosing(TimePoint(8s)));
        member.set_draining(false);
        pool->update(member, TimePoint(9s));
        CPPUNIT_ASSERT(!pool->isClosing(TimePoint(9s)));
    }

    // Guards against short statements that wait for transactions whose callers pause, when connections are scarce.
    void transactionsQueueBehindSingleStatements()
    {
        SessionJob single;
        single.route.priority = 1;
        auto transaction = single;
        transaction.begins = true;
        auto lowerSingle = single;
        lowerSingle.route.priority = 2;
        CPPUNIT_ASSERT(single.rank() < transaction.rank());
        CPPUNIT_ASSERT(transaction.rank() < lowerSingle.rank());
    }

private:
    std::shared_ptr<DatabasePool> make()
    {
        wire::PoolMember member;
        member.set_id("i-1");
        return std::make_shared<DatabasePool>(m_context.get_executor(), member, DatabasePool::Options());
    }

    boost::asio::io_context m_context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabasePoolTest);
