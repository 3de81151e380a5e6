#include <waxwing/coordination/position_history.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class PositionHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PositionHistoryTest);
    CPPUNIT_TEST(proofIsNeverOlderThanRequired);
    CPPUNIT_TEST(lateResponseDoesNotLowerTheProof);
    CPPUNIT_TEST(endedTermProvesOnlyUpToItsRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against stale reads: a position requested before the time limit does not cover all commits up to the limit.
    void proofIsNeverOlderThanRequired()
    {
        PositionHistory history;
        history.add({3, 10}, TimePoint(1000ms));
        history.add({3, 20}, TimePoint(1100ms));
        CPPUNIT_ASSERT(history.proof(TimePoint(1000ms)) == TermPosition({3, 10}));
        CPPUNIT_ASSERT(history.proof(TimePoint(1001ms)) == TermPosition({3, 20}));
        CPPUNIT_ASSERT(!history.proof(TimePoint(1101ms)));
    }

    // Guards against stale reads: responses on different connections arrive out of order, and an older position comes last.
    void lateResponseDoesNotLowerTheProof()
    {
        PositionHistory history;
        history.add({3, 20}, TimePoint(1000ms));
        history.add({3, 10}, TimePoint(1100ms));
        history.add({3, 30}, TimePoint(900ms));
        CPPUNIT_ASSERT(history.proof(TimePoint(900ms)) == TermPosition({3, 20}));
        CPPUNIT_ASSERT(!history.proof(TimePoint(1050ms)));
    }

    // Guards against stale reads: a position of an ended term counts for a later time than that of its request, or arrives
    // after positions of the next term.
    void endedTermProvesOnlyUpToItsRequest()
    {
        PositionHistory history;
        history.add({3, 20}, TimePoint(1000ms));
        CPPUNIT_ASSERT(history.proof(TimePoint(1000ms)) == TermPosition({3, 20}));
        CPPUNIT_ASSERT(!history.proof(TimePoint(1500ms)));
        history.add({4, 15}, TimePoint(2000ms));
        history.add({3, 30}, TimePoint(2500ms));
        CPPUNIT_ASSERT(history.proof(TimePoint(1500ms)) == TermPosition({4, 15}));
        CPPUNIT_ASSERT(!history.proof(TimePoint(2200ms)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PositionHistoryTest);
