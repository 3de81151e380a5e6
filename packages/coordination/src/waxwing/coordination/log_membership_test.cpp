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

wire::RaftMembership voters(const std::vector<std::pair<MemberId, std::string>> &members)
{
    wire::RaftMembership membership;
    for (const auto &[id, address] : members) {
        *membership.add_members() = member(id, address, true).members(0);
    }
    return membership;
}

/// Tells the leader that a member is about to stop.
void announceLeave(LogMembership &leader, MemberId id, const std::string &address, const wire::RaftMembership &membership, TimePoint now)
{
    LogMembership stopped(address, {}, {.open = true});
    stopped.start(id);
    stopped.leave();
    for (const auto &request : stopped.leaveRequests(membership)) {
        leader.receive(request.packet, membership, false, now);
    }
}

} // namespace

class LogMembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogMembershipTest);
    CPPUNIT_TEST(logIsFormedOnlyWhenAllDisksAreEmpty);
    CPPUNIT_TEST(learnerOfReplacedEntryJoinsAgain);
    CPPUNIT_TEST(lateRequestDoesNotRemoveActiveMember);
    CPPUNIT_TEST(openLogIsNotFormedTwice);
    CPPUNIT_TEST(memberFromAnyAddressJoinsAnOpenLog);
    CPPUNIT_TEST(caughtUpLearnerReplacesSilentVoter);
    CPPUNIT_TEST(returnedVoterMakesRoomForItsReplacement);
    CPPUNIT_TEST(stoppedVoterHandsItsVoteOver);
    CPPUNIT_TEST(stoppedVoterWithoutALearnerKeepsItsVote);
    CPPUNIT_TEST(newLeaderKeepsTheReplacementOfAStoppedVoter);
    CPPUNIT_TEST(announcedStopEnds);
    CPPUNIT_TEST(learnersVoteUntilRequiredLossesAreBorne);
    CPPUNIT_TEST(silentVoterStaysUntilReplaced);
    CPPUNIT_TEST(smallerRequirementRemovesNoActiveVoter);
    CPPUNIT_TEST(replacedVoterAsksToJoinAgain);
    CPPUNIT_TEST(memberThatReadOfItsRemovalAsksToJoinAgain);
    CPPUNIT_TEST(silenceEndsWithRemoval);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second log, formed by a member that lost its disk while another member still has the existing log.
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

    // Guards against a learner that never becomes a member because a later leader replaced the entry that added it.
    void learnerOfReplacedEntryJoinsAgain()
    {
        LogMembership a("a", {"a", "b"});
        a.start(1);
        CPPUNIT_ASSERT(a.shouldJoin(member(1, "a", false), false));
        CPPUNIT_ASSERT(!a.shouldJoin(member(1, "a", false), true));
        CPPUNIT_ASSERT(!a.shouldJoin(member(1, "a", true), false));
        CPPUNIT_ASSERT(a.shouldJoin({}, false));
    }

    // Guards against a delayed join request of an earlier process that removes the member that now runs at its address.
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

    // Guards against a second log, formed by members that were replaced or lost their disks after the first log was formed.
    void openLogIsNotFormedTwice()
    {
        LogMembership a("a", {"a", "b"}, {.open = true, .mayBootstrap = false});
        LogMembership b("b", {"a", "b"}, {.open = true, .mayBootstrap = false});
        a.start(1);
        b.start(2);
        exchange(a, b, "b", true);
        CPPUNIT_ASSERT(!a.canBootstrap());
        CPPUNIT_ASSERT(a.shouldJoin({}, false));
    }

    // Guards against a new VM that never becomes a member because its address is not an initial one or its own list of initial
    // addresses is outdated.
    void memberFromAnyAddressJoinsAnOpenLog()
    {
        LogMembership follower("a", {"a", "b", "c"}, {.open = true});
        follower.start(1);
        LogMembership joiner("d", {"a"}, {.open = true, .mayBootstrap = false});
        joiner.start(4);
        const auto present = voters({{1, "a"}, {2, "b"}, {3, "c"}});
        const auto replies = follower.receive(joiner.joinRequests().front().packet, present, false, TimePoint(1s));
        joiner.receive(replies.front().packet, {}, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), joiner.joinRequests().size());
        auto change = follower.nextChange(present, isFalse, isTrue, TimePoint(1s));
        CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::AddLearner && change->id == 4);
        change = follower.nextChange(present, isFalse, isTrue, TimePoint(3s));
        CPPUNIT_ASSERT(!change); // the join request has expired
    }

    // Guards against a lost voter that stays in the quorum for good, against a fourth voter that stays, which would not increase
    // the number of tolerable losses, and against a removal before the replacement votes: two voters would need each other.
    void caughtUpLearnerReplacesSilentVoter()
    {
        LogMembership leader("a", {"a", "b", "c"}, {.open = true});
        leader.start(1);
        auto present = voters({{1, "a"}, {2, "b"}, {3, "c"}});
        auto &learner = *present.add_members();
        learner.set_id(4);
        learner.set_address("d");
        const auto isActive = [](MemberId id) {
            return id != 3;
        };
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(1s)));
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isActive, TimePoint(2s)));
        auto change = leader.nextChange(present, isTrue, isActive, TimePoint(5s));
        CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Promote && change->id == 4);
        present.mutable_members(3)->set_voter(true);
        change = leader.nextChange(present, isTrue, isActive, TimePoint(5s));
        CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Remove && change->id == 3);
        present.mutable_members()->DeleteSubrange(2, 1);
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isActive, TimePoint(5s)));
    }

    // Guards against an additional voter that stays when the silent one returns before it was removed.
    void returnedVoterMakesRoomForItsReplacement()
    {
        LogMembership leader("a", {"a", "b", "c"}, {.open = true});
        leader.start(1);
        auto present = voters({{1, "a"}, {2, "b"}, {3, "c"}, {4, "d"}});
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(5s)));
        const auto change = leader.nextChange(present, isTrue, isTrue, TimePoint(7s));
        CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Remove && change->id == 4);
        present.mutable_members()->DeleteSubrange(3, 1);
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(5s)));
    }

    // Guards against a member that leaves its vote behind when it is stopped: with its disk gone, the loss of one more stops the log.
    void stoppedVoterHandsItsVoteOver()
    {
        for (const MemberId stopped : {2, 1}) { // a follower and the leader
            LogMembership leader("a", {"a", "b", "c"}, {.open = true});
            leader.start(1);
            auto present = voters({{1, "a"}, {2, "b"}, {3, "c"}});
            *present.add_members() = member(4, "d", false).members(0);
            CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(1s)));
            if (stopped == 1) {
                leader.leave();
            } else {
                announceLeave(leader, stopped, "b", present, TimePoint(1s));
            }
            CPPUNIT_ASSERT(!leader.nextChange(present, isFalse, isTrue, TimePoint(1s))); // nobody can take the vote
            auto change = leader.nextChange(present, isTrue, isTrue, TimePoint(1s));
            CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Promote && change->id == 4);
            present.mutable_members(3)->set_voter(true);
            change = leader.nextChange(present, isTrue, isTrue, TimePoint(1s));
            CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Remove && change->id == stopped);
            present.mutable_members()->DeleteSubrange(static_cast<int>(stopped) - 1, 1);
            CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(1s)));
        }
    }

    // Guards against fewer voters after a planned stop without a learner, and after two members were stopped one after the other.
    void stoppedVoterWithoutALearnerKeepsItsVote()
    {
        LogMembership leader("a", {"a", "b", "c"}, {.open = true});
        leader.start(1);
        auto present = voters({{1, "a"}, {2, "b"}, {3, "c"}});
        announceLeave(leader, 2, "b", present, TimePoint(1s));
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(1s)));
        *present.add_members() = member(4, "d", false).members(0);
        announceLeave(leader, 4, "d", present, TimePoint(1s));
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(1s))); // the learner is stopped too
        present.mutable_members(3)->set_voter(true);
        announceLeave(leader, 3, "c", present, TimePoint(1s));
        const auto change = leader.nextChange(present, isTrue, isTrue, TimePoint(1s));
        CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Remove);
        present.mutable_members()->DeleteSubrange(3, 1);
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(1s)));
    }

    // Guards against a hand-over that a new leader finishes by removing a voter that works, while the stopped one is still in place.
    void newLeaderKeepsTheReplacementOfAStoppedVoter()
    {
        LogMembership leader("b", {"a", "b", "c"}, {.open = true});
        leader.start(2);
        const auto present = voters({{1, "a"}, {2, "b"}, {3, "c"}, {4, "d"}});
        const auto isActive = [](MemberId id) {
            return id != 1;
        };
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(1s))); // its silence is not noticed yet
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isActive, TimePoint(2s)));
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isActive, TimePoint(3s)));
        const auto change = leader.nextChange(present, isTrue, isActive, TimePoint(4s));
        CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Remove && change->id == 1);
    }

    // Guards against a stopping member that joins again, and against an announcement that counts after the member has started again.
    void announcedStopEnds()
    {
        LogMembership leader("a", {"a", "b", "c"}, {.open = true});
        leader.start(1);
        auto present = voters({{1, "a"}, {2, "b"}, {3, "c"}});
        *present.add_members() = member(4, "d", false).members(0);
        announceLeave(leader, 2, "b", present, TimePoint(1s));
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(1600ms))); // it may run again
        leader.leave();
        CPPUNIT_ASSERT(!leader.shouldJoin({}, false));
        LogMembership closed("a", {"a", "b", "c"});
        closed.start(1);
        closed.leave();
        CPPUNIT_ASSERT(closed.leaveRequests(present).empty());
    }

    // Guards against a deployment that requires two losses to be borne and whose spare members never vote, so that two lost
    // disks are a majority of the voters for good.
    void learnersVoteUntilRequiredLossesAreBorne()
    {
        LogMembership leader("a", {"a", "b", "c"}, {.open = true, .lossesToBear = 2});
        leader.start(1);
        auto present = voters({{1, "a"}, {2, "b"}, {3, "c"}});
        *present.add_members() = member(4, "d", false).members(0);
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(1s))); // four voters bear no more than three
        *present.add_members() = member(5, "e", false).members(0);
        *present.add_members() = member(6, "f", false).members(0);
        for (int index = 3; index < 5; ++index) {
            const auto change = leader.nextChange(present, isTrue, isTrue, TimePoint(1s));
            CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Promote);
            CPPUNIT_ASSERT_EQUAL(present.members(index).id(), change->id);
            present.mutable_members(index)->set_voter(true);
        }
        CPPUNIT_ASSERT(!leader.nextChange(present, isTrue, isTrue, TimePoint(1s)));
    }

    // Guards against a log that shrinks while members are down: an entry would be stored on so few disks that the loss of those
    // that may be lost takes it.
    void silentVoterStaysUntilReplaced()
    {
        LogMembership leader("a", {"a", "b", "c"}, {.open = true, .lossesToBear = 2});
        leader.start(1);
        auto present = voters({{1, "a"}, {2, "b"}, {3, "c"}, {4, "d"}, {5, "e"}});
        const auto isActive = [](MemberId id) {
            return id <= 3;
        };
        CPPUNIT_ASSERT(!leader.nextChange(present, isFalse, isActive, TimePoint(1s)));
        CPPUNIT_ASSERT(!leader.nextChange(present, isFalse, isActive, TimePoint(10s)));
        present.mutable_members()->DeleteSubrange(4, 1);
        const auto change = leader.nextChange(present, isFalse, isActive, TimePoint(10s));
        CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Remove && change->id == 4); // three bear what four do
    }

    // Guards against voters that come and go when leaders with different settings follow one another.
    void smallerRequirementRemovesNoActiveVoter()
    {
        LogMembership leader("a", {"a", "b", "c"}, {.open = true, .lossesToBear = 1});
        leader.start(1);
        const auto present = voters({{1, "a"}, {2, "b"}, {3, "c"}, {4, "d"}, {5, "e"}});
        const auto isActive = [](MemberId id) {
            return id != 5;
        };
        CPPUNIT_ASSERT(!leader.nextChange(present, isFalse, isTrue, TimePoint(1s)));
        CPPUNIT_ASSERT(!leader.nextChange(present, isFalse, isActive, TimePoint(2s)));
        const auto change = leader.nextChange(present, isFalse, isActive, TimePoint(5s));
        CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Remove && change->id == 5);
    }

    // Guards against a voter that was replaced while it was disconnected and never becomes a member again after its return.
    void replacedVoterAsksToJoinAgain()
    {
        LogMembership returned("c", {"a", "b", "c"}, {.open = true, .mayBootstrap = false});
        returned.start(3);
        CPPUNIT_ASSERT(returned.shouldJoin(voters({{1, "a"}, {2, "b"}, {3, "c"}}), false));
        CPPUNIT_ASSERT(!returned.shouldJoin(voters({{1, "a"}, {2, "b"}, {3, "c"}}), true));
    }

    // Guards against a member that never returns because its log ends with its own removal: it was added again and stopped while
    // it received the log, before it reached the entry that added it.
    void memberThatReadOfItsRemovalAsksToJoinAgain()
    {
        LogMembership returned("d", {"a", "b", "c"}, {.open = true, .mayBootstrap = false});
        returned.start(4);
        CPPUNIT_ASSERT(returned.shouldJoin(voters({{1, "a"}, {2, "b"}, {3, "c"}}), false));
        CPPUNIT_ASSERT(!returned.shouldJoin(voters({{1, "a"}, {2, "b"}, {3, "c"}}), true));
    }

    // Guards against a member that returns after its removal and is removed again at once, because its earlier silence counts.
    void silenceEndsWithRemoval()
    {
        LogMembership leader("a", {"a", "b", "c"}, {.open = true});
        leader.start(1);
        const auto without = voters({{1, "a"}, {2, "b"}, {3, "c"}});
        auto present = without;
        *present.add_members() = member(4, "d", false).members(0);
        const auto isActive = [](MemberId id) {
            return id != 4;
        };
        CPPUNIT_ASSERT(!leader.nextChange(present, isFalse, isActive, TimePoint(1s)));
        const auto change = leader.nextChange(present, isFalse, isActive, TimePoint(3s));
        CPPUNIT_ASSERT(change && change->kind == RaftMembershipChange::Kind::Remove && change->id == 4);
        CPPUNIT_ASSERT(!leader.nextChange(without, isFalse, isActive, TimePoint(4s)));
        CPPUNIT_ASSERT(!leader.nextChange(present, isFalse, isActive, TimePoint(5s)));
        CPPUNIT_ASSERT(leader.nextChange(present, isFalse, isActive, TimePoint(7s)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogMembershipTest);
