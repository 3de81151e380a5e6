#include <waxwing/coordination/primary_choice.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace waxwing;

class PrimaryChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrimaryChoiceTest);
    CPPUNIT_TEST(longestLogWins);
    CPPUNIT_TEST(missingReplicaRequiresAcknowledgedPosition);
    CPPUNIT_TEST(noChoiceBelowTheAcknowledgedPosition);
    CPPUNIT_TEST(unknownDatabaseCountsAsMissing);
    CPPUNIT_TEST(logWithoutAnAcknowledgedCommitIsNotChosen);
    CPPUNIT_TEST(logWithoutAnAwaitedCommitIsNotChosen);
    CPPUNIT_TEST(steppedDownPrimaryWithoutAnAcknowledgedCommitProvesNothing);
    CPPUNIT_TEST(stoppedDatabaseIsMissedBeyondTheKnownLogs);
    CPPUNIT_TEST(steppedDownPrimaryHandsOverToACompleteReplica);
    CPPUNIT_TEST(drainingReplicaIsTheLastChoice);
    CPPUNIT_TEST(formerPrimaryThatWasStartedAgainProvesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost commits: an acknowledged commit may have reached only one replica, even a draining one.
    void longestLogWins()
    {
        PrimaryChoice choice("a");
        choice.add({.id = "a", .received = std::nullopt});
        choice.add({.id = "b", .received = TermPosition {3, 7}});
        choice.add({.id = "c", .draining = true, .received = TermPosition {3, 8}});
        CPPUNIT_ASSERT(!choice.needsAcknowledgedPosition());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.bestAmongStopped());
    }

    // Guards against lost commits: a promotion while the only replica that holds the last commit does not respond.
    void missingReplicaRequiresAcknowledgedPosition()
    {
        PrimaryChoice choice("a");
        choice.add({.id = "a", .received = std::nullopt});
        choice.add({.id = "b", .received = TermPosition {3, 7}});
        choice.add({.id = "c", .received = std::nullopt});
        CPPUNIT_ASSERT(choice.needsAcknowledgedPosition());
        CPPUNIT_ASSERT(choice.bestAmongStopped().empty());
        choice.setAcknowledgedPosition(TermPosition {3, 7});
        CPPUNIT_ASSERT_EQUAL(std::string("b"), choice.bestAmongStopped());
    }

    // Guards against lost commits: the only known log ends before the acknowledged position.
    void noChoiceBelowTheAcknowledgedPosition()
    {
        PrimaryChoice choice("a");
        choice.add({.id = "b", .received = TermPosition {3, 7}});
        choice.add({.id = "c", .received = std::nullopt});
        choice.setAcknowledgedPosition(TermPosition {3, 8});
        CPPUNIT_ASSERT(choice.bestAmongStopped().empty());
    }

    // Guards against lost commits: a replica whose heartbeats do not reach control may hold the last ones.
    void unknownDatabaseCountsAsMissing()
    {
        PrimaryChoice choice("a");
        choice.add({.id = "b", .received = TermPosition {3, 7}});
        choice.addMissing("c");
        CPPUNIT_ASSERT(choice.missing() == std::vector<std::string> {"c"});
        CPPUNIT_ASSERT(choice.needsAcknowledgedPosition());
        CPPUNIT_ASSERT(choice.bestAmongStopped().empty());
    }

    // Guards against lost commits: a database that acknowledged them was started again without its log and counts as known, or as the
    // former primary, or control does not know of it.
    void logWithoutAnAcknowledgedCommitIsNotChosen()
    {
        for (const std::string former : {"a", "b"}) {
            PrimaryChoice choice(former);
            choice.add({.id = "b", .received = TermPosition {3, 2}});
            choice.add({.id = "c", .received = TermPosition {3, 7}});
            CPPUNIT_ASSERT(choice.missing().empty());
            choice.setCertainPosition({3, 8});
            CPPUNIT_ASSERT(choice.lacks({3, 8}));
            CPPUNIT_ASSERT(choice.bestAmongStopped().empty());
            choice.setCertainPosition({3, 7});
            CPPUNIT_ASSERT(!choice.lacks({3, 7}));
            CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.bestAmongStopped());
        }
    }

    // Guards against lost commits: no database counts as missing, but a commit that the known logs lack may be acknowledged.
    void logWithoutAnAwaitedCommitIsNotChosen()
    {
        PrimaryChoice choice("a");
        CPPUNIT_ASSERT(!choice.lacks({3, 8})); // no log is known
        choice.add({.id = "b", .received = TermPosition {3, 7}});
        choice.setCertainPosition({3, 7});
        choice.setAwaitedPosition({3, 8});
        CPPUNIT_ASSERT(choice.bestAmongStopped().empty());
        choice.add({.id = "c", .received = TermPosition {3, 8}});
        CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.bestAmongStopped());
    }

    // Guards against lost commits: a former primary that was started again without its log, unknown to control, steps down.
    void steppedDownPrimaryWithoutAnAcknowledgedCommitProvesNothing()
    {
        PrimaryChoice choice("a");
        choice.add({.id = "a", .received = TermPosition {3, 2}});
        choice.add({.id = "b", .received = TermPosition {3, 7}});
        choice.setAwaitedPosition({3, 8});
        CPPUNIT_ASSERT(choice.bestAfterStepDown().empty());
        choice.add({.id = "c", .received = TermPosition {3, 8}});
        CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.bestAfterStepDown());
    }

    // Guards against a service that stays without a primary because a database left, although the others have received as much; and
    // against lost commits where they have not.
    void stoppedDatabaseIsMissedBeyondTheKnownLogs()
    {
        PrimaryChoice choice("a");
        choice.addStopped("d", {3, 8});
        choice.add({.id = "b", .received = TermPosition {3, 7}});
        CPPUNIT_ASSERT(choice.missing() == std::vector<std::string> {"d"});
        CPPUNIT_ASSERT(choice.needsAcknowledgedPosition());
        CPPUNIT_ASSERT(choice.bestAmongStopped().empty());
        choice.add({.id = "c", .received = TermPosition {3, 8}});
        CPPUNIT_ASSERT(choice.missing().empty());
        CPPUNIT_ASSERT(!choice.needsAcknowledgedPosition());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.bestAmongStopped());
    }

    // Guards against lost commits: a replica takes over before it has the whole log of the primary that stepped down.
    void steppedDownPrimaryHandsOverToACompleteReplica()
    {
        PrimaryChoice choice("a");
        choice.add({.id = "a", .draining = true, .received = TermPosition {3, 9}});
        choice.add({.id = "b", .received = TermPosition {3, 8}});
        CPPUNIT_ASSERT(choice.bestAfterStepDown().empty());
        choice.add({.id = "c", .received = TermPosition {3, 9}});
        CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.bestAfterStepDown());
    }

    // Guards against a second change of the primary right after the first, because the chosen replica is draining.
    void drainingReplicaIsTheLastChoice()
    {
        PrimaryChoice choice("a");
        choice.add({.id = "a", .draining = true, .received = TermPosition {3, 9}});
        choice.add({.id = "b", .draining = true, .received = TermPosition {3, 10}});
        choice.add({.id = "c", .received = TermPosition {3, 9}});
        CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.bestAfterStepDown());
    }

    // Guards against lost commits: the former primary was started again without its log, which is taken for the end of the log that it
    // led.
    void formerPrimaryThatWasStartedAgainProvesNothing()
    {
        PrimaryChoice choice("a");
        choice.add({.id = "a", .restarted = true, .received = TermPosition {3, 2}});
        choice.add({.id = "b", .received = TermPosition {3, 8}});
        choice.add({.id = "c", .received = std::nullopt});
        CPPUNIT_ASSERT(!choice.hasFormerPrimaryLog());
        CPPUNIT_ASSERT(choice.bestAfterStepDown().empty());
        CPPUNIT_ASSERT(choice.bestAmongStopped().empty());
        choice.setAcknowledgedPosition(TermPosition {3, 8});
        CPPUNIT_ASSERT_EQUAL(std::string("b"), choice.bestAmongStopped());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryChoiceTest);
