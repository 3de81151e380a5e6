#include <waxwing/coordination/log_types.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class LogStatusTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogStatusTest);
    CPPUNIT_TEST(silentVotersReduceTolerableLosses);
    CPPUNIT_TEST(learnersDoNotCount);
    CPPUNIT_TEST(shortfallNamesItsReason);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an operator who stops a second member, because the status still counts a silent voter as available.
    void silentVotersReduceTolerableLosses()
    {
        auto status = leaderOf({{1, true}, {2, true}, {3, true}});
        status.active = {1, 2, 3};
        CPPUNIT_ASSERT(status.tolerableLosses() == 1);
        status.active = {1, 2};
        CPPUNIT_ASSERT(status.tolerableLosses() == 0);
        status.role = RaftNode::Role::Follower;
        CPPUNIT_ASSERT(!status.tolerableLosses());
    }

    // Guards against a member with a new disk that is counted as available while it is still a learner.
    void learnersDoNotCount()
    {
        auto status = leaderOf({{1, true}, {2, true}, {3, true}, {4, false}});
        status.active = {1, 2, 4};
        CPPUNIT_ASSERT(status.tolerableLosses() == 0);
    }

    // Guards against a log that bears fewer losses than required for the rest of a day, and nobody can tell what it waits for.
    void shortfallNamesItsReason()
    {
        auto status = leaderOf({{1, true}, {2, true}, {3, true}, {4, false}, {5, false}});
        status.active = {1, 2, 3, 4};
        CPPUNIT_ASSERT(status.lossShortfall(1) == LossShortfall::None);
        CPPUNIT_ASSERT(status.lossShortfall(2) == LossShortfall::TooFewMembers);
        status.active = {1, 2, 3, 4, 5};
        status.caughtUp = {4};
        CPPUNIT_ASSERT(status.lossShortfall(2) == LossShortfall::LearnerBehind);
        status.caughtUp = {4, 5};
        CPPUNIT_ASSERT(status.lossShortfall(2) == LossShortfall::NotPromoted);
        status.changePending = true;
        CPPUNIT_ASSERT(status.lossShortfall(2) == LossShortfall::ChangePending);
        status = leaderOf({{1, true}, {2, true}, {3, true}, {4, false}});
        status.active = {1, 2, 4};
        CPPUNIT_ASSERT(status.lossShortfall(1) == LossShortfall::VoterSilent);
        status.role = RaftNode::Role::Follower;
        CPPUNIT_ASSERT(status.lossShortfall(1) == LossShortfall::None);
    }

private:
    static LogStatus leaderOf(const std::vector<std::pair<MemberId, bool>> &members)
    {
        LogStatus status;
        status.role = RaftNode::Role::Leader;
        for (const auto &[id, voter] : members) {
            auto &member = *status.membership.add_members();
            member.set_id(id);
            member.set_voter(voter);
        }
        return status;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStatusTest);
