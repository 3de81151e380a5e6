#include <waxwing/coordination/primary_choice.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class PrimaryChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrimaryChoiceTest);
    CPPUNIT_TEST(longestLogWins);
    CPPUNIT_TEST(missingReplicaNeedsWhatWasAcknowledged);
    CPPUNIT_TEST(acknowledgedCommitIsNotLeftBehind);
    CPPUNIT_TEST(unknownDatabaseCountsAsMissing);
    CPPUNIT_TEST(steppedDownPrimaryHandsOverToACompleteReplica);
    CPPUNIT_TEST(drainingReplicaIsTheLastChoice);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost commits: an acknowledged one may be on a single replica.
    void longestLogWins()
    {
        PrimaryChoice choice("a");
        choice.add({"a", false, std::nullopt});
        choice.add({"b", false, TermPosition {3, 7}});
        choice.add({"c", true, TermPosition {3, 8}});
        CPPUNIT_ASSERT(!choice.needsAcknowledgedPosition());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.bestAmongStopped());
    }

    // Guards against a promotion while the replica that holds the last commit does not answer.
    void missingReplicaNeedsWhatWasAcknowledged()
    {
        PrimaryChoice choice("a");
        choice.add({"a", false, std::nullopt});
        choice.add({"b", false, TermPosition {3, 7}});
        choice.add({"c", false, std::nullopt});
        CPPUNIT_ASSERT(choice.needsAcknowledgedPosition());
        CPPUNIT_ASSERT(choice.bestAmongStopped().empty());
        choice.setAcknowledgedPosition(TermPosition {3, 7});
        CPPUNIT_ASSERT_EQUAL(std::string("b"), choice.bestAmongStopped());
    }

    // Guards against lost commits: what callers were told is missing from the only log that is known.
    void acknowledgedCommitIsNotLeftBehind()
    {
        PrimaryChoice choice("a");
        choice.add({"b", false, TermPosition {3, 7}});
        choice.add({"c", false, std::nullopt});
        choice.setAcknowledgedPosition(TermPosition {3, 8});
        CPPUNIT_ASSERT(choice.bestAmongStopped().empty());
    }

    // Guards against a promotion that forgets a replica whose heartbeats do not reach control.
    void unknownDatabaseCountsAsMissing()
    {
        PrimaryChoice choice("a");
        choice.add({"b", false, TermPosition {3, 7}});
        choice.addMissing();
        CPPUNIT_ASSERT(choice.needsAcknowledgedPosition());
        CPPUNIT_ASSERT(choice.bestAmongStopped().empty());
    }

    // Guards against commits that only the leaving primary holds.
    void steppedDownPrimaryHandsOverToACompleteReplica()
    {
        PrimaryChoice choice("a");
        choice.add({"a", true, TermPosition {3, 9}});
        choice.add({"b", false, TermPosition {3, 8}});
        CPPUNIT_ASSERT(choice.bestAfterStepDown().empty());
        choice.add({"c", false, TermPosition {3, 9}});
        CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.bestAfterStepDown());
    }

    // Guards against a second change of the primary right after the first.
    void drainingReplicaIsTheLastChoice()
    {
        PrimaryChoice choice("a");
        choice.add({"a", true, TermPosition {3, 9}});
        choice.add({"b", true, TermPosition {3, 10}});
        choice.add({"c", false, TermPosition {3, 9}});
        CPPUNIT_ASSERT_EQUAL(std::string("c"), choice.bestAfterStepDown());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryChoiceTest);
