#include <waxwing/coordination/raft_node.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace waxwing;

namespace
{

constexpr TimePoint start {1000s};
constexpr MemberId self = 1;
constexpr MemberId other = 2;

wire::RaftMembership voters(std::initializer_list<MemberId> ids)
{
    wire::RaftMembership membership;
    for (const auto id : ids) {
        auto &member = *membership.add_members();
        member.set_id(id);
        member.set_voter(true);
    }
    return membership;
}

RaftEntry membershipEntry(LogTerm term, std::initializer_list<MemberId> ids)
{
    return {term, wire::RAFT_ENTRY_KIND_MEMBERSHIP, voters(ids).SerializeAsString()};
}

RaftNode makeNode(LogTerm term, std::vector<RaftEntry> entries)
{
    RaftStoredState stored;
    stored.hardState.set_term(term);
    stored.entries = std::move(entries);
    return RaftNode(self, {}, std::move(stored), 1, start);
}

wire::RaftMessage messageFrom(MemberId from, LogTerm term)
{
    wire::RaftMessage message;
    message.set_from(from);
    message.set_to(self);
    message.set_term(term);
    return message;
}

wire::RaftMessage voteRequest(LogTerm term, LogIndex lastIndex, LogTerm lastTerm)
{
    auto message = messageFrom(other, term);
    message.mutable_vote_request()->set_last_index(lastIndex);
    message.mutable_vote_request()->set_last_term(lastTerm);
    return message;
}

template<class Predicate>
bool sends(const RaftOutput &output, Predicate &&predicate)
{
    return std::any_of(output.messages.begin(), output.messages.end(), predicate);
}

bool isGrant(const wire::RaftMessage &message)
{
    return message.vote_reply().granted();
}

} // namespace

class RaftNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftNodeTest);
    CPPUNIT_TEST(removedMemberCampaignsUntilRemovalIsCommitted);
    CPPUNIT_TEST(voteIsSentOnlyWhenStored);
    CPPUNIT_TEST(noVoteAfterRestartWithinLease);
    CPPUNIT_TEST(messageToOldIdentityIsIgnored);
    CPPUNIT_TEST(entriesAreAcknowledgedOnlyWhenDurable);
    CPPUNIT_TEST(staleWriteDoesNotConfirmReplacedEntry);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a log that stops for good when a leader fails after it began to remove itself: the remaining voter
    // lacks the removal, and only the removed member's log is complete.
    void removedMemberCampaignsUntilRemovalIsCommitted()
    {
        auto node = makeNode(2, {membershipEntry(1, {self, other}), membershipEntry(2, {other})});
        const auto later = start + 2s;
        node.tick(later);
        CPPUNIT_ASSERT(sends(node.takeOutput(later), [](const auto &message) { return message.to() == other && message.vote_request().pre_vote(); }));
    }

    // Guards against two votes in one term by a member that crashes before its vote is durable.
    void voteIsSentOnlyWhenStored()
    {
        auto node = makeNode(2, {membershipEntry(1, {self, other, 3})});
        const auto later = start + 310ms;
        node.receive(later, voteRequest(3, 1, 1));
        const auto output = node.takeOutput(later);
        CPPUNIT_ASSERT(!sends(output, isGrant));
        CPPUNIT_ASSERT(!output.writes.empty());
        node.stored(later, output.writes.back().sequence);
        CPPUNIT_ASSERT(sends(node.takeOutput(later), isGrant));
    }

    // Guards against a stale read at the old leader, whose lease may count on the process that just ended.
    void noVoteAfterRestartWithinLease()
    {
        auto node = makeNode(2, {membershipEntry(1, {self, other, 3})});
        node.receive(start + 290ms, voteRequest(3, 1, 1));
        CPPUNIT_ASSERT_EQUAL(LogTerm(2), node.term());
        CPPUNIT_ASSERT(node.takeOutput(start + 290ms).writes.empty());
    }

    // Guards against a member with a new disk that answers for the identity that it lost.
    void messageToOldIdentityIsIgnored()
    {
        auto node = makeNode(0, {});
        auto message = messageFrom(other, 5);
        message.set_to(99);
        message.mutable_append()->set_sent_time(1);
        node.receive(start, message);
        CPPUNIT_ASSERT_EQUAL(LogTerm(0), node.term());
        CPPUNIT_ASSERT(node.takeOutput(start).messages.empty());
    }

    // Guards against entries that the leader counts as stored before the follower's fsync.
    void entriesAreAcknowledgedOnlyWhenDurable()
    {
        auto node = makeNode(2, {membershipEntry(1, {self, other, 3})});
        auto message = messageFrom(other, 2);
        auto &append = *message.mutable_append();
        append.set_previous_index(1);
        append.set_previous_term(1);
        append.add_entries()->set_term(2);
        node.receive(start, message);
        const auto output = node.takeOutput(start);
        CPPUNIT_ASSERT(!sends(output, [](const auto &reply) { return reply.append_reply().match_index() >= 2; }));
        node.stored(start, output.writes.back().sequence);
        CPPUNIT_ASSERT(sends(node.takeOutput(start), [](const auto &reply) { return reply.append_reply().match_index() == 2; }));
    }

    // Guards against a finished write of an entry that was replaced meanwhile, which would count the new entry as durable.
    void staleWriteDoesNotConfirmReplacedEntry()
    {
        auto node = makeNode(2, {membershipEntry(1, {self, other, 3})});
        const auto append = [&node](LogTerm term) {
            auto message = messageFrom(term == 2 ? other : 3, term);
            auto &body = *message.mutable_append();
            body.set_previous_index(1);
            body.set_previous_term(1);
            body.add_entries()->set_term(term);
            node.receive(start, message);
            return node.takeOutput(start).writes.back().sequence;
        };
        const auto first = append(2);
        append(3);
        node.stored(start, first);
        CPPUNIT_ASSERT(!sends(node.takeOutput(start), [](const auto &reply) { return reply.append_reply().match_index() >= 2; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftNodeTest);
