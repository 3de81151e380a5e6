#include <waxwing/state/intent_machine.h>
#include <waxwing/support/identifier.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class IntentMachineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IntentMachineTest);
    CPPUNIT_TEST(secondAttemptWaitsAndReceivesRecordedAnswer);
    CPPUNIT_TEST(repeatedBeginOfSameAttemptIsGranted);
    CPPUNIT_TEST(endedOwnerMakesStartedRecordNotRepeated);
    CPPUNIT_TEST(releasedKeyMayRunAgain);
    CPPUNIT_TEST(staleAttemptCannotFinishOrRelease);
    CPPUNIT_TEST(otherStatementWithSameKeyConflicts);
    CPPUNIT_TEST(oldAndFutureKeysAreRefused);
    CPPUNIT_TEST(expiredRecordsAreDroppedOnlyWhenTheirKeyIsRefused);
    CPPUNIT_TEST(fullMachineRefusesNewKeysOnly);
    CPPUNIT_TEST(memoryEstimateReturnsToZero);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t start = 1'800'000'000'000;
    static constexpr std::uint64_t day = 24ULL * 3600 * 1000;
    static constexpr std::uint64_t minute = 60ULL * 1000;

    IntentMachine m_machine;
    std::uint64_t m_now = start;
    std::string m_key = makeUuid7(start);

    wire::IntentResult begin(std::uint64_t attempt, const std::string &proxy = "p1", std::uint64_t hash = 7, const std::string &endedProxy = {})
    {
        wire::IntentCommand command;
        command.set_now_ms(m_now);
        auto &request = *command.mutable_begin();
        request.set_service("orders");
        request.set_key(m_key);
        request.set_statement_hash(hash);
        request.set_proxy(proxy);
        request.set_incarnation(1);
        request.set_attempt(attempt);
        command.set_ended_proxy(endedProxy);
        command.set_ended_incarnation(endedProxy.empty() ? 0 : 1);
        return m_machine.applyCommand(command);
    }

    wire::IntentState finish(std::uint64_t attempt, const std::string &proxy = "p1", const std::string &outcome = "done")
    {
        wire::IntentCommand command;
        command.set_now_ms(m_now);
        auto &request = *command.mutable_finish();
        request.set_service("orders");
        request.set_key(m_key);
        request.set_proxy(proxy);
        request.set_incarnation(1);
        request.set_attempt(attempt);
        request.mutable_answer()->set_outcome(outcome);
        return m_machine.applyCommand(command).state();
    }

    wire::IntentState release(std::uint64_t attempt)
    {
        wire::IntentCommand command;
        command.set_now_ms(m_now);
        auto &request = *command.mutable_release();
        request.set_service("orders");
        request.set_key(m_key);
        request.set_proxy("p1");
        request.set_incarnation(1);
        request.set_attempt(attempt);
        return m_machine.applyCommand(command).state();
    }

