#include "executor.h"
#include "member.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing::standin;

class ExecutorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExecutorTest);
    CPPUNIT_TEST(transactionIsAppliedAtCommitOnly);
    CPPUNIT_TEST(transactionEndsWithItsConnection);
    CPPUNIT_TEST(statementOverTheSlotsIsRejected);
    CPPUNIT_TEST(writeThatOutlivesItsTermIsRejected);
    CPPUNIT_TEST(higherTermInAStatementFencesLowerOnes);
    CPPUNIT_TEST(statusHasExactlyTheFieldsOfThePage);
    CPPUNIT_TEST_SUITE_END();

    Member m_member {{.startsAsPrimary = true, .term = 1, .slots = 1}};
    Executor m_executor {m_member};

    boost::json::value run(const ExecuteRequest &request)
    {
        Statement statement;
        if (auto rejection = m_executor.start(request, statement)) {
            return std::move(*rejection);
        }
        return m_executor.finish(request, statement);
    }

    static void assertField(std::string_view expected, const boost::json::value &answer, std::string_view field)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(expected), std::string(answer.at(field).as_string()));
    }

public:
    void setUp() override
    {
        m_member.start();
    }

    // Guards against writes of an open transaction that others can read.
    void transactionIsAppliedAtCommitOnly()
    {
        m_executor.begin({.term = 1, .connection = 7});
        run({.term = 1, .statement = "write a 1", .isWrite = true, .isInTransaction = true, .connection = 7});
        assertField("", run({.term = 1, .statement = "read a"}), "result");
        assertField("1", run({.term = 1, .statement = "read a", .isInTransaction = true, .connection = 7}), "result");
        assertField("done", m_executor.commit({.term = 1, .connection = 7}), "outcome");
        assertField("1", run({.term = 1, .statement = "read a"}), "result");
    }

    // Guards against a commit on a reused connection that applies the writes of an earlier transaction.
    void transactionEndsWithItsConnection()
    {
        m_executor.begin({.term = 1, .connection = 7});
        run({.term = 1, .statement = "write a 1", .isWrite = true, .isInTransaction = true, .connection = 7});
        m_executor.connectionClosed(7);
        assertField("rejected", m_executor.commit({.term = 1, .connection = 7}), "outcome");
        assertField("", run({.term = 1, .statement = "read a"}), "result");
    }

    // Guards against a stand-in that runs more than a real database would.
    void statementOverTheSlotsIsRejected()
    {
        Statement statement;
        CPPUNIT_ASSERT(!m_executor.start({.term = 1, .statement = "read a"}, statement));
        assertField("no-slot", run({.term = 1, .statement = "read a"}), "reason");
    }

    // Guards against a write that is applied after its primary was replaced.
    void writeThatOutlivesItsTermIsRejected()
    {
        Statement statement;
        const ExecuteRequest request {.term = 1, .statement = "write a 1", .isWrite = true};
        m_executor.start(request, statement);
        m_member.follow(2, "127.0.0.1:1");
        assertField("rejected", m_executor.finish(request, statement), "outcome");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_member.database.position());
    }

    // Guards against a replaced primary that still serves its old proxy after it heard of the new term.
    void higherTermInAStatementFencesLowerOnes()
    {
        run({.term = 2, .statement = "write a 1", .isWrite = true});
        assertField("wrong-term", run({.term = 1, .statement = "write a 1", .isWrite = true}), "reason");
    }

    // Guards against further fields in the status: proxies refuse the whole response then, and treat the database as silent.
    void statusHasExactlyTheFieldsOfThePage()
    {
        std::string names;
        for (const auto &field : m_member.status()) {
            names += std::string(field.key()) + " ";
        }
        CPPUNIT_ASSERT_EQUAL(std::string("database group role term term_start position slots connections running "), names);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutorTest);
