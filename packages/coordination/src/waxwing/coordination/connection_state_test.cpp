#include <waxwing/coordination/connection_state.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class ConnectionStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionStateTest);
    CPPUNIT_TEST(valueOfOtherSessionIsCleared);
    CPPUNIT_TEST(onlyTheDifferenceIsSent);
    CPPUNIT_TEST(statementOfOtherShapeHasAnotherName);
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

    // Guards against a session that runs another session's statement because both prepared one under the same name.
    void statementOfOtherShapeHasAnotherName()
    {
        CPPUNIT_ASSERT(ConnectionState::sharedName({true, "q1"}) != ConnectionState::sharedName({false, "q1"}));
        CPPUNIT_ASSERT(ConnectionState::sharedName({true, "q1"}) != ConnectionState::sharedName({true, "q2"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionStateTest);
