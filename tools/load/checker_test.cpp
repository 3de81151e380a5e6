#include "checker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace waxwing::load;

/// Each test breaks one thing in a clean history, and expects exactly the check that guards against it.
class CheckerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CheckerTest);
    CPPUNIT_TEST(cleanHistoryHasNoViolation);
    CPPUNIT_TEST(readThatMissesTheOwnWrite);
    CPPUNIT_TEST(discardedWriteThatIsServedSilently);
    CPPUNIT_TEST(readOlderThanTheStatedAge);
    CPPUNIT_TEST(writeThatRanTwice);
    CPPUNIT_TEST(refusedWriteThatRan);
    CPPUNIT_TEST(acknowledgementByAReplacedPrimary);
    CPPUNIT_TEST(secondPrimaryOfATerm);
    CPPUNIT_TEST(acknowledgedWriteThatWasLost);
    CPPUNIT_TEST(acknowledgedWriteThatNeverRan);
    CPPUNIT_TEST(mixedTransaction);
    CPPUNIT_TEST(halfAppliedTransaction);
    CPPUNIT_TEST(appliedTransactionWithoutCommit);
    CPPUNIT_TEST(answerOfAnotherRequest);
    CPPUNIT_TEST(responseWithoutOutcome);
    CPPUNIT_TEST(workSentToALeavingEndpoint);
    CPPUNIT_TEST_SUITE_END();

    std::vector<DatabaseEvent> m_events;
    std::vector<CallerRecord> m_records;

    void apply(std::uint64_t term, std::uint64_t position, const std::string &key, const std::string &value, std::int64_t time, std::uint64_t transaction = 0)
    {
        m_events.push_back({.event = "apply",
                            .database = "o-1",
                            .group = "o",
                            .term = term,
                            .position = position,
                            .key = key,
                            .value = value,
                            .written = value,
                            .transaction = transaction,
                            .time = time});
    }

    CallerRecord &record(const std::string &operation, const std::string &step, const std::string &key, const std::string &value, std::int64_t sent)
    {
        m_records.push_back({.operation = operation,
                             .service = "o",
                             .step = step,
                             .key = key,
                             .value = value,
                             .session = "s",
                             .freshness = "session",
                             .isWrite = !value.empty() || step != "statement",
                             .sent = sent,
                             .received = sent + 10,
                             .outcome = "done",
                             .term = 1,
                             .status = 200});
        return m_records.back();
    }

    // The violations by check, e.g. "not-run=1".
    std::string check(bool majority = true)
    {
        Checker checker(majority);
        checker.add(m_events);
        checker.add(m_records);
        checker.run();
        std::string text;
        for (const auto &[name, violations] : checker.violations()) {
            text += (text.empty() ? "" : " ") + name + "=" + std::to_string(violations.size());
        }
        return text;
    }

    CallerRecord &find(const std::string &operation)
    {
        return *std::find_if(m_records.begin(), m_records.end(), [&](const auto &candidate) { return candidate.operation == operation; });
    }

    void promote(std::uint64_t term, std::uint64_t start, std::int64_t time)
    {
        m_events.push_back({.event = "promote", .database = "o-2", .group = "o", .terms = {{1, 0}, {term, start}}, .time = time});
    }

