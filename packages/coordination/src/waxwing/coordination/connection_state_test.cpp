#include <waxwing/coordination/connection_state.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

using namespace waxwing;

class ConnectionStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionStateTest);
    CPPUNIT_TEST(valueOfOtherSessionIsCleared);
    CPPUNIT_TEST(onlyTheDifferenceIsSent);
    CPPUNIT_TEST(everyStatementHasANameOfItsOwn);
    CPPUNIT_TEST(nameIsNotUsedAgain);
    CPPUNIT_TEST(preparedStatementsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a session that runs with a value that another session has set on the same connection.
    void valueOfOtherSessionIsCleared()
    {
        ConnectionState connection;
        SessionState first;
        first.values = {{"a", "1"}, {"b", "2"}};
        connection.apply(connection.compare(first, nullptr), nullptr);
        SessionState second;
        second.values = {{"a", "1"}};
        const auto preparation = connection.compare(second, nullptr);
        CPPUNIT_ASSERT(preparation.discard);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), preparation.values.size());
    }

    // Guards against redundant commands, and against a statement that is assumed to be prepared after a discard.
    void onlyTheDifferenceIsSent()
    {
        ConnectionState connection;
        const SessionState::Prepared statement {true, "q1"};
        SessionState session;
        session.values = {{"a", "1"}};
        connection.apply(connection.compare(session, &statement), &statement);
        CPPUNIT_ASSERT(!connection.compare(session, &statement).prepare);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), connection.distance(session));
        session.values["a"] = "2";
        const auto changed = connection.compare(session, &statement);
        CPPUNIT_ASSERT(!changed.discard && !changed.prepare && changed.values.size() == 1);
        const SessionState empty;
        connection.apply(connection.compare(empty, nullptr), nullptr);
        CPPUNIT_ASSERT(connection.compare(empty, &statement).prepare);
    }

    // Guards against a session that runs another session's statement: both prepared one under the same name, or the shapes have a
    // beginning in common, and the names on the connection are the same or more than one field.
    void everyStatementHasANameOfItsOwn()
    {
        ConnectionState connection;
        const SessionState session;
        std::set<std::string> names;
        const std::vector<std::string> shapes {"q1", "q2", "q1 WRITE q2", "q1 READ q2", " q1", "q1 ", "p1", "READ q1", std::string("q1\0", 3), "\xff"};
        for (const auto &shape : shapes) {
            for (const bool writes : {true, false}) {
                const SessionState::Prepared statement {writes, shape};
                connection.apply(connection.compare(session, &statement), &statement);
                names.insert(connection.nameOf(statement));
            }
        }
        CPPUNIT_ASSERT_EQUAL(2 * shapes.size(), names.size());
        for (const auto &name : names) {
            CPPUNIT_ASSERT_MESSAGE(name, name.find_first_not_of("p0123456789") == std::string::npos);
        }
    }

    // Guards against a name that stands for two statements on a connection, since a database may still know it from before a discard
    // that it did not carry out.
    void nameIsNotUsedAgain()
    {
        ConnectionState connection;
        const SessionState session;
        const SessionState::Prepared first {true, "q1"};
        const SessionState::Prepared second {true, "q2"};
        connection.apply(connection.compare(session, &first), &first);
        const auto name = connection.nameOf(first);
        connection.forgetPrepared();
        connection.apply(connection.compare(session, &second), &second);
        CPPUNIT_ASSERT(connection.nameOf(second) != name);
        CPPUNIT_ASSERT(connection.compare(session, &first).prepare);
    }

    // Guards against memory that grows with every shape that callers make up, on the proxy and on the database.
    void preparedStatementsAreBounded()
    {
        ConnectionState connection({.maxStatements = 3, .maxShapeBytes = 100});
        SessionState session;
        session.values = {{"a", "1"}};
        const auto discards = [&](const SessionState::Prepared &statement) {
            const auto preparation = connection.compare(session, &statement);
            connection.apply(preparation, &statement);
            return preparation.discard && preparation.prepare && preparation.values.size() == 1;
        };
        CPPUNIT_ASSERT(!discards({true, "q1"}) && !discards({true, "q2"}) && !discards({true, "q3"}));
        CPPUNIT_ASSERT(!discards({true, "q1"}));
        CPPUNIT_ASSERT(discards({true, "q4"}));
        CPPUNIT_ASSERT(!discards({true, "q1"}));
        CPPUNIT_ASSERT(discards({true, std::string(200, 'x')}));
        CPPUNIT_ASSERT(!discards({true, std::string(200, 'x')}));
        CPPUNIT_ASSERT(discards({true, "q1"}));
        const SessionState::Prepared large {true, std::string(200, 'y')};
        CPPUNIT_ASSERT(!connection.extend(session, &large).discard);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionStateTest);