public:
    // Guards against a retry that runs a statement again, also after a snapshot.
    void secondAttemptWaitsAndReceivesRecordedAnswer()
    {
        CPPUNIT_ASSERT_EQUAL(wire::GRANTED, begin(1).state());
        const auto waiting = begin(2, "p2");
        CPPUNIT_ASSERT_EQUAL(wire::IN_PROGRESS, waiting.state());
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), waiting.holder_proxy());
        CPPUNIT_ASSERT_EQUAL(wire::RECORDED, finish(1));
        IntentMachine restored;
        CPPUNIT_ASSERT(restored.restore(m_machine.snapshot()));
        m_machine = std::move(restored);
        const auto result = begin(2, "p2");
        CPPUNIT_ASSERT_EQUAL(wire::FINISHED, result.state());
        CPPUNIT_ASSERT_EQUAL(std::string("done"), result.answer().outcome());
    }

    // Guards against an owner that waits for itself after its reply was lost.
    void repeatedBeginOfSameAttemptIsGranted()
    {
        begin(1);
        CPPUNIT_ASSERT_EQUAL(wire::GRANTED, begin(1).state());
    }

    // Guards against a retry that waits forever for a failed owner, or repeats a statement that this owner may have run.
    void endedOwnerMakesStartedRecordNotRepeated()
    {
        begin(1);
        CPPUNIT_ASSERT_EQUAL(wire::IN_PROGRESS, begin(2, "p2", 7, "p3").state());
        CPPUNIT_ASSERT_EQUAL(wire::NOT_REPEATED, begin(2, "p2", 7, "p1").state());
        CPPUNIT_ASSERT_EQUAL(wire::NOT_REPEATED, begin(3, "p2").state());
        // The owner may still receive the result of its statement.
        CPPUNIT_ASSERT_EQUAL(wire::RECORDED, finish(1));
        CPPUNIT_ASSERT_EQUAL(wire::FINISHED, begin(3, "p2").state());
    }

    // Guards against a key that stays blocked although the statement provably did not run.
    void releasedKeyMayRunAgain()
    {
        begin(1);
        CPPUNIT_ASSERT_EQUAL(wire::RECORDED, release(1));
        CPPUNIT_ASSERT_EQUAL(wire::GRANTED, begin(2, "p2").state());
    }

    // Guards against a late message of an earlier attempt that frees or completes the record of the present one.
    void staleAttemptCannotFinishOrRelease()
    {
        begin(1);
        release(1);
        begin(2);
        CPPUNIT_ASSERT_EQUAL(wire::CONFLICT, finish(1));
        CPPUNIT_ASSERT_EQUAL(wire::CONFLICT, release(1));
        CPPUNIT_ASSERT_EQUAL(wire::RECORDED, finish(2));
        CPPUNIT_ASSERT_EQUAL(wire::CONFLICT, release(2));
        CPPUNIT_ASSERT_EQUAL(wire::FINISHED, begin(3).state());
    }

    // Guards against the answer of one statement given to another one.
    void otherStatementWithSameKeyConflicts()
    {
        begin(1);
        CPPUNIT_ASSERT_EQUAL(wire::CONFLICT, begin(2, "p1", 8).state());
    }

    // Guards against a key whose record may have been dropped already, or would be kept for too long.
    void oldAndFutureKeysAreRefused()
    {
        m_now = start + day + 1;
        CPPUNIT_ASSERT_EQUAL(wire::EXPIRED, begin(1).state());
        m_now = start - 5 * minute - 1;
        m_machine = IntentMachine();
        CPPUNIT_ASSERT_EQUAL(wire::EXPIRED, begin(1).state());
        m_key = "no-uuid";
        CPPUNIT_ASSERT_EQUAL(wire::EXPIRED, begin(1).state());
    }

    // Guards against a record that is dropped while a retry with its key is still accepted.
    void expiredRecordsAreDroppedOnlyWhenTheirKeyIsRefused()
    {
        begin(1);
        finish(1);
        m_now = start + day;
        CPPUNIT_ASSERT_EQUAL(wire::FINISHED, begin(2).state());
        m_now = start + day + 5 * minute;
        CPPUNIT_ASSERT_EQUAL(wire::EXPIRED, begin(2).state());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_machine.size());
        m_now = start + day + 5 * minute + 1;
        begin(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_machine.size());
        m_now = start; // the clock of a new leader is behind
        CPPUNIT_ASSERT_EQUAL(wire::EXPIRED, begin(2).state());
    }

    // Guards against unbounded memory, and against a bound that breaks statements which have started.
    void fullMachineRefusesNewKeysOnly()
    {
        IntentMachine::Options options;
        options.maxRecords = 1;
        m_machine = IntentMachine(options);
        begin(1);
        const auto first = m_key;
        m_key = makeUuid7(start);
        CPPUNIT_ASSERT_EQUAL(wire::FULL, begin(1).state());
        m_key = first;
        CPPUNIT_ASSERT_EQUAL(wire::RECORDED, finish(1));
        CPPUNIT_ASSERT_EQUAL(wire::FINISHED, begin(2).state());
    }

    // Guards against an estimate that drifts and finally refuses everything.
    void memoryEstimateReturnsToZero()
    {
        begin(1);
        begin(2, "p2", 7, "p1");
        finish(1);
        m_now = start + day + 5 * minute + 1;
        begin(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_machine.bytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IntentMachineTest);
