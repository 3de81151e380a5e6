#include "log_cluster.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>

using namespace waxwing;

class LogHostTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogHostTest);
    CPPUNIT_TEST(singleMemberKeepsAcknowledgedCommands);
    CPPUNIT_TEST(newLeaderKeepsAcknowledgedCommands);
    CPPUNIT_TEST(snapshotRestoresMemberBehindCompaction);
    CPPUNIT_TEST(emptyDiskJoinsUnderNewIdentity);
    CPPUNIT_TEST(diskErrorStopsMember);
    CPPUNIT_TEST(fullDiskDelaysMember);
    CPPUNIT_TEST(wipedMemberServesOnceItVotes);
    CPPUNIT_TEST(fullQueueIsRefused);
    CPPUNIT_TEST(replacedCommandIsNotAcknowledged);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a command that is acknowledged before it is durable.
    void singleMemberKeepsAcknowledgedCommands()
    {
        LogCluster cluster({"a"});
        cluster.startAll();
        cluster.propose("one");
        cluster.propose("two");
        cluster.crash("a");
        CPPUNIT_ASSERT(cluster.start("a").has_value());
        cluster.leader();
        CPPUNIT_ASSERT(cluster.host("a").machine().commands() == std::vector<std::string>({"one", "two"}));
    }

    // Guards against a new leader that lacks a command that the lost leader acknowledged.
    void newLeaderKeepsAcknowledgedCommands()
    {
        LogCluster cluster({"a", "b", "c"});
        cluster.startAll();
        cluster.propose("one");
        const auto first = cluster.leader();
        cluster.crash(first);
        const auto second = cluster.leader();
        CPPUNIT_ASSERT(first != second);
        bool answered = false;
        cluster.host(second).read([&](const ReadResult &result) {
            answered = true;
            CPPUNIT_ASSERT(result.outcome == LogOutcome::Done);
            CPPUNIT_ASSERT_EQUAL(std::string("one"), cluster.host(second).machine().commands().front());
        });
        cluster.runUntil([&] { return answered; });
    }

    // Guards against a member that stays behind because the entries it misses were compacted, on the network and at start.
    void snapshotRestoresMemberBehindCompaction()
    {
        LogCluster cluster({"a", "b", "c"});
        cluster.base.snapshotIntervalEntries = 10;
        cluster.base.raft.retainedEntries = 2;
        cluster.base.raft.snapshotChunkBytes = 16;
        cluster.startAll();
        cluster.propose("first");
        const auto late = cluster.leader() == "a" ? "b" : "a";
        cluster.crash(late);
        for (int i = 0; i < 50; ++i) {
            cluster.propose("command " + std::to_string(i));
        }
        cluster.runUntil([&] { return cluster.host(cluster.leader()).status().snapshotIndex > 10; });
        const auto expected = cluster.host(cluster.leader()).machine().commands();
        for (int start = 0; start < 2; ++start) {
            CPPUNIT_ASSERT(cluster.start(late).has_value());
            cluster.runUntil([&] { return cluster.host(late).machine().commands() == expected; });
            CPPUNIT_ASSERT(cluster.host(late).status().snapshotIndex > 10);
            cluster.crash(late);
        }
    }

    // Guards against a member with a lost disk that votes or acknowledges under its old identity.
    void emptyDiskJoinsUnderNewIdentity()
    {
        LogCluster cluster({"a", "b", "c"});
        cluster.startAll();
        cluster.propose("one");
        const auto lost = cluster.leader() == "a" ? "b" : "a";
        const auto oldId = cluster.host(lost).status().id;
        cluster.crash(lost);
        cluster.loseDisk(lost);
        CPPUNIT_ASSERT(cluster.start(lost).has_value());
        const auto newId = cluster.host(lost).status().id;
        CPPUNIT_ASSERT(oldId != newId);
        cluster.runUntil([&] {
            const auto membership = cluster.host(lost).status().membership;
            return isVoter(membership, newId) && findMember(membership, oldId) == nullptr && voterCount(membership) == 3;
        });
        cluster.runUntil([&] { return cluster.host(lost).machine().commands().size() == 1; });
    }

    // Guards against a member that goes on acknowledging after a disk error.
    void diskErrorStopsMember()
    {
        LogCluster cluster({"a", "b", "c"});
        cluster.startAll();
        cluster.propose("one");
        const auto broken = cluster.leader();
        bool reported = false;
        cluster.host(broken).observeFailure([&](const StateError &error) {
            reported = true;
            CPPUNIT_ASSERT(error.code == StateErrorCode::SyncFailed);
            CPPUNIT_ASSERT(error.message.find("data/log/log-1") != std::string::npos);
        });
        cluster.disk(broken).failSync = true;
        cluster.host(broken).propose("two", [](const ProposeResult &) {});
        cluster.runUntil([&] { return reported; });
        CPPUNIT_ASSERT(cluster.host(broken).status().failed);
        CPPUNIT_ASSERT(!cluster.host(broken).isLeader());
        CPPUNIT_ASSERT(cluster.leader() != broken);
        cluster.propose("three");
    }

    // Guards against a member that ends while its disk is full, and one that acknowledges what it could not store (own exits
    // on the day clocks-disks-and-slowness).
    void fullDiskDelaysMember()
    {
        LogCluster cluster({"a"});
        cluster.startAll();
        cluster.propose("one");
        cluster.disk("a").bytesLeft = 10;
        bool done = false;
        cluster.host("a").propose("two", [&](const ProposeResult &result) { done = result.outcome == LogOutcome::Done; });
        cluster.runUntil([&] { return Metrics::instance().counter("waxwing_log_disk_full_total").value() != 0; });
        CPPUNIT_ASSERT(!done);
        CPPUNIT_ASSERT(!cluster.host("a").status().failed);
        cluster.disk("a").bytesLeft.reset();
        cluster.runUntil([&] { return done; });
        cluster.crash("a");
        CPPUNIT_ASSERT(cluster.start("a").has_value());
        cluster.leader();
        CPPUNIT_ASSERT(cluster.host("a").machine().commands() == std::vector<std::string>({"one", "two"}));
    }

    // Guards against an operator who takes a second member away because a wiped one says too early that it is healthy.
    void wipedMemberServesOnceItVotes()
    {
        LogCluster cluster({"a", "b", "c"});
        cluster.startAll();
        cluster.propose("one");
        const auto wiped = cluster.leader() == "a" ? "b" : "a";
        cluster.crash(wiped);
        cluster.loseDisk(wiped);
        CPPUNIT_ASSERT(cluster.start(wiped).has_value());
        CPPUNIT_ASSERT(!cluster.host(wiped).status().serving);
        cluster.runUntil([&] { return cluster.host(wiped).status().serving; });
        cluster.crash(cluster.leader());
        cluster.propose("two");
    }

    // Guards against an acknowledgement for a command whose place in the log was taken by the next leader's entry, when the
    // old leader learns of the new term and of the commit in one step.
    void replacedCommandIsNotAcknowledged()
    {
        LogCluster cluster({"a", "b", "c"});
        // The first leader must not notice that it lost its quorum before the packets arrive.
        cluster.base.raft.electionTimeoutHigh = 600s;
        CPPUNIT_ASSERT(cluster.start("a").has_value());
        cluster.base.raft.electionTimeoutHigh = 600ms;
        CPPUNIT_ASSERT(cluster.start("b").has_value());
        CPPUNIT_ASSERT(cluster.start("c").has_value());
        cluster.propose("one");
        CPPUNIT_ASSERT_EQUAL(std::string("a"), cluster.leader());
        cluster.runUntil([&] { return cluster.host("b").status().commitIndex == cluster.host("a").status().commitIndex; });
        cluster.runUntil([&] { return cluster.host("c").status().commitIndex == cluster.host("a").status().commitIndex; });

        cluster.cutFrom("a");
        cluster.capture("a");
        std::optional<LogOutcome> outcome;
        cluster.host("a").propose("lost", [&outcome](const ProposeResult &result) { outcome = result.outcome; });
        const auto committed = cluster.host("a").status().commitIndex;
        cluster.runUntil([&] {
            return std::any_of(cluster.captured().begin(), cluster.captured().end(), [committed](const std::string &bytes) {
                wire::RaftPacket packet;
                packet.ParseFromString(bytes);
                return packet.message().append().commit_index() > committed;
            });
        });
        CPPUNIT_ASSERT(!outcome);
        cluster.deliverCaptured("a");
        cluster.runUntil([&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(outcome == LogOutcome::Unknown);
    }

    // Guards against a queue of proposals without a bound.
    void fullQueueIsRefused()
    {
        LogCluster cluster({"a"});
        cluster.base.maxPendingRequests = 2;
        cluster.startAll();
        cluster.leader();
        int done = 0;
        int overloaded = 0;
        for (int i = 0; i < 5; ++i) {
            cluster.host("a").propose("x", [&](const ProposeResult &result) {
                done += result.outcome == LogOutcome::Done ? 1 : 0;
                overloaded += result.outcome == LogOutcome::Overloaded ? 1 : 0;
            });
        }
        cluster.runUntil([&] { return done == 2; });
        CPPUNIT_ASSERT_EQUAL(3, overloaded);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogHostTest);
