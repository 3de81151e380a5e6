#include <waxwing/coordination/log_membership.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

namespace
{

constexpr auto isTrue = [](MemberId) {
    return true;
};
constexpr auto isFalse = [](MemberId) {
    return false;
};

void exchange(LogMembership &from, LogMembership &to, const std::string &address, bool empty)
{
    for (const auto &request : from.joinRequests()) {
        if (request.address == address) {
            for (const auto &reply : to.receive(request.packet, {}, empty)) {
                from.receive(reply.packet, {}, true);
            }
        }
    }
}

wire::RaftMembership member(MemberId id, const std::string &address, bool voter)
{
    wire::RaftMembership membership;
    auto &added = *membership.add_members();
    added.set_id(id);
    added.set_address(address);
    added.set_voter(voter);
    return membership;
}

} // namespace

class LogMembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogMembershipTest);
    CPPUNIT_TEST(logIsFormedOnlyWhenAllDisksAreEmpty);
    CPPUNIT_TEST(learnerOfReplacedEntryJoinsAgain);
    CPPUNIT_TEST(lateRequestDoesNotRemoveActiveMember);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second log that a member with a lost disk forms beside the existing one.
    void logIsFormedOnlyWhenAllDisksAreEmpty()
    {
        const std::vector<std::string> addresses {"a", "b", "c"};
        LogMembership a("a", addresses);
        LogMembership b("b", addresses);
        LogMembership c("c", addresses);
        a.start(1);
        b.start(2);
        c.start(3);
        exchange(a, b, "b", true);
        CPPUNIT_ASSERT(!a.canBootstrap());
        exchange(a, c, "c", false);
        CPPUNIT_ASSERT(!a.canBootstrap());
        exchange(a, c, "c", true);
        CPPUNIT_ASSERT(a.canBootstrap());
        exchange(b, a, "a", true);
        exchange(b, c, "c", true);
        CPPUNIT_ASSERT(!b.canBootstrap());
    }

    // Guards against a learner that stays outside for good because the entry that added it was replaced by a later leader
    // (seed 14841 of waxwing-log-check).
    void learnerOfReplacedEntryJoinsAgain()
    {
        LogMembership a("a", {"a", "b"});
        a.start(1);
        CPPUNIT_ASSERT(a.shouldJoin(member(1, "a", false), false));
        CPPUNIT_ASSERT(!a.shouldJoin(member(1, "a", false), true));
        CPPUNIT_ASSERT(!a.shouldJoin(member(1, "a", true), false));
        CPPUNIT_ASSERT(a.shouldJoin({}, false));
    }

    // Guards against a delayed request of an earlier process that removes the member that now runs at its address.
    void lateRequestDoesNotRemoveActiveMember()
    {
        LogMembership leader("a", {"a", "b"});
        leader.start(1);
        LogMembership old("b", {"a", "b"});
        old.start(2);
        const auto present = member(3, "b", true);
        leader.receive(old.joinRequests().front().packet, present, false);
        CPPUNIT_ASSERT(!leader.nextChange(present, isFalse, isTrue));
        leader.receive(old.joinRequests().front().packet, present, false);
        const auto change = leader.nextChange(present, isFalse, isFalse);
        CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Remove && change->id == 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogMembershipTest);