public:
    // A write, a read of it, a stated-age read of the state before it, and a committed transaction.
    void setUp() override
    {
        m_events.push_back({.event = "promote", .database = "o-1", .group = "o", .terms = {{1, 0}}, .time = 0});
        apply(1, 1, "k", "k:r:1", 105);
        apply(1, 2, "a", "a:r:2", 305, 7);
        apply(1, 3, "b", "b:r:2", 305, 7);
        m_events.push_back({.event = "read", .database = "o-2", .group = "o", .term = 1, .position = 0, .key = "k", .time = 205});
        record("r-1", "statement", "k", "k:r:1", 100).position = 1;
        auto &own = record("r-3", "statement", "k", "", 120);
        own.position = 1;
        own.result = "k:r:1";
        auto &aged = record("r-4", "statement", "k", "", 200);
        aged.freshness = "max_age";
        aged.maxAge = 150;
        aged.servedBy = "o-2";
        record("r-2", "begin", "", "", 290);
        record("r-2", "transaction-statement", "a", "a:r:2", 292);
        record("r-2", "transaction-statement", "b", "b:r:2", 294);
        record("r-2", "commit", "", "", 300).position = 3;
    }

    void tearDown() override
    {
        m_events.clear();
        m_records.clear();
    }

    // Guards against checks that fire on correct behaviour.
    void cleanHistoryHasNoViolation()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check());
    }

    // Guards against a session that reads from a replica behind its token.
    void readThatMissesTheOwnWrite()
    {
        find("r-3").position = 0;
        find("r-3").result = "";
        CPPUNIT_ASSERT_EQUAL(std::string("read-your-writes=1"), check());
    }

    // Guards against a session that is not told that a promotion discarded its write.
    void discardedWriteThatIsServedSilently()
    {
        auto &read = find("r-3");
        read.term = 2;
        read.position = 0;
        read.result = "";
        m_records.resize(2);
        m_events.resize(2);
        promote(2, 0, 110);
        CPPUNIT_ASSERT_EQUAL(std::string("read-your-writes=1"), check(false));
        m_records[1].outcome = "not-run";
        m_records[1].reason = "session-write-lost";
        CPPUNIT_ASSERT_EQUAL(std::string(), check(false));
    }

    // Guards against a replica whose age was estimated too low.
    void readOlderThanTheStatedAge()
    {
        find("r-4").maxAge = 50;
        CPPUNIT_ASSERT_EQUAL(std::string("stated-age=1"), check());
    }

    // Guards against a retry that runs a statement again.
    void writeThatRanTwice()
    {
        apply(1, 4, "k", "k:r:1", 400);
        CPPUNIT_ASSERT_EQUAL(std::string("at-most-once=1"), check());
    }

    // Guards against `not-run` for a statement whose bytes had left.
    void refusedWriteThatRan()
    {
        apply(1, 4, "k", "k:r:5", 400);
        record("r-5", "statement", "k", "k:r:5", 399).outcome = "not-run";
        CPPUNIT_ASSERT_EQUAL(std::string("not-run=1"), check());
    }

    // Guards against an owner that acknowledges for a term that has ended.
    void acknowledgementByAReplacedPrimary()
    {
        promote(2, 3, 390);
        apply(1, 4, "k", "k:r:5", 400);
        record("r-5", "statement", "k", "k:r:5", 380).position = 4;
        CPPUNIT_ASSERT_EQUAL(std::string("fencing=1"), check(false));
    }

    // Guards against a split group.
    void secondPrimaryOfATerm()
    {
        m_events.push_back({.event = "promote", .database = "o-2", .group = "o", .terms = {{1, 0}}, .time = 1});
        CPPUNIT_ASSERT_EQUAL(std::string("fencing=1"), check());
    }

    // Guards against an acknowledgement before a majority holds the write.
    void acknowledgedWriteThatWasLost()
    {
        apply(1, 4, "k", "k:r:5", 400);
        record("r-5", "statement", "k", "k:r:5", 399).position = 4;
        promote(2, 3, 500);
        CPPUNIT_ASSERT_EQUAL(std::string("acknowledged-lost=1"), check());
        CPPUNIT_ASSERT_EQUAL(std::string(), check(false));
    }

    // Guards against an acknowledgement made up by the proxy.
    void acknowledgedWriteThatNeverRan()
    {
        record("r-5", "statement", "k", "k:r:5", 399).position = 4;
        CPPUNIT_ASSERT_EQUAL(std::string("acknowledged-lost=1"), check());
    }

    // Guards against two transactions on one connection.
    void mixedTransaction()
    {
        apply(1, 4, "k", "k:r:5", 400, 7);
        CPPUNIT_ASSERT_EQUAL(std::string("transactions=1"), check());
    }

    // Guards against a commit that loses a statement.
    void halfAppliedTransaction()
    {
        record("r-6", "begin", "", "", 400);
        record("r-6", "transaction-statement", "a", "a:r:6", 402);
        record("r-6", "transaction-statement", "b", "b:r:6", 404);
        record("r-6", "commit", "", "", 406).outcome = "unknown";
        apply(1, 4, "a", "a:r:6", 410, 8);
        CPPUNIT_ASSERT_EQUAL(std::string("transactions=1"), check());
    }

    // Guards against a connection that is reused with its transaction open.
    void appliedTransactionWithoutCommit()
    {
        m_records.back().step = "rollback";
        CPPUNIT_ASSERT_EQUAL(std::string("transactions=1"), check());
    }

    // Guards against late responses that reach the next request.
    void answerOfAnotherRequest()
    {
        find("r-3").result = "x:r:9";
        CPPUNIT_ASSERT_EQUAL(std::string("complete-answers=1"), check());
    }

    // Guards against a proxy that passes on a torn response.
    void responseWithoutOutcome()
    {
        find("r-4").outcome = "none";
        CPPUNIT_ASSERT_EQUAL(std::string("complete-answers=1"), check());
    }

    // Guards against a proxy that does not hear of a leaving endpoint.
    void workSentToALeavingEndpoint()
    {
        m_events.push_back({.event = "reject", .database = "o-2", .group = "o", .reason = "leaving", .time = 400});
        CPPUNIT_ASSERT_EQUAL(std::string("leaving=1"), check());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckerTest);
