#include <waxwing/coordination/log_types.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class LogStatusTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogStatusTest);
    CPPUNIT_TEST(silentVotersReduceTheLossesThatAreLeft);
    CPPUNIT_TEST(learnersDoNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an operator who takes a second member away before the first is replaced.
    void silentVotersReduceTheLossesThatAreLeft()
    {
        auto status = leaderOf({{1, true}, {2, true}, {3, true}});
        status.active = {1, 2, 3};
        CPPUNIT_ASSERT(status.tolerableLosses() == 1);
        status.active = {1, 2};
        CPPUNIT_ASSERT(status.tolerableLosses() == 0);
        status.role = RaftNode::Role::Follower;
        CPPUNIT_ASSERT(!status.tolerableLosses());
    }

    // Guards against a wiped member that counts before it votes.
    void learnersDoNotCount()
    {
        auto status = leaderOf({{1, true}, {2, true}, {3, true}, {4, false}});
        status.active = {1, 2, 4};
        CPPUNIT_ASSERT(status.tolerableLosses() == 0);
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
