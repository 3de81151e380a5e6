#include <waxwing/coordination/commit_tracker.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class CommitTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommitTrackerTest);
    CPPUNIT_TEST(commitWithoutAnOutcomeStaysUnsettled);
    CPPUNIT_TEST(laterCommitSettlesTheEarlierOnes);
    CPPUNIT_TEST(unreplicatedCommitProvesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a service that waits for a commit that nobody acknowledged: it had taken a position behind the last acknowledged one.
    void commitWithoutAnOutcomeStaysUnsettled()
    {
        CommitTracker tracker;
        const auto acknowledged = tracker.send(TimePoint(1s));
        const auto abandoned = tracker.send(TimePoint(1s));
        const auto refused = tracker.send(TimePoint(1s));
        tracker.send(TimePoint(1s));
        tracker.abandon(abandoned, TimePoint(2s));
        tracker.discard(refused);
        tracker.acknowledge(acknowledged, {3, 12}, true);
        CPPUNIT_ASSERT((tracker.replicated() == TermPosition {3, 12}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), tracker.unsettled());
    }

    // Guards against lost commits: outcomes that were unknown long ago would hide the position of the last acknowledged commit.
    void laterCommitSettlesTheEarlierOnes()
    {
        CommitTracker tracker;
        tracker.abandon(tracker.send(TimePoint(1s)), TimePoint(2s));
        tracker.acknowledge(tracker.send(TimePoint(6s)), {3, 12}, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tracker.unsettled()); // it may still run behind that commit
        tracker.acknowledge(tracker.send(TimePoint(8s)), {3, 13}, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), tracker.unsettled());
        CPPUNIT_ASSERT(tracker.hasSettledAll(TimePoint(3s)));
        CPPUNIT_ASSERT(!tracker.hasSettledAll(TimePoint(4s)));
    }

    // Guards against a service that waits for a commit that no replica had to receive.
    void unreplicatedCommitProvesNothing()
    {
        CommitTracker tracker;
        tracker.abandon(tracker.send(TimePoint(1s)), TimePoint(2s));
        tracker.acknowledge(tracker.send(TimePoint(9s)), {3, 12}, false);
        CPPUNIT_ASSERT((tracker.acknowledged() == TermPosition {3, 12}));
        CPPUNIT_ASSERT(tracker.replicated() == TermPosition());
        CPPUNIT_ASSERT(tracker.acknowledgedAtLeast() == TermPosition());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), tracker.unsettled());
        CPPUNIT_ASSERT(!tracker.hasSettledAll(TimePoint(1s)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommitTrackerTest);
